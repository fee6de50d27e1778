"""The store returns from a copy without a new version, and all VMs start again at that moment: streams go on at the other version."""

import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_3 as s

STREAMS = 40
EVENTS = 90
GAP_S = 3.6


async def case(world, has_trouble):
    world.configure()
    for phase in ["prefill", "prefill", "decode", "decode", "decode"]:
        await world.add("llm", phase)
    vms = await world.start_vms(3)
    await asyncio.sleep(4)
    world.record.say("replicas of version v2 join (planned work)")
    for _ in range(2):
        await world.add("llm", "decode", "v2")
    await asyncio.sleep(1)
    joined, taken_up, went_on = [], [], []

    async def caller(number):
        headers = {"Model": "m", "Token-Counts": "100,90", "Prompt-Prefix": f"ab{number:06x}:100", "X-Events": EVENTS}
        deadline = s.now() + 14
        first = await s.attempt(world, vms[number % 3], "POST", "/summary/x", headers, b"p" * 200, 14000, GAP_S)
        if first.is_complete or not first.events:
            return
        events = [event for _, event in first.events]
        again = {**headers, "Last-Event-Id": s.event_id(events[-1]), "Resumes": first.id}
        taken_up.append(first.id)
        # It waits before it comes back, as a sound caller does after a broken connection.
        await asyncio.sleep(1.2 + 0.4 * s.random.random())
        for step in range(1, 3):
            left = deadline - s.now()
            second = await s.attempt(world, vms[(number + step) % 3], "POST", "/summary/x", again, b"p" * 200, int(left * 1000), GAP_S)
            if second.events:
                went_on.append(second.id)
                events += [event for _, event in second.events]
                versions = set(re.findall(r"data: (\S+)", "\n".join(events)))
                if len(versions) > 1:
                    joined.append(first.id)
                    world.record.say(f"stream {first.id}, taken up as {second.id}, holds events of {sorted(versions)}")
                return
            wait = float(second.headers.get("retry-after", 0))
            if second.status != 503 or wait > (deadline - s.now()) / 3:
                return
            await asyncio.sleep(wait)

    callers = []
    for number in range(STREAMS):
        callers.append(asyncio.create_task(caller(number)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)
    if has_trouble:
        world.record.say("the store goes away, and all VMs are killed")
        world.store.go_down()
        for vm in vms:
            vm.process.kill()
            vm.process.wait()
        await asyncio.sleep(0.8)
        world.record.say("the store returns from a copy that is 5 s old")
        world.store.return_from_copy(5)
        # The operator's and the replicas' records are written again, those of the replicas within two seconds.
        world.configure()
        for replica in world.replicas:
            replica.write_again_after(1.5 if replica.version == "v2" else 1.2 * s.random.random())
        await asyncio.sleep(0.2)
        for vm in vms:
            vm.start()
        world.record.say("all VMs are started again")
    await asyncio.gather(*callers)
    world.record.say(f"streams: {STREAMS}; taken up again: {len(taken_up)}, gone on: {len(went_on)}, of two versions: {len(joined)}")
    if len(joined) > 2:
        world.record.say("ORDER is broken")
        return 1
    return 0


s.run_case(case, os.path.dirname(os.path.abspath(__file__)))
