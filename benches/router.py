"""Measures what a router adds to the time to a stream's first event.

Sends the same requests alternately to a stand-in runner and through a router,
and prints percentiles of both in ms.
"""

import asyncio
import time

from pimentoledge.tests import router_world

REQUESTS = 400
PAUSE_SECONDS = 0.01


async def _first_event(address: str, headers: dict[str, str]) -> float:
    client = router_world.Client(address)
    await client.open()
    started = time.perf_counter()
    client.send("/drafts/", headers=headers)
    await client.reader.readuntil(b"id: 1")
    seconds = time.perf_counter() - started
    client.close()
    return seconds


async def _measure() -> None:
    world = router_world.RouterWorld()
    await world.start(plain=0, runners=1)
    headers = router_world.stream_headers()
    runner = world.servers["r0"]
    router_address = world.routers[0].chosen.text("listen")
    direct, routed = [], []
    try:
        for _ in range(REQUESTS):
            direct.append(await _first_event(runner.address, headers))
            routed.append(await _first_event(router_address, headers))
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        await world.close()
    for name, times in (("direct", direct), ("through a router", routed)):
        times.sort()
        p50, p99 = (times[int(len(times) * share)] for share in (0.5, 0.99))
        print(f"{name}: p50 {p50 * 1000:.2f} ms, p99 {p99 * 1000:.2f} ms")


if __name__ == "__main__":
    asyncio.run(_measure())
