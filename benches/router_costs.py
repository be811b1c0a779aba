"""Measures what one router bears: processor time a request, and overload.

The router, its stand-ins and its clients each run in their own process, over
loopback. Run as `python -m benches.router_costs PART`, where PART is

* `cost`: processor time for each request at several numbers of servers;
* `profile`: the functions in which a router spends that time;
* `overload`: most new connections go to one of several routers for some
  seconds; prints what became of the requests in each second.

Prints a line of JSON for each point.
"""

import argparse
import asyncio
import collections
import contextlib
import cProfile
import io
import json
import pstats
import random
import signal
import sys
import threading
import time

import attrs
from returns import result

from benches import processes
from pimentoledge import settings
from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.platform import stand_in_stores
from pimentoledge.routing import daemons
from pimentoledge.routing import log_lines
from pimentoledge.routing import loop_loads
from pimentoledge.tests import router_world

SLOTS = 64
EVENT_SECONDS = 0.02
FIRST_EVENT_SECONDS = 0.05
WARMUP_SECONDS = 3.0
SETTLE_SECONDS = 2.0
RETRIES = 2
# Clients give up a request that is not answered within this time.
ANSWER_SECONDS = 6.0
CONNECT_SECONDS = 1.0
# Time for the last requests of a load to end.
LOAD_END_SECONDS = 30.0
PROFILED_FUNCTIONS = 45
THROTTLE_SECONDS = 0.05
LOOPBACK = "127.0.0.1"
PARTS = 40


class _Runner(asyncio.Protocol):
    """A connection to a stand-in runner that answers each request."""

    def __init__(self, events: int):
        self._events = events

    def connection_made(self, transport) -> None:
        self._transport = transport
        self._unread = b""

    def data_received(self, data: bytes) -> None:
        self._unread += data
        while b"\r\n\r\n" in self._unread:
            head, _, rest = self._unread.partition(b"\r\n\r\n")
            length = 0
            request = b""
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
                if name.lower() == names.REQUEST_ID:
                    request = value.strip()
            if len(rest) < length:
                return
            self._unread = rest[length:]
            asyncio.get_running_loop().create_task(self._answer(request))

    async def _answer(self, request: bytes) -> None:
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"%b: %b\r\n%b: x\r\n%b: 1,0,%d\r\n\r\n"
            % (
                names.REQUEST_ID,
                request,
                names.SIGNATURE,
                names.SERVER_LOAD,
                SLOTS,
            )
        )
        for number in range(self._events):
            event = b"id: %d\ndata: some tokens\n\n" % (number + 1)
            self._transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS)
        self._transport.write(b"0\r\n\r\n")


def _write_store(store: stand_in_stores.StandInStore) -> None:
    store.put(
        names.CONFIGURATION_KIND,
        names.CONFIGURATION_NAME,
        stand_in_platforms.configuration(),
    )
    store.put(
        names.WEIGHT_VERSION_KIND,
        stand_in_platforms.MODEL,
        {"model": stand_in_platforms.MODEL, "version": 1},
    )


async def _serve_stand_ins(servers: int, events: int) -> None:
    """Runs the store and some runners until standard input ends."""
    store = stand_in_stores.StandInStore(port=0)
    store.start()
    _write_store(store)
    loop = asyncio.get_running_loop()
    for number in range(servers):
        server = await loop.create_server(
            lambda: _Runner(events), LOOPBACK, 0, backlog=512
        )
        host, port = server.sockets[0].getsockname()
        store.put(
            names.SERVER_KIND,
            f"r{number}",
            {
                "service": "runners",
                "address": f"{host}:{port}",
                "zone": "a",
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "coldRemainingMs": 0,
                "models": [
                    {
                        "name": stand_in_platforms.MODEL,
                        "version": 1,
                        "adapters": [],
                    }
                ],
                "seq": 1,
            },
        )
    processes.signal_ready(store=store.address)
    await asyncio.to_thread(processes.wait_for_end)
    store.close()


async def _run_router(
    flags: dict[str, str], profiled: bool, load: loop_loads.LoopLoad | None
) -> None:
    """Runs a router until standard input ends."""
    match settings.check_settings(
        program=settings.ROUTER, flags={}, environment={}, file=flags
    ):
        case result.Success(chosen):
            router = daemons.Router(chosen=chosen, loop_load=load)
        case result.Failure(error):
            raise ValueError(error.text)
    running = asyncio.ensure_future(router.run())
    while not router.view.ready():
        await asyncio.sleep(0.05)
    processes.signal_ready()
    profiler = cProfile.Profile()
    if profiled:
        profiler.enable()
    await asyncio.to_thread(processes.wait_for_end)
    if profiled:
        profiler.disable()
        text = io.StringIO()
        stats = pstats.Stats(profiler, stream=text)
        stats.sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)
        stats.sort_stats("cumtime").print_stats("pimentoledge", 60)
        print(text.getvalue(), flush=True)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


@attrs.define(kw_only=True)
class Second:
    """What became of the first attempts sent within one second.

    Attributes:
        sent: attempts.
        read: attempts that the router read.
        served: those of them that were answered completely.
        unread: attempts that were refused or closed unread.
        later: those of them that were served by a retry.
        seconds: times to the complete answers.
    """

    sent: int = 0
    read: int = 0
    served: int = 0
    unread: int = 0
    later: int = 0
    seconds: list[float] = attrs.field(factory=list)


class _Load:
    """Clients that open a new connection for each request."""

    def __init__(self, addresses: list[str]):
        self.addresses = addresses
        self.by_second: dict[int, Second] = collections.defaultdict(Second)
        self._number = 0
        self._started = time.monotonic()

    async def _attempt(self, address: str) -> bool | None:
        """Returns whether the attempt was served, or None if it was unread."""
        self._number += 1
        client = router_world.Client(address)
        headers = router_world.stream_headers(
            f"p{self._number % PARTS}:600,own{self._number}:40"
        )
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await client.open()
        except (OSError, TimeoutError):
            return None
        try:
            client.send("/drafts/", headers=headers, body=b"x")
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await client.read()
        except (OSError, TimeoutError):
            return False
        finally:
            client.close()
        if answer.status is None:
            return None
        return answer.status == 200 and answer.complete

    async def _request(self, first: str) -> None:
        started = time.monotonic()
        second = self.by_second[int(started - self._started)]
        second.sent += 1
        served = await self._attempt(first)
        if served is not None:
            second.read += 1
            second.served += served
            if served:
                second.seconds.append(time.monotonic() - started)
            return
        second.unread += 1
        for _ in range(RETRIES):
            served = await self._attempt(random.choice(self.addresses))
            if served is not None:
                second.later += served
                return

    async def run(
        self, rate: float, seconds: float, skewed: tuple[float, float, float]
    ) -> None:
        """Sends requests at a rate.

        Args:
            rate: requests a second.
            seconds: for how long.
            skewed: from when to when a share of the new connections goes to the
                first router, and the share.
        """
        tasks = []
        begin, end, share = skewed
        while (now := time.monotonic() - self._started) < seconds:
            first = random.choice(self.addresses)
            if begin <= now < end and random.random() < share:
                first = self.addresses[0]
            tasks.append(asyncio.ensure_future(self._request(first)))
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*tasks)


async def _run_load(options: dict) -> None:
    load = _Load(options["addresses"])
    await load.run(options["rate"], options["seconds"], options["skewed"])
    for number, second in sorted(load.by_second.items()):
        times = sorted(second.seconds)
        processes.signal_ready(
            second=number,
            **attrs.asdict(second)
            | {"seconds": round(times[len(times) // 2], 3) if times else None},
        )


class _Throttle:
    """Grants processes a share of a processor, by stopping them in turns.

    Attributes:
        children: the processes.
        share: the share of each period in which they run.
    """

    def __init__(self, *, children: list[processes.Process], share: float):
        self.children = children
        self.share = share
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self) -> None:
        """Starts to stop and continue the processes."""
        if self.share < 1.0:
            self._thread.start()

    def close(self) -> None:
        """Lets the processes run on."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(self.share * THROTTLE_SECONDS):
            self._signal(signal.SIGSTOP)
            time.sleep((1.0 - self.share) * THROTTLE_SECONDS)
            self._signal(signal.SIGCONT)

    def _signal(self, number: signal.Signals) -> None:
        for each in self.children:
            each.child.send_signal(number)


class Deployment:
    """Routers and their stand-ins, each a process.

    Attributes:
        addresses: where the routers accept clients.
        routers: the routers' processes.
    """

    def __init__(
        self,
        *,
        routers: int,
        servers: int,
        events: int,
        profiled: bool = False,
        limited: bool = True,
    ):
        self._stand_ins = _start("stand-ins", servers=servers, events=events)
        store = json.loads(self._stand_ins.line())["store"]
        ports = [router_world.free_port() for _ in range(routers)]
        self.addresses = []
        self.routers = []
        for number, port in enumerate(ports):
            address = f"{LOOPBACK}:{router_world.free_port()}"
            flags = {
                "name": f"router-{number}",
                "data-centre": "a",
                "listen": address,
                "ready-listen": f"{LOOPBACK}:{router_world.free_port()}",
                "metrics-listen": f"{LOOPBACK}:{router_world.free_port()}",
                "peer-listen": f"{LOOPBACK}:{port}",
                "peer-seeds": ",".join(f"{LOOPBACK}:{each}" for each in ports),
                "store-address": store,
            }
            self.addresses.append(address)
            self.routers.append(
                _start(
                    "router", flags=flags, profiled=profiled, limited=limited
                )
            )
        for each in self.routers:
            each.line()

    def load(
        self,
        *,
        rate: float,
        seconds: float,
        skewed: tuple[float, float, float] = (0.0, 0.0, 0.0),
    ) -> list[dict]:
        """Sends requests at a rate; returns the figures of each second."""
        clients = _start(
            "clients",
            addresses=self.addresses,
            rate=rate,
            seconds=seconds,
            skewed=skewed,
        )
        output, _ = clients.child.communicate(
            timeout=seconds + LOAD_END_SECONDS
        )
        return [json.loads(each) for each in output.splitlines()]

    def close(self) -> list[str]:
        """Ends the processes; returns the rest of the routers' output."""
        output = [each.close() for each in self.routers]
        self._stand_ins.close()
        return output


def _start(part: str, **options: object) -> processes.Process:
    return processes.Process(
        arguments=["-m", "benches.router_costs", part, json.dumps(options)]
    )


def cost(args: argparse.Namespace) -> None:
    """Prints the processor time for each request."""
    for servers in args.servers:
        deployment = Deployment(routers=1, servers=servers, events=args.events)
        try:
            time.sleep(SETTLE_SECONDS)
            deployment.load(rate=args.rate, seconds=WARMUP_SECONDS)
            before = deployment.routers[0].usage()
            seconds = deployment.load(rate=args.rate, seconds=args.seconds)
            after = deployment.routers[0].usage()
        finally:
            deployment.close()
        sent = sum(each["sent"] for each in seconds)
        served = sum(each["served"] for each in seconds)
        cpu = after.cpu - before.cpu
        print(
            json.dumps(
                {
                    "servers": servers,
                    "events": args.events,
                    "rate": args.rate,
                    "requests": sent,
                    "served": served,
                    "ms_a_request": round(1000 * cpu / sent, 2),
                }
            ),
            flush=True,
        )


def profile(args: argparse.Namespace) -> None:
    """Prints the functions in which a router spends its time."""
    [servers] = args.servers[:1]
    deployment = Deployment(
        routers=1, servers=servers, events=args.events, profiled=True
    )
    try:
        deployment.load(rate=args.rate, seconds=args.seconds)
    finally:
        [text] = deployment.close()
    print(text)


def overload(args: argparse.Namespace) -> None:
    """Prints what becomes of requests when one router gets most of them."""
    [servers] = args.servers[:1]
    deployment = Deployment(
        routers=args.routers,
        servers=servers,
        events=args.events,
        limited=not args.unlimited,
    )
    begin = args.seconds / 4
    throttle = _Throttle(children=deployment.routers, share=args.core)
    try:
        time.sleep(SETTLE_SECONDS)
        throttle.start()
        deployment.load(rate=args.rate / 2, seconds=WARMUP_SECONDS)
        for each in deployment.load(
            rate=args.rate,
            seconds=args.seconds,
            skewed=(begin, 3 * begin, args.share),
        ):
            print(json.dumps(each), flush=True)
    finally:
        throttle.close()
        deployment.close()


def main() -> None:
    """Runs a part of the measurement, or one of its processes."""
    match sys.argv[1:]:
        case ["stand-ins", options]:
            asyncio.run(_serve_stand_ins(**json.loads(options)))
            return
        case ["router", options]:
            chosen = json.loads(options)
            handler = log_lines.LineHandler(descriptor=2)
            load = loop_loads.LoopLoad()
            with (
                handler.applicationbound(),
                asyncio.Runner(
                    loop_factory=lambda: daemons.new_loop(load)
                ) as runner,
            ):
                runner.run(
                    _run_router(
                        chosen["flags"],
                        chosen["profiled"],
                        load if chosen["limited"] else None,
                    )
                )
            return
        case ["clients", options]:
            asyncio.run(_run_load(json.loads(options)))
            return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("cost", "profile", "overload"))
    parser.add_argument("--servers", type=int, nargs="+", default=[8, 40, 120])
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--share", type=float, default=0.9)
    parser.add_argument("--core", type=float, default=1.0)
    parser.add_argument("--unlimited", action="store_true")
    args = parser.parse_args()
    {"cost": cost, "profile": profile, "overload": overload}[args.part](args)


if __name__ == "__main__":
    main()
