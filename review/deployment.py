"""A small deployment on loopback for the cases of this review: the platform's store, replicas, clients and relay processes.

Everything but the relays runs in this process. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
HOST = "kiosk.example"
HEARTBEAT_S = 1.2
SWITCH_S = 6.0
START = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - START:9.3f} {text}\n")
        self.file.flush()


record = None


def now():
    return time.monotonic() - START


used_ports = set()


def free_port():
    """Returns a port that no socket uses, below those that the system gives to connections."""
    while True:
        port = random.SystemRandom().randrange(12000, 32000)
        if port in used_ports:
            continue
        with socket.socket() as found:
            try:
                found.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port


# ---------------------------------------------------------------- HTTP


class Headers(dict):
    def get(self, name, default=""):
        return dict.get(self, name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if headers.get("transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def answer_bytes(status, body=b"", headers=()):
    reasons = {200: "OK", 202: "Accepted"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_bytes(status, document, headers=()):
    body = json.dumps(document).encode()
    return answer_bytes(status, body, [("Content-Type", "application/json"), *headers])


class Server:
    """An HTTP server whose connections can be reset all at once."""

    def __init__(self):
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", self.port)

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.on_request(writer, method, target, headers, body)
                await writer.drain()
                if headers.get("connection").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Ends as a killed process does: connections are reset, new ones are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


# ---------------------------------------------------------------- store


class Group:
    """Members of a group and the partitions of one topic that they hold.

    The generation rises by one with each member that comes, leaves or expires. Partitions are distributed evenly and move as
    little as possible; one that moves goes to its next member once the one before has joined with the new generation, has left or
    has expired.
    """

    PARTITIONS = 8

    def __init__(self):
        self.generation = 0
        # Name of a member to the end of its time to live, and to the newest generation with which it has joined.
        self.members = {}
        self.known = {}
        # Member that holds or is to hold each partition, and the one that must give it up before, if any.
        self.targets = {}
        self.leaving = {}

    def copy(self):
        copied = Group()
        copied.generation = self.generation
        copied.members, copied.known = dict(self.members), dict(self.known)
        copied.targets, copied.leaving = dict(self.targets), dict(self.leaving)
        return copied

    def pause(self, seconds):
        """Times to live pause while the store is away."""
        self.members = {member: until + seconds for member, until in self.members.items()}

    def distribute(self):
        self.generation += 1
        names = list(self.members)
        if not names:
            self.targets, self.leaving = {}, {}
            return
        held = {name: sorted(p for p, of in self.targets.items() if of == name) for name in names}
        quotas = {name: self.PARTITIONS // len(names) for name in names}
        for name in sorted(names, key=lambda name: -len(held[name]))[: self.PARTITIONS % len(names)]:
            quotas[name] += 1
        free = [p for p in range(self.PARTITIONS) if self.targets.get(p) not in self.members]
        for name in names:
            while len(held[name]) > quotas[name]:
                moved = held[name].pop()
                free.append(moved)
                self.leaving.setdefault(moved, (name, self.generation))
        for partition in sorted(free):
            taker = min(names, key=lambda name: len(held[name]) - quotas[name])
            held[taker].append(partition)
            self.targets[partition] = taker

    def leave(self, member):
        if member in self.members:
            record(f"member {member} leaves the group or expires")
            del self.members[member]
            self.distribute()

    def expire(self):
        for member, until in list(self.members.items()):
            if now() > until:
                self.leave(member)

    def join(self, member, ttl_s, generation):
        self.expire()
        is_new = member not in self.members
        self.members[member] = now() + ttl_s
        self.known[member] = max(self.known.get(member, 0), generation)
        if is_new:
            record(f"member {member} joins the group")
            self.distribute()
        return self.generation, [p for p in range(self.PARTITIONS) if self.holder(p) == member]

    def holder(self, partition):
        waits_for = self.leaving.get(partition)
        if waits_for is not None:
            member, generation = waits_for
            if member in self.members and self.known.get(member, 0) < generation:
                return None
            del self.leaving[partition]
        return self.targets.get(partition)


class Store(Server):
    """The platform's store: keyed topics with one partition, groups, and returns from an older copy."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.groups = {}
        self.era = 1
        self.is_down = False
        self.changed = asyncio.Event()
        self.on_read = None
        self.on_refused = None

    def write(self, topic, key, document):
        """Writes a record on behalf of the operator or a replica; nothing is accepted while the store is down."""
        if self.is_down:
            return False
        value = b"" if document is None else json.dumps(document).encode()
        self.append(topic, key, value)
        return True

    def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        topics = {topic: list(records) for topic, records in self.topics.items()}
        groups = {name: group.copy() for name, group in self.groups.items()}
        return topics, groups, now()

    def go_down(self):
        self.is_down = True
        for writer in list(self.writers):
            writer.transport.abort()

    def return_from(self, copy):
        topics, groups, copied_at = copy
        self.topics = {topic: list(records) for topic, records in topics.items()}
        self.groups = {name: group.copy() for name, group in groups.items()}
        for group in self.groups.values():
            group.pause(now() - copied_at)
        self.era += 1
        self.is_down = False

    async def on_request(self, writer, method, target, headers, body):
        if self.is_down:
            if self.on_refused is not None:
                self.on_refused(target, body)
            writer.transport.abort()
            raise ConnectionError
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        answer = await self.answer(url.path, query, body)
        if self.is_down:
            writer.transport.abort()
            raise ConnectionError
        writer.write(answer)

    def headers(self):
        return [("Store-Era", str(self.era))]

    async def answer(self, path, query, body):
        if path == "/v1/log-newest":
            return self.newest(query)
        if path == "/v1/log-read":
            return await self.read(query)
        if path == "/v1/log-append":
            return self.append_call(query["topic"], body)
        if path == "/v1/log-join":
            call = json.loads(body)
            group = self.groups.setdefault(call["group"], Group())
            generation, held = group.join(call["member"], call["ttl-ms"] / 1000, call["generation"])
            parts = [[call["topics"][0], partition, 0] for partition in held]
            document = {"generation": generation, "ttl-ms": call["ttl-ms"], "parts": parts}
            return json_bytes(200, document, self.headers())
        if path == "/v1/log-leave":
            call = json.loads(body)
            self.groups.setdefault(call["group"], Group()).leave(call["member"])
            return json_bytes(200, {}, self.headers())
        return json_bytes(404, {"error": "no such call"}, self.headers())

    def newest(self, query):
        records = self.topics.get(query["topic"], [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        after = query.get("after", "")
        keys = sorted(key for key in newest if key > after)
        items = [
            {"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
            for key in keys[:500]
        ]
        document = {"items": items, "has-more": len(keys) > 500, "end": len(records)}
        if self.on_read is not None:
            self.on_read(query["topic"])
        return json_bytes(200, document, self.headers())

    async def read(self, query):
        topic, first = query["topic"], int(query["from"])
        until = now() + int(query.get("wait-ms", "0")) / 1000
        era = self.era
        while True:
            records = self.topics.get(topic, [])
            if first > len(records) or era != self.era:
                return json_bytes(410, {"first": 0}, self.headers())
            left = until - now()
            if first < len(records) or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        body = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            body += len(content).to_bytes(4, "big") + content
        if self.on_read is not None:
            self.on_read(topic)
        return answer_bytes(200, body, self.headers())

    def append_call(self, topic, body):
        offset = len(self.topics.get(topic, []))
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4 : 4 + length], body[4 + length :]
            key_length = content[0]
            self.append(topic, content[1 : 1 + key_length].decode(), content[1 + key_length :])
        document = {"offset": offset, "end": len(self.topics.get(topic, []))}
        return json_bytes(200, document, self.headers())


# ---------------------------------------------------------------- replicas


class Replica(Server):
    """A replica that writes its entry to the store and answers requests."""

    def __init__(self, store, name, service, version="v1", phase=None):
        super().__init__()
        self.store, self.name, self.service = store, name, service
        self.version, self.phase = version, phase
        self.state = "ready"
        self.born = None
        self.seq = 0
        self.beating = None
        self.runs = []
        self.says_leaving = False
        self.work_s = 0.06
        self.event_s = 0.05
        self.prefill_tokens_per_s = 55000.0
        self.read_until = 0.0
        # When it reserved memory.
        self.reserved = []
        # Reservations, prompts in memory and orders of this run of the process.
        self.fence = 0
        self.orders = 0
        self.busy_until = 0.0
        # Orders that were accepted, with their times.
        self.accepted = []

    def entry(self):
        self.seq += 1
        entry = {
            "service": self.service, "addr": self.address, "zone": "zone-a", "version": self.version, "slots": 48,
            "state": self.state, "cold-left-ms": 0, "seq": self.seq, "born": self.born,
        }
        if self.phase:
            entry["phase"] = self.phase
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def start(self):
        self.born = int(time.time() * 1000)
        self.seq = self.fence = self.orders = 0
        await self.listen()
        record(f"replica {self.name} starts as version {self.version}, born {self.born}")
        self.beating = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.store.write("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beating(self):
        if self.beating is not None:
            self.beating.cancel()
            self.beating = None

    def crash(self):
        record(f"replica {self.name} (version {self.version}) ends")
        self.stop_beating()
        self.end()

    def own_headers(self, request_id):
        headers = [("Request-Id", request_id), ("Server-Stamp", f"stamp-{self.name}-{self.born}")]
        if self.says_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def on_request(self, writer, method, target, headers, body):
        expected = headers.get("expect-instance")
        if expected and expected != self.name:
            writer.write(json_bytes(421, {}, [("Not-Executed", "1"), ("Instance-Id", self.name)]))
            return
        if target == "/health":
            writer.write(answer_bytes(200, b"", [("Instance-Id", self.name)]))
        elif target.startswith("/v1/"):
            writer.write(self.control(method, target, headers, body))
        elif not headers.get("request-id"):
            writer.write(json_bytes(400, {}, [("Not-Executed", "1")]))
        elif headers.get("stage") == "prefill":
            handle = f"{random.getrandbits(48):012x}"
            tokens = int(headers.get("token-counts").split(",")[0])
            # Prompts are read one after the other.
            self.read_until = max(self.read_until, now()) + tokens / self.prefill_tokens_per_s
            await asyncio.sleep(self.read_until - now())
            document = {"kv-handle": handle, "tokens": tokens, "version": 1}
            writer.write(json_bytes(200, document, [("Request-Id", headers.get("request-id"))]))
        elif self.phase and (now() < self.busy_until or self.phase == "prefill"):
            writer.write(json_bytes(503, {}, [("Not-Executed", "1")]))
        elif self.phase:
            await self.stream(writer, headers)
        else:
            await self.run(writer, method, target, headers)

    def control(self, method, target, headers, body):
        if target == "/v1/report":
            document = {
                "phase": self.phase, "models": [], "busy": now() < self.busy_until, "seq": self.orders, "queued": 0,
                "running": 0, "kv-used": 0, "kv-total": 100000, "kv-handles": 0,
            }
            return json_bytes(200, document)
        if target == "/v1/order":
            return self.order(json.loads(body))
        if target == "/v1/hold-take":
            self.reserved.append(now())
            return json_bytes(200, {"hold": f"{random.getrandbits(48):012x}"})
        if method == "DELETE":
            return json_bytes(200, {})
        return json_bytes(404, {})

    def order(self, order):
        record(f"replica {self.name} gets order {json.dumps(order)}")
        if order["fence"] < self.fence:
            return json_bytes(412, {})
        self.fence = order["fence"]
        if now() < self.busy_until or order.get("expect", self.orders) != self.orders:
            return json_bytes(409, {})
        if order["phase"] == self.phase:
            return json_bytes(200, {})
        self.orders += 1
        self.accepted.append((now(), order))
        self.busy_until = now() + SWITCH_S
        asyncio.ensure_future(self.switch(order["phase"]))
        return json_bytes(202, {})

    async def switch(self, phase):
        await asyncio.sleep(SWITCH_S)
        self.phase = phase
        record(f"replica {self.name} is in phase {phase} now")
        self.store.write("keyed.servers", self.name, self.entry())

    async def run(self, writer, method, target, headers):
        """Runs a plain request."""
        request_id = headers.get("request-id")
        self.runs.append((now(), request_id))
        record(f"replica {self.name} runs request {request_id} ({method} {target})")
        await asyncio.sleep(self.work_s)
        body = f"{self.name} has run {request_id}".encode()
        writer.write(answer_bytes(200, body, self.own_headers(request_id)))

    async def stream(self, writer, headers):
        """Writes the events of a stream from the one after `Last-Event-Id` on; each names the version that made it."""
        request_id = headers.get("request-id")
        last = int(headers.get("token-counts").split(",")[1])
        after = int(headers.get("last-event-id", "0") or "0")
        self.runs.append((now(), request_id))
        record(f"replica {self.name} (version {self.version}) runs stream {request_id} from event {after + 1}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Weight-Versions: 1", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in self.own_headers(request_id)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        version = self.version
        for number in range(after + 1, last + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {version} {self.name}\n\n".encode()
            if writer.transport.is_closing():
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


# ---------------------------------------------------------------- relays


class Vm:
    """A relay process, started as the deploy file says."""

    def __init__(self, store, name, folder):
        self.name = name
        self.caller_port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.settings = os.path.join(folder, f"{name}.json")
        self.log = os.path.join(folder, f"{name}.log")
        document = {
            "vm": name, "data_centre": "zone-a", "caller_address": f"127.0.0.1:{self.caller_port}",
            "operator_address": f"127.0.0.1:{self.ready_port}", "store_address": store.address,
            "peer_address": f"127.0.0.1:{self.peer_port}", "retry_ratio": 0.2, "retry_slack": 52,
            "lease_lifetime_ms": 3000, "drain_timeout_s": 8, "leaving_bound_ms": 2000, "silence_bound_ms": 3000,
            "memory_limit_mb": 110, "log_level": "info",
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(document, file)
        self.process = None

    def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split()
        command = [self.settings if word == "/etc/arbutusfall/local.conf" else word for word in command]
        if not os.path.exists(os.path.join(REPOSITORY, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        record(f"VM {self.name} starts")
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
            self.process = None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15.0):
        until = now() + limit_s
        while not await self.is_ready():
            if now() > until:
                raise CannotRun(f"VM {self.name} does not become ready")
            await asyncio.sleep(0.1)
        record(f"VM {self.name} is ready")

    def log_lines(self, text):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            return [line.strip() for line in log if text in line]


# ---------------------------------------------------------------- clients


class Result:
    def __init__(self, request_id):
        self.request_id = request_id
        self.sent_at = now()
        self.status = None
        self.headers = Headers()
        self.body = b""
        self.is_complete = False
        self.events = []


async def call(vm, path, method="POST", deadline_ms=3000, headers=(), body=b"", limit_s=None):
    """Sends one client attempt over a connection of its own and reads its answer."""
    result = Result(f"{random.getrandbits(64):016x}")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {result.request_id}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    record(f"client sends {result.request_id} ({method} {path}) to {vm.name}")
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", vm.caller_port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(receive(reader, result), limit_s or deadline_ms / 1000 + 1.0)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    versions = " ".join(f"{number}:{data}" for number, data in spans(result.events))
    end = "complete" if result.is_complete else "not complete"
    record(f"client has for {result.request_id}: status {result.status}, {end} {result.body[:60]!r} {versions}".rstrip())
    return result


class KeptConnection:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, vm, path):
        self.vm, self.path = vm, path
        self.results = []
        # Requests on the kept connection, not the first one, that got no complete answer.
        self.cut = []
        self.is_stopped = False

    async def run(self, pause_s=0.0):
        while not self.is_stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.vm.caller_port)
            except OSError:
                return
            count = 0
            while not self.is_stopped:
                result = Result(f"{random.getrandbits(64):016x}")
                count += 1
                record(f"client sends {result.request_id} (POST {self.path}) to {self.vm.name} on a kept connection")
                lines = [
                    f"POST {self.path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {result.request_id}", "Deadline-Ms: 3000",
                    "Content-Length: 600",
                ]
                try:
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * 600)
                    await asyncio.wait_for(receive(reader, result), 4.0)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                    pass
                record(f"client has for {result.request_id}: status {result.status}")
                self.results.append(result)
                if not result.is_complete:
                    if count > 1:
                        self.cut.append(result)
                    break
                if result.headers.get("connection").lower() == "close":
                    break
                await asyncio.sleep(pause_s)
            writer.close()


def spans(events):
    """Returns the first event of each run of events with the same data."""
    found = []
    for number, data in events:
        if not found or found[-1][1] != data:
            found.append((number, data))
    return found


async def receive(reader, result):
    first, result.headers = await read_head(reader)
    result.status = int(first.split(" ")[1])
    if result.headers.get("content-type").startswith("text/event-stream"):
        await receive_events(reader, result)
    else:
        result.body = await read_body(reader, result.headers)
    result.is_complete = True


async def receive_events(reader, result):
    text = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            return
        text += await reader.readexactly(size)
        await reader.readexactly(2)
        *events, text = text.split(b"\n\n")
        for event in events:
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            result.events.append((int(fields["id"]), fields["data"]))


async def stream(vm, path, events, deadline_ms=14000, prompt=300):
    """Sends one model request with a prompt of its own."""
    parts = f"{random.getrandbits(32):08x}:100,{random.getrandbits(32):08x}:{prompt - 100}"
    headers = [("Model", "m"), ("Token-Counts", f"{prompt},{events}"), ("Prompt-Prefix", parts)]
    return await call(vm, path, deadline_ms=deadline_ms, headers=headers, body=b"x" * prompt)


# ---------------------------------------------------------------- play


def config(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


def model_service(name, kv_tokens=8000):
    engine = {
        "slots": 48, "kv-tokens": kv_tokens, "kv-bytes": 131072, "link-mbps": 4400000.0, "moves": True, "backups": True,
        "stride": 72, "most": 12, "kv-hold-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
        "models": [{"name": "m"}],
    }
    return {"name": name, "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False, "engine": engine}


def plain_service(name):
    return {"name": name, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False}


def model_route(name, service, attempts=2):
    return {
        "name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": "stream", "timeout-ms": 14000,
        "target-latency-ms": 900, "priority": 1, "service": service, "attempts": attempts, "sticky": True,
        "resumable": True, "gap-aim-ms": 300,
    }


def plain_route(name, service, kind):
    return {
        "name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": 1500, "target-latency-ms": 300,
        "priority": 2, "service": service, "attempts": 2 if kind == "idempotent" else 1, "sticky": False,
    }


def play(case, scenario, limit_s=115):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    global record
    record = Record(os.path.join(case, "record.txt"))

    def on_stop(*_):
        raise CannotRun("the script was stopped")

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    vms = []
    status = 2
    with tempfile.TemporaryDirectory() as folder:
        def new_vm(store, name):
            vms.append(Vm(store, name, folder))
            return vms[-1]

        try:
            # The loop is not closed: connections that are still open need no end of their own.
            is_broken = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(scenario(new_vm), limit_s))
            status = 1 if is_broken else 0
        except CannotRun as error:
            record(f"the case could not run: {error}")
        except Exception as error:  # The case itself is faulty.
            record(f"the case could not run: {type(error).__name__} {error}")
        finally:
            for vm in vms:
                vm.stop()
            for vm in vms:
                if os.path.exists(vm.log):
                    for line in vm.log_lines('"event"')[-400:]:
                        if "sent" in line or "given_up" in line or "endpoint" in line or "lease" in line or "role" in line or "store" in line:
                            record(f"log of {vm.name}: {line}")
    text = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status]
    record(text)
    print(text, flush=True)
    os._exit(status)
