"""An entry of another writer hangs the routers."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.dont_write_bytecode = True

import world as w  # noqa: E402

REQUESTERS = 24
ROUTE_TIMEOUT_S = 2.0
DEADLINE_MS = 4000
# Added to the route's timeout by the rule.
HALF_A_SECOND = 0.5
# Another writer's numbers of weights: date and time in microseconds.
OTHER_WRITERS_VERSION = 20261204130059123456


async def ask(requester):
    headers = [("Authorization", f"Bearer {w.KEY}")]
    while True:
        body = f"order {requester.name} {requester.sent}".encode()
        await requester.send("/order/new", headers, body, DEADLINE_MS)
        await asyncio.sleep(0.1)


async def case(world, record):
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
        record.say("another writer stores an entry of a service not named here")
        world.store.put(
            "servers",
            "batch-17",
            {
                "service": "night-batch",
                "address": f"127.0.0.1:{w.free_port()}",
                "zone": w.ZONES[0],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
                "models": [
                    {
                        "name": w.MODEL,
                        "version": OTHER_WRITERS_VERSION,
                        "adapters": [],
                    }
                ],
            },
        )
    await asyncio.sleep(15)
    ready = [await each.is_ready() for each in world.routers]
    for each in tasks:
        each.cancel()
    balancer.close()
    for each, answered in zip(world.routers, ready, strict=True):
        record.say(
            f"{each.name}: ready {answered}, ended by itself"
            f" {len(each.ends)} times"
        )
    answers = [each for requester in requesters for each in requester.answers]
    late = [each for each in answers if each[2] - each[1] > ROUTE_TIMEOUT_S]
    never = [
        each
        for each in late
        if not each[3].whole
        or each[2] - each[1] > ROUTE_TIMEOUT_S + HALF_A_SECOND
    ]
    served = sum(each[3].served() for each in answers)
    record.say(f"{len(answers)} requests, {served} served")
    record.say(
        f"{len(late)} unanswered at the route's timeout,"
        f" {len(never)} of these half a second later"
    )
    return w.BROKEN if len(never) > len(late) / 2 else w.HELD


w.run(case, FOLDER)
