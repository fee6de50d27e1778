"""Stand-ins for the third review: store, replicas, clients and VMs of a small deployment on loopback.

One asyncio process holds the store, the replicas and the clients; the VMs are processes of the project's own program. Only
the standard library is used. The stand-ins follow the users' pages (PROTOCOL.md, NEWS.md); each says what it does beyond them.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "arbutusfall")
START = time.monotonic()


def now():
    """Returns the seconds since the script began."""
    return time.monotonic() - START


_ports = set()


def free_port():
    """Returns a port of 127.0.0.1 that nothing uses."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _ports:
            _ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run to `record.txt` in the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(f"{now():8.3f} {text}", flush=True)


# --- HTTP ---------------------------------------------------------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


async def read_head(reader):
    """Reads a head; returns its first line and its headers (names in lower case), or None at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises if it ends before its last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    method, target, _ = line.split(" ", 2)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        async for chunk in read_chunks(reader):
            body += chunk
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer_bytes(status, headers=None, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_answer(document, headers=None, status=200):
    head = {"Content-Type": "application/json", **(headers or {})}
    return answer_bytes(status, head, json.dumps(document).encode())


# --- the platform's store -------------------------------------------------------------------------------------------------------


class Store:
    """The store: topics with one partition each, groups with one partition to hold, eras."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.topics = {}
        self.groups = {}
        self.era = 1
        self.is_down = False
        self.changed = asyncio.Event()
        self.snapshots = []
        self.connections = set()
        self.turned_away = set()  # ports whose calls get 503

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=4 << 20)

    async def open_port(self):
        """Opens a further port, for a VM that the store may turn away while it serves the others."""
        port = free_port()

        async def serve(reader, writer):
            await self.serve(reader, writer, port)
        await asyncio.start_server(serve, "127.0.0.1", port, limit=4 << 20)
        return port

    # Records are pairs of the time of writing and the raw record.
    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend((now(), record) for record in records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        """Writes a record with a key; None drops the key."""
        content = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.append(topic, [bytes([len(key)]) + key.encode() + content])

    def newest(self, topic):
        newest = {}
        for offset, (_, record) in enumerate(self.topics.get(topic, [])):
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return newest

    def go_down(self):
        """Ends all connections and answers nothing more."""
        self.is_down = True
        for writer in list(self.connections):
            writer.transport.abort()

    def return_from_copy(self, age):
        """Returns with the contents of `age` seconds before it went down."""
        until = now() - age
        for topic, log in self.topics.items():
            self.topics[topic] = [entry for entry in log if entry[0] < until]
        self.groups = {}
        self.era += 1
        self.is_down = False

    async def serve(self, reader, writer, port=None):
        if self.is_down:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                answer = await self.answer(request)
                if port in self.turned_away:
                    answer = answer_bytes(503, {"Store-Era": self.era})
                if self.is_down:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request):
        await asyncio.sleep(0.004)
        era = {"Store-Era": self.era}
        query = request.query
        if request.path == "/v1/log-append":
            if query["topic"] in ("keyed.op", "keyed.servers"):
                return answer_bytes(403, era)
            records, rest = [], request.body
            while rest:
                length = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + length])
                rest = rest[4 + length:]
            offset = self.append(query["topic"], records)
            return json_answer({"offset": offset, "end": offset + len(records)}, era)
        if request.path == "/v1/log-read":
            topic, start = query["topic"], int(query["from"])
            until = now() + min(int(query.get("wait-ms", 0)), 30_000) / 1000
            while True:
                log = self.topics.setdefault(topic, [])
                era = {"Store-Era": self.era}
                if start > len(log):
                    return json_answer({"first": 0}, era, 410)
                if start < len(log) or now() >= until or self.is_down:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
            body, most = b"", int(query.get("max-kb", 1024)) * 1024
            for _, record in log[start:]:
                if len(body) + len(record) > most:
                    break
                body += struct.pack(">I", len(record)) + record
            return answer_bytes(200, era, struct.pack(">QQ", len(log), 0) + body)
        if request.path == "/v1/log-newest":
            from urllib.parse import unquote
            after = unquote(query.get("after", ""))
            topic = query["topic"]
            self.topics.setdefault(topic, [])
            keys = [key for key in sorted(self.newest(topic)) if key > after]
            newest = self.newest(topic)
            items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
                     for key in keys[:500]]
            return json_answer({"items": items, "has-more": len(keys) > 500, "end": len(self.topics[topic])}, era)
        if request.path == "/v1/log-join":
            return json_answer(self.join(json.loads(request.body)), era)
        if request.path == "/v1/log-leave":
            body = json.loads(request.body)
            group = self.groups.get(body["group"])
            if group:
                group["members"].pop(body["member"], None)
                self.deal(group)
            return json_answer({}, era)
        return answer_bytes(404, era)

    def join(self, body):
        group = self.groups.setdefault(body["group"], {"generation": 0, "members": {}, "holder": None, "topic": body["topics"][0]})
        is_new = body["member"] not in group["members"]
        group["members"][body["member"]] = now() + body["ttl-ms"] / 1000
        for member, until in list(group["members"].items()):
            if until < now():
                del group["members"][member]
        self.deal(group, is_new)
        parts = [[group["topic"], 0, 0]] if group["holder"] == body["member"] else []
        return {"generation": group["generation"], "ttl-ms": body["ttl-ms"], "parts": parts}

    def deal(self, group, is_changed=False):
        if group["holder"] not in group["members"]:
            group["holder"] = next(iter(group["members"]), None)
            is_changed = True
        if is_changed:
            group["generation"] += 1


# --- replicas -------------------------------------------------------------------------------------------------------------------


class Replica:
    """A replica: an engine with a phase ("prefill", "decode"), or a plain one (phase None).

    `runs` of the world collects what each has run: dictionaries with id, instance, version, at and after.
    """

    def __init__(self, world, service, phase=None, version="v1", instance=None, port=None, slots=48, work_s=0.02, event_s=0.1):
        self.world, self.service, self.phase, self.version = world, service, phase, version
        self.instance = instance or f"i-{random.randrange(1 << 40):010x}"
        self.port = port or free_port()
        self.slots, self.work_s, self.event_s = slots, work_s, event_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.connections = set()
        self.running = {}
        self.holds = 0
        self.framing = "chunks"  # of answers: "length", "chunks" or "none" (they end with their connection)
        self.is_cut = set()  # ports of VMs that are cut off from it

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=8 << 20)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_again_after(self, delay):
        """Writes its entry again only then, after a return of the store: the pages allow about two seconds."""
        self.beats.cancel()

        async def beat():
            await asyncio.sleep(delay)
            await self.beat()
        self.beats = asyncio.create_task(beat())

    def write_entry(self):
        if self.world.store.is_down:
            return
        self.seq += 1
        entry = {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": "z-a", "version": self.version,
                 "slots": self.slots, "state": self.state, "cold-left-ms": 0, "seq": self.seq, "born": self.born}
        if self.phase:
            entry.update({"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}]})
        self.world.store.put("keyed.servers", self.instance, entry)

    def leave_list(self):
        self.beats.cancel()
        if not self.world.store.is_down:
            self.world.store.put("keyed.servers", self.instance, None)

    def crash(self):
        """Ends like a process that is killed: its connections end, nothing is sent, its entry lapses after 3.6 s."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        self.connections.clear()
        for task in list(self.running.values()):
            task.cancel()
        self.running = {}

        async def lapse():
            await asyncio.sleep(3.6)
            while self.world.store.is_down:
                await asyncio.sleep(0.1)
            if self.world.is_current(self):
                self.world.store.put("keyed.servers", self.instance, None)
        asyncio.create_task(lapse())

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stamp(self, request):
        return {"Request-Id": request.headers.get("request-id", ""), "Server-Stamp": f"{self.instance}.{random.randrange(1 << 32):x}"}

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()
        return True

    async def answer(self, request, reader, writer):
        headers = request.headers
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.instance:
            return await self.send(writer, answer_bytes(421, {"Instance-Id": self.instance}))
        if request.path == "/v1/report":
            report = {"phase": self.phase, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                      "queued": 0, "running": len(self.running), "kv-used": 0, "kv-total": 100000, "kv-handles": 0, "born": self.born}
            return await self.send(writer, json_answer(report))
        if request.path == "/health":
            return await self.send(writer, answer_bytes(200 if self.state == "ready" else 503, {"Instance-Id": self.instance}))
        if request.path == "/v1/hold-take":
            if len(self.running) >= self.slots:
                return await self.send(writer, answer_bytes(503, {"Not-Executed": 1}))
            self.holds += 1
            return await self.send(writer, json_answer({"hold": f"h{self.born}-{self.holds}"}))
        if request.method == "DELETE":
            return await self.send(writer, answer_bytes(200))
        if request.path == "/v1/order":
            return await self.send(writer, answer_bytes(409))
        if headers.get("stage") == "prefill":
            if self.phase != "prefill":
                return await self.send(writer, answer_bytes(421, {"Instance-Id": self.instance}))
            await asyncio.sleep(0.02)
            handle = f"{random.randrange(1 << 48):012x}"
            return await self.send(writer, json_answer({"kv-handle": handle, "tokens": 100, "version": 1},
                                                       {"Request-Id": headers.get("request-id", "")}))
        if self.phase == "prefill":
            return await self.send(writer, answer_bytes(421, {"Instance-Id": self.instance}))
        return await self.run(request, reader, writer)

    async def run(self, request, reader, writer):
        """Runs a request; overridden or configured by cases."""
        after = int(request.headers.get("last-event-id", 0))
        run = {"id": request.headers.get("request-id"), "resumes": request.headers.get("resumes"), "instance": self.instance,
               "version": self.version, "at": now(), "after": after}
        self.world.runs.append(run)
        self.world.record(f"runs {run['id']} at {self.instance} {self.version} after event {after}")
        task = asyncio.current_task()
        gone = asyncio.create_task(reader.read(1))
        key = object()
        self.running[key] = task
        try:
            if self.phase is None:
                await asyncio.sleep(self.work_s)
                run["ended"] = now()
                return await self.send_whole(request, writer, b"x" * 800)
            return await self.send_stream(request, writer, after, gone)
        finally:
            run.setdefault("ended", now())
            gone.cancel()
            self.running.pop(key, None)

    async def send_whole(self, request, writer, body):
        if self.framing == "none":
            head = "".join(f"{name}: {value}\r\n" for name, value in self.stamp(request).items())
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n".encode() + body)
            await writer.drain()
            return False
        await self.send(writer, answer_bytes(200, {**self.stamp(request), "Connection": "close"}, body))
        return False

    async def send_stream(self, request, writer, after, gone):
        total = int(request.headers.get("x-events", 40))
        head = "".join(f"{name}: {value}\r\n" for name, value in self.stamp(request).items())
        chunked = self.framing == "chunks"
        framing = "Transfer-Encoding: chunked\r\n" if chunked else "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
        for number in range(after + 1, total + 1):
            await asyncio.sleep(self.event_s)
            if gone.done():
                return False
            event = f"id: {number}\ndata: {self.version} {self.instance} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


# --- the world ------------------------------------------------------------------------------------------------------------------


class World:
    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.store = Store(self.record)
        self.runs = []
        self.replicas = []
        self.vms = []
        self.temporary = tempfile.mkdtemp(prefix="review-3-")

    def is_current(self, replica):
        return not any(other.instance == replica.instance and other.born > replica.born for other in self.replicas)

    async def add(self, *args, **settings):
        replica = settings.pop("kind", Replica)(self, *args, **settings)
        self.replicas.append(replica)
        await replica.start()
        return replica

    def configure(self, version=1, **changes):
        engine = {"slots": 48, "kv-tokens": 100000, "kv-bytes": 131072, "link-mbps": 4400000.0, "moves": True, "backups": True,
                  "stride": 72, "most": 12, "kv-hold-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
                  "models": [{"name": "m"}]}
        config = {
            "version": version,
            "routes": [
                {"name": "r-summary", "host": "shop.example", "path-prefix": "/summary/", "kind": "stream", "timeout-ms": 14000,
                 "target-latency-ms": 900, "priority": 1, "service": "llm", "attempts": 2, "sticky": True, "resumable": True,
                 "gap-aim-ms": 300},
                {"name": "r-draft", "host": "shop.example", "path-prefix": "/draft/", "kind": "stream", "timeout-ms": 14000,
                 "target-latency-ms": 900, "priority": 1, "service": "llm", "attempts": 1, "sticky": True, "resumable": False,
                 "gap-aim-ms": 300},
                {"name": "r-confirm", "host": "shop.example", "path-prefix": "/confirm/", "kind": "non_idempotent", "timeout-ms": 3000,
                 "target-latency-ms": 300, "priority": 2, "service": "app", "attempts": 1},
                {"name": "r-status", "host": "shop.example", "path-prefix": "/status/", "kind": "idempotent", "timeout-ms": 3000,
                 "target-latency-ms": 300, "priority": 2, "service": "app", "attempts": 2},
            ],
            "services": [
                {"name": "llm", "health-path": "/health", "max-conns": 300, "protocol": "h1", "tls": False, "engine": engine},
                {"name": "app", "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": False},
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        }
        config.update(changes)
        self.store.put("keyed.op", "config", config)

    def new_vm(self, **settings):
        vm = Vm(self, f"vm-{len(self.vms) + 1}", settings)
        self.vms.append(vm)
        return vm

    async def start_vms(self, count, **settings):
        vms = [self.new_vm(**settings) for _ in range(count)]
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        return vms

    def end(self):
        """Ends all processes; the VMs' logs are removed unless the variable KEEP is set."""
        for vm in self.vms:
            vm.end()
        if os.environ.get("KEEP"):
            print(f"logs of the VMs: {self.temporary}")
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Vm:
    """A VM: a process of the project's program with the command and the settings of the deploy file."""

    def __init__(self, world, name, settings):
        self.world, self.name = world, name
        self.port, self.operator_port, self.peer_port = free_port(), free_port(), free_port()
        self.file = os.path.join(world.temporary, name + ".json")
        self.process = None
        document = {
            "vm": name, "data_centre": "z-a", "caller_address": f"127.0.0.1:{self.port}",
            "operator_address": f"127.0.0.1:{self.operator_port}", "store_address": f"127.0.0.1:{world.store.port}",
            "peer_address": f"127.0.0.1:{self.peer_port}", "retry_ratio": 0.2, "retry_slack": 52, "lease_lifetime_ms": 3000,
            "drain_timeout_s": 8, "leaving_bound_ms": 2000, "silence_bound_ms": 3000, "memory_limit_mb": 110, "cpu_share": 0.25,
            "link_mbps": 1000.0, "log_level": "info", **settings,
        }
        with open(self.file, "w") as file:
            json.dump(document, file)

    def start(self):
        log = open(os.path.join(self.world.temporary, self.name + ".log"), "a")
        self.process = subprocess.Popen([PROGRAM, "relay", "--settings", self.file], stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.operator_port), 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, most=15):
        until = now() + most
        while not await self.is_ready():
            if now() > until:
                raise RuntimeError(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)


# --- clients --------------------------------------------------------------------------------------------------------------------


class Attempt:
    """One client attempt: what came of it."""

    def __init__(self):
        self.id = f"{random.getrandbits(64):016x}"
        self.status = None
        self.events = []
        self.body = b""
        self.is_complete = False
        self.headers = {}
        self.reason = ""


async def attempt(world, vm, method, path, headers=None, body=b"", deadline_ms=3000, gap_s=None, on_event=None):
    """Sends one client attempt and reads its answer until its end, the deadline or a gap of `gap_s`."""
    tried = Attempt()
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {tried.id}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    world.record(f"sends {tried.id} {method} {path} to {vm.name} {headers or ''}")
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", vm.port, limit=8 << 20), 1)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_gap(read_head(reader), gap_s)
            if head is None:
                tried.reason = "closed"
                return tried
            tried.status, tried.headers = int(head[0].split()[1]), head[1]
            if "chunked" in tried.headers.get("transfer-encoding", ""):
                chunks = read_chunks(reader)
                pending = b""
                while True:
                    try:
                        chunk = await read_gap(chunks.__anext__(), gap_s)
                    except StopAsyncIteration:
                        break
                    tried.body += chunk
                    pending += chunk
                    while b"\n\n" in pending:
                        event, pending = pending.split(b"\n\n", 1)
                        tried.events.append((now(), event.decode()))
                        if on_event:
                            on_event(tried)
                tried.is_complete = True
            elif "content-length" in tried.headers:
                tried.body = await reader.readexactly(int(tried.headers["content-length"]))
                tried.is_complete = True
            else:
                tried.body = await reader.read()
                tried.is_complete = True
            tried.reason = "complete"
    except (TimeoutError, asyncio.TimeoutError):
        tried.reason = "gave up"
    except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
        tried.reason = f"broken: {type(error).__name__}"
    finally:
        if writer:
            writer.transport.abort()
        world.record(f"ends {tried.id}: status {tried.status}, {len(tried.events)} events, {len(tried.body)} bytes, "
                     f"{'complete' if tried.is_complete else 'not complete'}, {tried.reason}")
    return tried


async def read_gap(awaitable, gap_s):
    if gap_s is None:
        return await awaitable
    return await asyncio.wait_for(awaitable, gap_s)


def event_id(event):
    return int(event.split("\n")[0].split(":")[1])


def run_case(case, folder):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main():
        # Connections of the stand-ins that are cut off on purpose.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = World(folder)
        try:
            await world.store.start()
            status = await asyncio.wait_for(case(world, os.environ.get("TROUBLE", "1") != "0"), 110)
        except Exception as error:
            print(f"the case couldn't run: {type(error).__name__} {error}", file=sys.stderr)
            status = 2
        world.end()
        sys.stdout.flush()
        # Without waiting for tasks that serve.
        os._exit(status)

    asyncio.run(main())
