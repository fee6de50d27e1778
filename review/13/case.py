"""Planned work alone: a replica leaves without reporting `draining`; streams that wait for their first event there can't go on."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins_3 as s

EVENTS = 60
WAVE = 80
GAP_S = 3.6  # four times the objective: longer than two seconds and than eight times the pause
FIRST_S = 1.6  # until the first token, as long prompts take it


class Engine(s.Replica):
    async def run(self, request, reader, writer):
        await asyncio.sleep(FIRST_S if "last-event-id" not in request.headers else 0.1)
        return await super().run(request, reader, writer)


async def case(world, has_trouble):
    world.configure()
    for _ in range(2):
        await world.add("llm", "prefill")
    engines = [await world.add("llm", "decode", kind=Engine) for _ in range(4)]
    vms = await world.start_vms(3)
    await asyncio.sleep(4)  # all VMs in touch
    taken_up, went_on, new, began, whole = [], [], [], [], []

    async def caller(number):
        headers = {"Model": "m", "Token-Counts": "100,90", "Prompt-Prefix": f"ab{number:06x}:100", "X-Events": EVENTS}
        deadline = s.now() + 14
        new.append(number)
        first = await s.attempt(world, vms[number % 3], "POST", "/summary/x", headers, b"p" * 200, 14000, GAP_S)
        if first.events:
            began.append(number)
        if first.is_complete and first.status == 200:
            whole.append(number)
        if first.is_complete or not first.events:
            return
        again = {**headers, "Last-Event-Id": s.event_id(first.events[-1][1]), "Resumes": first.id}
        taken_up.append(first.id)
        for step in range(1, 3):
            left = deadline - s.now()
            second = await s.attempt(world, vms[(number + step) % 3], "POST", "/summary/x", again, b"p" * 200, int(left * 1000), GAP_S)
            if second.events:
                went_on.append(second.id)
                return
            wait = float(second.headers.get("retry-after", 0))
            if second.status != 503 or wait > (deadline - s.now()) / 3:
                return
            await asyncio.sleep(wait)

    callers = []
    for number in range(WAVE):
        callers.append(asyncio.create_task(caller(number)))
        await asyncio.sleep(0.004)
    await asyncio.sleep(0.1)
    if has_trouble:
        world.record.say(f"a replica's entry is removed without `draining`; it runs {len(engines[0].running)} requests")
        engines[0].leave_list()
    # It goes on serving for drain-ms (2 s) and a little longer.
    await asyncio.sleep(3.4)
    if has_trouble:
        world.record.say(f"the replica exits; it runs {len(engines[0].running)} requests")
        engines[0].crash()
    await asyncio.sleep(1)
    for number in range(WAVE, WAVE + 20):
        callers.append(asyncio.create_task(caller(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*callers)
    world.record.say(f"new streams: {len(new)}, begun: {len(began)}, complete at once: {len(whole)}; "
                     f"taken up again: {len(taken_up)}, gone on: {len(went_on)}")
    if len(began) < len(new) / 2:
        return 2
    if len(taken_up) >= 12 and len(went_on) / len(taken_up) < len(began) / len(new) / 2:
        world.record.say("LOST is broken")
        return 1
    return 0


s.run_case(case, os.path.dirname(os.path.abspath(__file__)))
