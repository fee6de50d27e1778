"""Stand-ins of the platform's store, of replicas and of callers for the scripts of the second review.

They speak what PROTOCOL.md says, on loopback addresses, and need only Python's standard library.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target/release/arbutusfall")
HOST = "kiosk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

_used_ports = set()


def free_port():
    """Returns a free port of the loopback address."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return port


class Record:
    """What was sent, answered and run; written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began_at:9.3f} s  {text}\n")
        self.file.flush()


class Head:
    """Head of a request or of an answer."""

    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.fields = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.fields.get(name, default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    return Head(raw[:-4])


async def read_body(reader, head):
    """Reads a body with a length or in chunks."""
    if head.get("transfer-encoding").lower() != "chunked":
        return await reader.readexactly(int(head.get("content-length", "0") or 0))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += part[:-2]


def answer(status, fields=(), body=b""):
    """Returns an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_answer(document, fields=()):
    return answer(200, [("Content-Type", "application/json"), *fields], json.dumps(document).encode())


def request(method, path, request_id, fields=(), body=b"", deadline_ms=3000):
    """Returns a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server; `handle(head, body, writer)` writes the answer and returns whether the connection stays open."""

    def __init__(self, handle):
        self.handle = handle
        self.port = free_port()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22, backlog=2048)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self.handle(head, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: a log with keyed topics, and a group whose one partition one member holds."""

    def __init__(self):
        self.topics = {}
        self.generation = 0
        self.holder = None
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def write(self, topic, key, document):
        value = None if document is None else json.dumps(document).encode()
        self.add(topic, [(key.encode(), value)])

    def add(self, topic, records):
        self.topics.setdefault(topic, []).extend(records)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, head, body, writer):
        writer.write(await self.answer(head, body))
        return True

    async def answer(self, head, body):
        path, _, query = head.first[1].partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        await asyncio.sleep(0.004)
        status, result = 200, b"{}"
        if path == "/v1/log-newest":
            if query["topic"] in self.topics:
                result = self.newest(query)
            else:
                status = 404
        elif path == "/v1/log-read":
            result = await self.tail(query)
        elif path == "/v1/log-append":
            offset = len(self.topics.get(query["topic"], []))
            self.add(query["topic"], list(parse_records(body)))
            result = json.dumps({"offset": offset, "end": len(self.topics[query["topic"]])}).encode()
        elif path == "/v1/log-join":
            result = self.join(json.loads(body))
        elif path == "/v1/log-leave":
            if self.holder and self.holder[0] == json.loads(body).get("member"):
                self.holder = None
        return answer(status, [("Store-Era", "1"), ("Content-Type", "application/json")], result)

    def newest(self, query):
        after = query.get("after", "").encode()
        records = self.topics[query["topic"]]
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        keys = sorted(key for key in newest if key > after)
        items = []
        for key in keys[:500]:
            offset, value = newest[key]
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return json.dumps({"items": items, "has-more": len(keys) > 500, "end": len(records)}).encode()

    async def tail(self, query):
        first = int(query["from"])
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            records = self.topics.get(query["topic"], [])
            left = until - time.monotonic()
            if len(records) > first or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        result = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key + (value or b"")
            result += len(content).to_bytes(4, "big") + content
        return result

    def join(self, body):
        now = time.monotonic()
        if not self.holder or self.holder[1] < now:
            self.generation += 1
            self.holder = (body["member"], now)
        is_holder = self.holder[0] == body["member"]
        if is_holder:
            self.holder = (body["member"], now + body["ttl-ms"] / 1000)
        parts = [["orders", 0, 0]] if is_holder else []
        return json.dumps({"generation": self.generation, "ttl-ms": body["ttl-ms"], "parts": parts}).encode()


def parse_records(body):
    """Returns keys and values of the records of an append to a keyed topic."""
    while body:
        length = int.from_bytes(body[:4], "big")
        record, body = body[4:4 + length], body[4 + length:]
        yield record[1:1 + record[0]], record[1 + record[0]:] or None


class Entry:
    """The entry of a replica in the store, written again each heartbeat."""

    def __init__(self, store, instance, service, address, phase=None):
        self.store = store
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.value = {
            "service": service, "addr": address, "zone": "plovdiv-a", "version": "v1", "slots": 48, "state": "ready",
            "cold-left-ms": 0, "seq": 0, "born": self.born,
        }
        if phase:
            self.value["phase"] = phase
            self.value["models"] = [{"name": "m", "version": 1, "adapters": []}]

    async def keep(self):
        while True:
            self.value["seq"] += 1
            self.store.write("keyed.servers", self.instance, self.value)
            await asyncio.sleep(1.2)


def route(name, kind, service, timeout_ms, target_ms, **further):
    made = {
        "name": name, "host": HOST, "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": timeout_ms,
        "target-latency-ms": target_ms, "priority": 1, "service": service, "attempts": 1,
    }
    if kind == "stream":
        made |= {"sticky": True, "resumable": False, "gap-aim-ms": 300}
    return made | further


def config(routes):
    """Returns a configuration with a service of engines, `llm`, and a plain one, `api`; figures as in the page of messages."""
    engine = {
        "slots": 48, "kv-tokens": 2000000, "kv-bytes": 131072, "link-mbps": 4400000.0, "moves": True, "backups": True,
        "stride": 72, "most": 12, "kv-hold-s": 0.5, "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
        "models": [{"name": "m"}],
    }
    services = [
        {"name": "llm", "health-path": "/health", "max-conns": 290, "protocol": "h1", "tls": False, "engine": engine},
        {"name": "api", "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": False},
    ]
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    return {"version": 7, "routes": routes, "services": services, "limits": limits}


class Router:
    """A router process with the command of the deploy file and settings as its template makes them."""

    def __init__(self, store, memory_mb=110):
        self.memory_mb = memory_mb
        self.port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.settings = os.path.join(self.folder, "local.conf")
        settings = {
            "vm": "front-plovdiv-a-1", "data_centre": "plovdiv-a", "caller_address": f"127.0.0.1:{self.port}",
            "operator_address": f"127.0.0.1:{self.ready_port}", "store_address": store.server.address,
            "peer_address": f"127.0.0.1:{self.peer_port}", "retry_ratio": 0.2, "retry_slack": 52,
            "lease_lifetime_ms": 3000, "drain_timeout_s": 8, "leaving_bound_ms": 2000, "silence_bound_ms": 3000,
            "memory_limit_mb": memory_mb, "cpu_share": 0.25, "link_mbps": 1000.0, "log_level": "info",
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        with open(os.path.join(self.folder, "log.txt"), "ab") as log:
            command = [PROGRAM, "relay", "--settings", self.settings]
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def memory_mb_used(self, field="VmRSS"):
        """Returns the resident memory in MB; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                lines = dict(line.split(":", 1) for line in file if ":" in line)
            return int(lines[field].split()[0]) * 1024 / 1_000_000
        except (OSError, KeyError):
            return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Played:
    """Outcome of one attempt of a caller."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.stamp = None
        self.events = 0
        self.is_complete = False
        self.end = "no answer"

    def __str__(self):
        complete = "complete" if self.is_complete else "not complete"
        return f"{self.request_id}: status {self.status}, {self.events} events, {complete}, {self.end}"


async def read_answer(reader, played):
    """Reads one answer; marks it complete only if its own framing says so."""
    try:
        head = await read_head(reader)
        played.status, played.stamp, played.end = head.first[1], head.get("server-stamp", None), "broken off"
        if head.get("transfer-encoding").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\r\n"):
                    return played
                size = int(line.split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                played.events += part.count(b"\n\n")
                if size == 0:
                    break
        else:
            await reader.readexactly(int(head.get("content-length", "0")))
        played.is_complete, played.end = True, "whole"
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return played


def run(play):
    """Runs a case and exits with its result."""

    async def play_in_time():
        # Connections that are open at the end are no matter.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(play(), 110)

    try:
        result = asyncio.run(play_in_time())
    except asyncio.TimeoutError:
        print("the case took too long")
        result = NOT_RUN
    raise SystemExit(result)
