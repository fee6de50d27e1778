"""The store returns from an older copy, and a VM that has just started becomes the holder of the lease for orders.

No two machines may give orders to a replica with one fencing token.
"""

import asyncio
import json
import os

import deployment
from deployment import CannotRun, Replica, Store, TROUBLE, config, model_route, model_service, now, play, stream

RESTART_S = 0.5
# Changes of the group from the copy to the first order.
CHANGES = 4


async def until(condition, limit_s, what):
    end = now() + limit_s
    while not condition():
        if now() > end:
            raise CannotRun(f"{what} does not happen in {limit_s} s")
        await asyncio.sleep(0.02)


def machine_of(order):
    return order["holder"].rsplit("-", 1)[0]


async def scenario(new_vm):
    record = deployment.record
    store = Store()
    await store.listen()
    services = [model_service("captions", kv_tokens=107368)]
    store.write("keyed.op", "config", config(1, [model_route("draft", "captions")], services))
    engines = [
        Replica(store, "i-decode-1", "captions", phase="decode"),
        Replica(store, "i-decode-2", "captions", phase="decode"),
        Replica(store, "i-prefill-1", "captions", phase="prefill"),
    ]
    for engine in engines:
        engine.event_s = 0.01
        await engine.start()
    first, second = new_vm(store, "front-1"), new_vm(store, "front-2")

    def group():
        return store.groups.get("orders") or next(iter(store.groups.values()), deployment.Group())

    def members_of(vm):
        return [member for member in group().members if member.startswith(vm.name)]

    async def restart(vm):
        """The process is killed, and the platform starts it again."""
        before = set(members_of(vm))
        record(f"the process of {vm.name} is killed")
        vm.stop()
        await asyncio.sleep(RESTART_S)
        vm.start()
        return before

    def orders():
        return [(at, engine.name, order) for engine in engines for at, order in engine.accepted]

    first.start()
    await first.wait_ready()
    await until(lambda: (group().holder(0) or "").startswith("front-1"), 5.0, "the first VM's hold of the lease")
    second.start()
    await second.wait_ready()
    await until(lambda: members_of(second), 5.0, "the second VM's membership")
    await asyncio.sleep(4.0)

    copy = store.copy()
    generation = group().generation
    record(f"the store is copied, generation {generation}")
    if TROUBLE:
        for _ in range(2):
            before = await restart(second)
            await until(lambda: set(members_of(second)) - before, 5.0, "the second VM's membership")
    # Long prompts at the first VM: it needs one more replica for prefills, and orders that some seconds later.
    prompts = asyncio.ensure_future(prefill_heavy(first))
    await until(orders, 15.0, "the first VM's order")
    fence = orders()[0][2]["fence"]
    record(f"the first order has fencing token {fence}, {now() - copy[2]:.1f} s after the copy")
    if TROUBLE:
        if fence != generation + CHANGES:
            raise CannotRun(f"the first order has fencing token {fence}, not {generation + CHANGES}")
        await store_returns(store, copy, restart(second))
    await prompts
    await second.wait_ready()
    # Long answers at the second VM: it needs one replica fewer for prefills.
    answers = [asyncio.ensure_future(stream(second, "/draft/1", 400, prompt=110)) for _ in range(8)]
    await asyncio.sleep(16.0)
    await asyncio.gather(*answers)
    holders = {}
    for at, replica, order in sorted(orders(), key=lambda found: found[0]):
        record(f"order at {at:.3f} s to {replica}: {json.dumps(order)}")
        holders.setdefault((replica, order["fence"]), set()).add(machine_of(order))
    twice = {key: sorted(machines) for key, machines in holders.items() if len(machines) > 1}
    for (replica, token), machines in twice.items():
        record(f"replica {replica} has orders of {machines} with one fencing token, {token}")
    record(f"fencing tokens with two holders at one replica: {len(twice)}")
    return bool(twice)


async def prefill_heavy(vm):
    await asyncio.sleep(0.8)
    await asyncio.gather(*(stream(vm, "/draft/1", 10, prompt=8000) for _ in range(6)))


async def store_returns(store, copy, restart):
    """The store is away for a moment and returns from the copy, just after the first VM has asked it in vain."""
    record = deployment.record
    store.go_down()
    record("the store is away")
    await restart
    await asyncio.sleep(0.5)
    asked = asyncio.Event()
    store.on_refused = lambda path, body: asked.set() if path == "/v1/log-join" and b'"front-1-' in body else None
    await asyncio.wait_for(asked.wait(), 5.0)
    store.on_refused = None
    store.return_from(copy)
    record(f"the store returns from a copy that is {now() - copy[2]:.1f} s old, era {store.era}")


play(os.path.dirname(os.path.abspath(__file__)), scenario)
