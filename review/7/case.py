"""A VM gets SIGTERM while streams run; the sound engine ends them whole, then is silent for a second."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(FOLDER))

import parts_2 as parts  # noqa: E402

STREAMS = 8
EVENTS = 40
EVENT_S = 0.1
TERM_AFTER_S = 2.0
SILENCE_S = 1.0


class Engine:
    """A sound decode engine whose streams end with their connections."""

    def __init__(self, store, record):
        self.record = record
        self.server = parts.Server(self.handle)
        self.entry = parts.Entry(store, "i-decode", "llm", self.server.address, "decode")
        self.silent_until = None
        self.ended = {}
        self.holds = 0

    async def handle(self, head, body, writer):
        method, path, _ = head.first
        if self.silent_until:
            await asyncio.sleep(max(0.0, self.silent_until - time.monotonic()))
        if path == "/v1/hold-take":
            self.holds += 1
            writer.write(parts.json_answer({"hold": f"h{self.holds}"}))
        elif path == "/v1/report":
            self.record.line("engine answers GET /v1/report")
            writer.write(parts.json_answer({"born": self.entry.born, "phase": "decode", "busy": False, "seq": 0}))
        elif method == "DELETE":
            writer.write(parts.answer(200))
        else:
            return await self.stream(head, writer)
        return True

    async def stream(self, head, writer):
        request_id = head.get("request-id")
        self.record.line(f"engine runs {request_id}")
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Stamp: stamp\r\n"
            f"Request-Id: {request_id}\r\nConnection: close\r\n\r\n"
        ).encode())
        for number in range(EVENTS):
            writer.write(f"id: {number}\ndata: {'token ' * 50}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        self.ended[request_id] = time.monotonic()
        self.record.line(f"engine has written all {EVENTS} events of {request_id} and closes the connection")
        if parts.TROUBLE and self.silent_until is None:
            self.silent_until = time.monotonic() + SILENCE_S
            self.record.line(f"engine is silent for {SILENCE_S} s")
        return False


async def call(router, request_id, record):
    reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
    fields = [("Model", "m"), ("Token-Counts", f"5000,{EVENTS}"), ("Prompt-Prefix", f"5c1e07a2:200,{request_id}:4800")]
    record.line(f"caller sends {request_id}")
    writer.write(parts.request("POST", "/album/1", request_id, fields, b"p" * 5000, 14000))
    played = await parts.read_answer(reader, parts.Played(request_id))
    record.line(f"caller has {played}")
    writer.close()
    return played


async def play():
    record = parts.Record(FOLDER)
    store = parts.Store()
    await store.server.start()
    store.write("keyed.op", "config", parts.config([parts.route("album", "stream", "llm", 14000, 900)]))
    engine = Engine(store, record)
    await engine.server.start()
    beat = asyncio.create_task(engine.entry.keep())
    router = parts.Router(store)
    try:
        router.start()
        if not await router.wait_until_ready():
            print("the router is not ready")
            return parts.NOT_RUN
        await asyncio.sleep(4)
        calls = [asyncio.create_task(call(router, f"{number:016x}", record)) for number in range(1, STREAMS + 1)]
        await asyncio.sleep(TERM_AFTER_S)
        if parts.TROUBLE:
            record.line("platform sends SIGTERM")
            router.process.send_signal(signal.SIGTERM)
        term_at = time.monotonic()
        played = await asyncio.gather(*calls)
    finally:
        beat.cancel()
        router.end()
    if len(engine.ended) < STREAMS or any(answer.events < EVENTS for answer in played):
        print("not all streams were run and passed on whole, so the case did not arise")
        return parts.NOT_RUN
    cut = [answer for answer in played if not answer.is_complete]
    last = max(engine.ended.values()) - term_at
    text = f"{len(cut)} of {STREAMS} answers that their engine had ended whole, the last {last:.1f} s after the SIGTERM, were cut"
    record.line(text)
    print(text)
    return parts.BROKEN if cut else parts.HELD


parts.run(play)
