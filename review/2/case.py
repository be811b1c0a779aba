"""An entry that can't be read hides all later changes of the runners."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import world as w  # noqa: E402

REQUESTERS = 12
DEADLINE_MS = 4000
DRAIN_S = w.BOUNDS["drainMs"] / 1000
# How much longer a runner serves after its `drainMs`.
LINGER_S = 1.5
# Bytes that are no UTF-8, as a store writes them in JSON text: the escapes of
# two lone surrogates.
UNREADABLE = r'"\udcff\udcfe"'


async def ask(requester):
    headers = [("Authorization", f"Bearer {w.KEY}")]
    while True:
        body = f"order {requester.name} {requester.sent}".encode()
        await requester.send("/order/new", headers, body, DEADLINE_MS)
        await asyncio.sleep(0.1)


async def replace(world, record, old, new, zone, late):
    """Replaces a runner as planned: the new one first, then the old drains."""
    await world.add_runner(new, "yard-orders", zone=zone)
    await asyncio.sleep(1.0)
    runner = world.runners[old]
    runner.state = "draining"
    runner.register()
    acknowledged = record.now()
    record.say(f"the store has acknowledged that {old} is draining")

    def check(request):
        since = record.now() - acknowledged
        if since > DRAIN_S:
            record.write(f"late     {request.get('request-id')}: {since:.3f} s")
            late.append(request.get("request-id"))

    runner.on_request = check
    await asyncio.sleep(DRAIN_S + LINGER_S)
    record.say(f"{old} exits with {runner.running} requests in progress")
    runner.retire()


async def case(world, record):
    json.loads(UNREADABLE)  # It is JSON.
    world.store.put("config", "main", w.manifest())
    world.name_weights(1)
    await world.add_runners()
    await world.start_routers(4)
    balancer = w.Balancer(world)
    requesters = [
        w.Requester(world, balancer, number, f"q{number}")
        for number in range(REQUESTERS)
    ]
    tasks = [asyncio.create_task(ask(each)) for each in requesters]
    await asyncio.sleep(5)
    if w.TROUBLE:
        record.say("another writer stores an entry that can't be read")
        world.store.put_text("servers", "batch-17", UNREADABLE)
    # Longer than contactMs.
    await asyncio.sleep(5)
    late = []
    for index, zone in enumerate(w.ZONES):
        await replace(
            world, record, f"i-o{index}", f"i-n{index}", zone, late
        )
    released = record.now()
    await asyncio.sleep(5)
    for each in tasks:
        each.cancel()
    balancer.close()
    answers = [each for requester in requesters for each in requester.answers]
    served = sum(each[3].served() for each in answers)
    record.say(f"{len(answers)} requests, {served} served")
    after = [each[3] for each in answers if each[1] > released]
    record.say(
        f"once all runners were replaced: {len(after)} requests,"
        f" {sum(each.served() for each in after)} served"
    )
    record.say(
        f"{len(late)} requests reached a runner over {DRAIN_S} s after it was"
        " acknowledged as draining"
    )
    return w.BROKEN if late else w.HELD


w.run(case, FOLDER)
