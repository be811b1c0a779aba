"""Case 4: a holder that returns gives orders with its old fence number."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import runners2
import stage2

NAMES = ("front-a-1", "front-a-2")
LEASE_SECONDS = 3.0
# The largest that the site file names for one machine, and for lost answers.
TURNED_AWAY_SECONDS = 7.0
LOST_SECONDS = 4.5


async def reach(runners, version, seconds):
    """Waits until all runners have a version; returns whether they do."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all(each.version == version for each in runners):
            return True
        await asyncio.sleep(0.05)
    return False


async def name_version(store, record, version):
    record.write(f"operator names version {version}")
    await store.put("versions", "m", {"model": "m", "version": version})


def last_holder(runners):
    """Returns the machine whose order a runner took last."""
    taken = [each for runner in runners for each in runner.orders]
    return max(taken)[1].partition("@")[0]


async def main(record, routers, trouble):
    store = stage2.Store(record)
    routers.declare(NAMES)
    doors = {name: await store.open_door(name) for name in NAMES}
    engine = {"slots": 8, "kvCapacityTokens": 90000, "models": [{"name": "m"}]}
    services = [{"name": "runners", "maxConns": 100, "engine": engine}]
    routes = [
        stage2.route("drafts", "runners", "stream", sticky=True, gapAimMs=250)
    ]
    await store.put(
        "config", "main", stage2.manifest(1, routes, services)
    )
    await name_version(store, record, 1)
    runners = [
        runners2.ModelRunner(f"i-{n}", store=store, record=record)
        for n in range(3)
    ]
    for each in runners:
        await each.start()
    try:
        for name in NAMES:
            routers.start(name, doors[name])
        for name in NAMES:
            await routers.ready(name)
        await asyncio.sleep(6)
        return await play(record, store, runners, trouble)
    finally:
        for each in runners:
            await each.close()
        await store.close()


async def play(record, store, runners, trouble):
    await name_version(store, record, 2)
    if not await reach(runners, 2, 10):
        raise stage2.CannotRunError("version 2 was not loaded")
    first = last_holder(runners)
    record.write(f"{first} gave the orders for version 2")
    await asyncio.sleep(2)

    if trouble:
        record.write(f"the store turns {first} away")
        store.turned_away.add(first)
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_SECONDS, store.turned_away.discard, first
        )
    await asyncio.sleep(0.5)
    await name_version(store, record, 3)
    if not await reach(runners, 3, 10):
        raise stage2.CannotRunError("version 3 was not loaded")
    second = last_holder(runners)
    record.write(f"{second} gave the orders for version 3")
    await asyncio.sleep(TURNED_AWAY_SECONDS + 2)

    if trouble:
        record.write(f"the store turns {second} away")
        store.turned_away.add(second)
        asyncio.get_running_loop().call_later(
            TURNED_AWAY_SECONDS, store.turned_away.discard, second
        )
        lose_one_write(record, store, first)
    await asyncio.sleep(0.5)
    await name_version(store, record, 4)
    await reach(runners, 4, 12)
    await asyncio.sleep(1)
    return judge(record, runners)


def lose_one_write(record, store, machine):
    """Loses the answer to one conditional write of a machine."""
    until = time.monotonic() + LOST_SECONDS
    left = [1]

    def loses(door, request):
        if door != machine or not left[0] or time.monotonic() > until:
            return False
        if not request.path.startswith("/-/objects/router-leases/orders"):
            return False
        left[0] -= 1
        return True

    record.write("the store loses an answer")
    store.loses = loses


def judge(record, runners):
    """Applies the rule ONE for orders to runners that check no fences."""
    status = stage2.HELD
    for runner in runners:
        highest, by_fence, before = 0, {}, None
        for at, holder, fence, _ in runner.orders:
            machine = holder.partition("@")[0]
            if by_fence.setdefault(fence, machine) != machine:
                record.write(f"BROKEN {runner.name}: two holders, {fence}")
                status = stage2.BROKEN
            if fence < highest:
                record.write(
                    f"BROKEN {runner.name}: at {at:.3f} {machine} orders with"
                    f" fence {fence} after fence {highest} of"
                    f" {by_fence[highest]}"
                )
                status = stage2.BROKEN
            if before and before[1] != machine and at - before[0] < 3.0:
                record.write(f"BROKEN {runner.name}: turns within 3 s")
                status = stage2.BROKEN
            highest = max(highest, fence)
            before = at, machine
    return status


if __name__ == "__main__":
    sys.exit(stage2.run(main, FOLDER))
