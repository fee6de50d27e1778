"""Prefills turn slow while a decode replica, at which memory is reserved for waiting requests, begins to leave.

No request may reach a replica later than `drain-ms` after the store has accepted that it is draining.
"""

import asyncio
import os

import deployment
from deployment import Replica, Store, TROUBLE, config, model_route, model_service, now, play, stream

DRAIN_S = 2.0
# Time from the report until the replica exits: `drain-ms` and a little longer.
SERVES_ON_S = 4.0
SLOW_FACTOR = 5.0
PROMPT = 11000


async def scenario(new_vm):
    record = deployment.record
    store = Store()
    await store.listen()
    route = model_route("album", "captions", attempts=1)
    route["resumable"] = False
    store.write("keyed.op", "config", config(1, [route], [model_service("captions", kv_tokens=107368)]))
    prefill = Replica(store, "i-prefill", "captions", phase="prefill")
    engines = [Replica(store, f"i-decode-{number}", "captions", phase="decode") for number in (1, 2, 3)]
    for replica in [prefill, *engines]:
        await replica.start()
    vms = [new_vm(store, "front-1")]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.wait_ready()
    # Usual traffic: the VM learns how fast prompts are read.
    usual = []
    for _ in range(8):
        usual.append(asyncio.ensure_future(stream(vms[0], "/album/1", 5, prompt=PROMPT)))
        await asyncio.sleep(0.3)
    results = await asyncio.gather(*usual)
    if not all(result.is_complete and result.status == 200 for result in results):
        raise deployment.CannotRun("the usual traffic is not served")
    if TROUBLE:
        prefill.prefill_tokens_per_s /= SLOW_FACTOR
        record(f"replica {prefill.name} turns slow")
    began_at = now()
    calls = [asyncio.ensure_future(stream(vms[0], "/album/1", 70, prompt=PROMPT)) for _ in range(4)]
    await asyncio.sleep(0.1)
    # One that has reserved memory for a request whose prompt is read third.
    leaving = sorted((at, engine.name, engine) for engine in engines for at in engine.reserved if at >= began_at)[2][2]
    leaving.state = "draining"
    store.write("keyed.servers", leaving.name, leaving.entry())
    accepted_at = now()
    record(f"the store accepts that {leaving.name} is draining")
    await asyncio.sleep(SERVES_ON_S)
    store.write("keyed.servers", leaving.name, None)
    leaving.crash()
    results += await asyncio.gather(*calls)
    late = [run for run in leaving.runs if run[0] > accepted_at + DRAIN_S]
    for at, request_id in late:
        record(f"{request_id} reached {leaving.name} {at - accepted_at:.3f} s after the store had accepted that it is draining")
    cut = [result for result in results if not result.is_complete or result.status != 200]
    for result in cut:
        record(f"{result.request_id} ended with status {result.status} and {len(result.events)} events")
    record(f"requests that reached the draining replica too late: {len(late)}")
    return bool(late)


play(os.path.dirname(os.path.abspath(__file__)), scenario)
