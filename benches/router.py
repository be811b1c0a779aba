"""What a router adds to the time to a stream's first event.

Sends the same requests to a stand-in runner directly and through a router, in
turn, and prints the difference's percentiles in ms.
"""

import asyncio
import time

from pimentoledge.tests import router_world

REQUESTS = 400
PAUSE_SECONDS = 0.01


async def _first_event(address: str, headers: dict[str, str]) -> float:
    client = router_world.Client(address)
    await client.open()
    begun = time.perf_counter()
    client.send("/drafts/", headers=headers)
    await client.reader.readuntil(b"id: 1")
    taken = time.perf_counter() - begun
    client.close()
    return taken


async def _play() -> None:
    world = router_world.RouterWorld()
    await world.start(plain=0, runners=1)
    headers = router_world.stream_headers()
    runner = world.servers["r0"]
    router = world.routers[0].chosen.text("listen")
    direct, through = [], []
    try:
        for _ in range(REQUESTS):
            direct.append(await _first_event(runner.address, headers))
            through.append(await _first_event(router, headers))
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        await world.close()
    for name, times in (("direct", direct), ("through a router", through)):
        times.sort()
        p50, p99 = (times[int(len(times) * part)] for part in (0.5, 0.99))
        print(f"{name}: p50 {p50 * 1000:.2f} ms, p99 {p99 * 1000:.2f} ms")


if __name__ == "__main__":
    asyncio.run(_play())
