"""The stand-ins and router processes of a run, and the faults of each kind."""

import asyncio
import collections
from collections.abc import Hashable
import contextlib
import pathlib
import random
import socket
import threading
import time

import msgspec

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.platform import stand_in_stores
from pimentoledge.routing import lease_holders
from pimentoledge.tests import cut_links
from pimentoledge.tests.soak import clients
from pimentoledge.tests.soak import fleets
from pimentoledge.tests.soak import links
from pimentoledge.tests.soak import plans
from pimentoledge.tests.soak import records
from pimentoledge.tests.soak import servers

MODEL = stand_in_platforms.MODEL
KEY = stand_in_platforms.KEY
# Key of an organisation that the "key" fault removes and adds.
GUEST_KEY = "key-of-guest"
FOREIGN_ENTRIES = (
    "no object",
    [[[[[[[[]]]]]]]],
    {},
    {"service": "runners", "address": 5, "zone": "a"},
    {"service": "runners", "address": "127.0.0.1:9", "zone": "a", "slots": "x"},
    {"service": "plain", "address": "127.0.0.1:9", "zone": "a", "state": "odd"},
    {
        "service": "of-nobody",
        "address": "127.0.0.1:9",
        "zone": "a",
        "models": [{"name": stand_in_platforms.MODEL, "version": 1 << 62}],
    },
)
# The last ones break the grammar of the responses that hold them.
FOREIGN_CONTENTS = (
    *map(msgspec.json.encode, FOREIGN_ENTRIES),
    rb'"\udcff"',
    b'{"service":"plain"',
    b'{"service":"plain"}}',
    b'"x',
    b'\xff]{\x00"}[',
)
SERVICES = ("plain", "plain", "runners", "runners", "runners")
# Software versions of the servers, in turn.
SOFTWARE = ("v1", "v2", "v1")
EVENT_INTERVAL_SECONDS = 0.02
WORK_SECONDS = 0.01
# Longer than clients wait for an answer.
SLOW_WORK_SECONDS = 3.0
# Time for which a server still serves after it starts to leave.
LEAVE_SECONDS = 4.5
# Additional time after its registration says so, too, if at first only its
# answers did.
ANNOUNCED_SECONDS = 1.0
# Time for which a crashed server's registration stays in the store.
STALE_ENTRY_SECONDS = 0.5
# The same for one that a request has crashed: three intervals of heartbeats.
LAPSED_ENTRY_SECONDS = 3.6
MIN_BACKOFF_SECONDS = 2
# Factor by which outages of the store are longer than a fault's duration.
OUTAGE_FACTOR = 2.5
STORE_LATENCY_SECONDS = 0.4
# Shares of requests that servers answer again, and with status 500.
REPEATED_SHARES = (0.3, 0.6, 1.0)
FAILED_SHARES = (0.4, 0.7, 1.0)
# Factor by which a period of such answers is longer than a fault's duration.
REPETITION_FACTOR = 5 / 3
WHOLE_SERVICE_PROBABILITY = 0.7
# Interval in which servers that shed refuse the next requests again.
SHED_STEP_SECONDS = 0.1
# How often a client sends content, or a prompt part, that crashes servers, and
# the mean interval.
CRASHING_SENDS = 16
CRASHING_PART_SENDS = 24
CRASHING_GAP_SECONDS = 0.8
# Limits that servers announce, in requests per second.
LIMITS_PER_SECOND = (0.3, 1.0, 1.1, 2.0, 5.0)
# Duration of a limit, in addition to that of an outage of the store.
LIMIT_SECONDS = 4.0
MAX_ROUTERS = 8
# Time from the begin of an outage until newer weights are named.
SILENCE_BEFORE_VERSION_SECONDS = 0.2
# Time after a holder's outage in which no other one is turned away, so that the
# next one has orders to give.
AFTER_HOLDER_SECONDS = 2.0
# Time between two changes of the wanted weights.
VERSION_GAP_SECONDS = 0.4
# Interval between copies of the store, and number of copies that are kept.
BACKUP_SECONDS = 0.5
MAX_BACKUPS = 16
# Age of the copy that a fault restores, for each of its count.
BACKUP_AGE_SECONDS = 1.5
# Time from a restore until the operator and the servers have written again,
# and until the entries of servers that have ended are removed again.
WRITE_AGAIN_SECONDS = 0.6
ENTRY_LAPSE_SECONDS = 1.5


class NoServerError(Exception):
    """No server runs that a fault could affect."""


class World:
    """A store, servers and router processes.

    Attributes:
        record: the record of the run.
        platform: the stand-ins. Each router reaches the store at an address of
            its own, not at the platform's.
        fleet: the routers.
        on_joined: called with each router that has joined the fleet.
        proxied: whether routers reach servers through proxies.
    """

    def __init__(self, *, record: records.SoakRecord, proxied: bool = False):
        self.record = record
        self.proxied = proxied
        self.platform = stand_in_platforms.StandInPlatform()
        self.fleet = fleets.Fleet(record=record)
        self.on_joined = lambda router: None
        self.client_sockets: dict[str, set[socket.socket]] = (
            collections.defaultdict(set)
        )
        self._cut_sockets: set[socket.socket] = set()
        self._stores = []
        self._weights = 1
        self._configurations = 1
        self._guest_allowed = True
        self._crashing_contents = 0
        self._notices_moved = False
        self._incarnation_counts = collections.Counter()
        self._registration_lock = threading.Lock()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._replacements: set[asyncio.Task] = set()
        self._configuration: dict = {}
        self._backups: collections.deque = collections.deque(maxlen=MAX_BACKUPS)
        self._backup_task: asyncio.Task | None = None
        self._restore_lock = asyncio.Lock()
        self._holder_lock = asyncio.Lock()
        # Number of active faults, by kind and by router or server.
        self._active_faults = collections.Counter()

    async def start(self, count: int, folder: pathlib.Path) -> None:
        """Starts everything; returns when each router is ready.

        Args:
            count: number of routers.
            folder: directory to write settings files to.
        """
        self._loop = asyncio.get_running_loop()
        self.platform.start(plain=0, runners=0)
        self._apply_next_configuration()
        for service in SERVICES:
            await self._add_server(service)
        stores = [self._add_store() for _ in range(count)]
        await self.fleet.start(stores, folder)
        self._backup_task = asyncio.create_task(self._back_up())

    def _add_store(self) -> stand_in_stores.StandInStore:
        """Starts and returns another address of the store."""
        store = self.platform.store.with_another_address()
        store.start()
        self._stores.append(store)
        return store

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        if self._backup_task is not None:
            self._backup_task.cancel()
        for each in self._replacements:
            each.cancel()
        await self.fleet.close()
        for server in self.platform.servers.values():
            if server.link is not None:
                await server.link.close()
        for store in self._stores:
            await asyncio.to_thread(store.close)
        await asyncio.to_thread(self.platform.close)

    async def inject(self, fault: plans.Fault) -> None:
        """Injects one fault; returns when it has ended."""
        try:
            await getattr(self, f"_{fault.kind}")(fault)
        except NoServerError:
            self.record.add_fault(f"no server for {fault.kind}")

    def clear_pending_faults(self) -> None:
        """Clears faults that still wait for requests to act on."""
        for server in self.platform.servers.values():
            server.refuse = server.lose = server.floods = 0
            server.cut_after = None

    # Routers.

    def _choose_router(self, fault: plans.Fault) -> fleets.Router:
        return self.fleet.routers[fault.target % len(self.fleet.routers)]

    async def _term(self, fault: plans.Fault) -> None:
        await self.fleet.terminate(self._choose_router(fault))

    async def _kill(self, fault: plans.Fault) -> None:
        await self.fleet.kill(self._choose_router(fault))

    async def _kill_all(self, fault: plans.Fault) -> None:
        await asyncio.gather(*map(self.fleet.kill, self.fleet.routers))

    async def _stop(self, fault: plans.Fault) -> None:
        await self.fleet.freeze(self._choose_router(fault), fault.seconds)

    async def _join(self, fault: plans.Fault) -> None:
        if len(self.fleet.routers) >= MAX_ROUTERS:
            return
        router = await self.fleet.join(self._add_store())
        self.record.add_fault(f"{router.name} joins")
        self.on_joined(router)

    # The store.

    async def _clients_cut(self, fault: plans.Fault) -> None:
        """Makes the clients of a router unreachable for it."""
        router = self._choose_router(fault)
        self.record.add_fault(
            f"clients of {router.name} are cut off, {fault.seconds:.1f} s"
        )
        span = records.Span(router=router.name, begin=time.monotonic())
        self.record.client_cuts.append(span)
        with contextlib.ExitStack() as cuts:
            for each in self.client_sockets[router.name] - self._cut_sockets:
                self._cut_sockets.add(each)
                cuts.callback(self._cut_sockets.discard, each)
                cuts.enter_context(cut_links.unreachable(each))
            await asyncio.sleep(fault.seconds)
        span.end = time.monotonic()

    def _one_or_all(self, fault: plans.Fault) -> fleets.Router | None:
        """Returns the router whose store is disturbed; None for all."""
        return self._choose_router(fault) if fault.count % 2 else None

    def _newest_holder(self, fault: plans.Fault) -> fleets.Router:
        """Returns the router that gave the newest order, or any other one."""
        holder = self.record.orders[-1].holder if self.record.orders else ""
        for each in self.fleet.routers:
            if holder.partition("@")[0] == each.name:
                return each
        return self._choose_router(fault)

    @contextlib.asynccontextmanager
    async def _outage(
        self, fault: plans.Fault, kind: str, router: fleets.Router | None
    ):
        """Makes the store faulty for one or all routers; yields the seconds."""
        seconds = OUTAGE_FACTOR * fault.seconds
        # Without those that join during the outage, which it doesn't reach.
        routers = list(self.fleet.routers) if router is None else [router]
        router_name = None if router is None else router.name
        self.record.add_fault(
            f"store {kind} to {router_name or 'all'}, {seconds:.1f} s"
        )
        span = records.Span(router=router_name, begin=time.monotonic())
        self.record.outages.append(span)
        for each in routers:
            self._disturb(each, kind, 1)
        try:
            yield seconds
        finally:
            for each in routers:
                self._disturb(each, kind, -1)
            span.end = time.monotonic()

    def _disturb(self, router: fleets.Router, kind: str, change: int) -> None:
        """Changes the number of active faults of a router's store address."""
        self._active_faults[kind, router.name] += change
        active = self._active_faults[kind, router.name] > 0
        match kind:
            case "silent":
                router.store.silent = active
            case "refuses":
                router.store.refused = {"127.0.0.1"} if active else set()
            case "slow":
                router.store.objects.latency = (
                    STORE_LATENCY_SECONDS if active else 0.0
                )

    async def _store_silent(self, fault: plans.Fault) -> None:
        router = self._one_or_all(fault)
        async with self._outage(fault, "silent", router) as seconds:
            await asyncio.sleep(seconds)

    async def _store_refuses(self, fault: plans.Fault) -> None:
        router = self._one_or_all(fault)
        async with self._outage(fault, "refuses", router) as seconds:
            await asyncio.sleep(seconds)

    async def _store_slow(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "slow", router=None) as seconds:
            await asyncio.sleep(seconds)

    async def _watches_cut(self, fault: plans.Fault) -> None:
        router = self._choose_router(fault)
        self.record.add_fault(f"watches of {router.name} cut")
        now = time.monotonic()
        cut = records.Span(router=router.name, begin=now, end=now)
        self.record.outages.append(cut)
        router.store.cut_watches()

    async def _store_forgets(self, fault: plans.Fault) -> None:
        self.record.add_fault("the store forgets its changes")
        revision = self.platform.store.objects.revision
        for each in self._stores:
            each.history_from = revision + 1
            each.cut_watches()

    async def _store_loses(self, fault: plans.Fault) -> None:
        self.record.add_fault(f"answers to {fault.count} writes get lost")
        self.platform.store.objects.lose_answers += fault.count

    async def _holder_refused(self, fault: plans.Fault) -> None:
        if self._holder_lock.locked():
            return
        async with self._holder_lock:
            router = self._newest_holder(fault)
            async with self._outage(fault, "refuses", router) as seconds:
                await asyncio.sleep(SILENCE_BEFORE_VERSION_SECONDS)
                await self._version(fault)
                await asyncio.sleep(seconds)
            await asyncio.sleep(AFTER_HOLDER_SECONDS)

    async def _lease_loses(self, fault: plans.Fault) -> None:
        self.record.add_fault(f"answers to {fault.count} leases get lost")
        path = f"{lease_holders.KIND}/{lease_holders.NAME}"
        self.platform.store.objects.lose_answers_of[path] = fault.count

    async def _back_up(self) -> None:
        """Copies the store at regular intervals."""
        while True:
            backup = self.platform.store.objects.back_up()
            self._backups.append((time.monotonic(), backup))
            await asyncio.sleep(BACKUP_SECONDS)

    async def _store_restored(self, fault: plans.Fault) -> None:
        kind = "silent" if fault.count % 2 else "refuses"
        age = BACKUP_AGE_SECONDS * fault.count
        async with self._restore_lock:
            self.record.add_fault(
                f"store away {fault.seconds:.1f} s ({kind}),"
                f" back from a copy {age:.1f} s old"
            )
            span = records.Span(router=None, begin=time.monotonic())
            self.record.outages.append(span)
            disturbed = list(self.fleet.routers)
            for each in disturbed:
                self._disturb(each, kind, 1)
                each.store.cut_watches()
            await asyncio.sleep(fault.seconds)
            self._restore(age)
            for each in disturbed:
                self._disturb(each, kind, -1)
            await self._write_again()
            span.end = time.monotonic()

    def _restore(self, age: float) -> None:
        """Restores the newest copy of at least an age, in seconds."""
        until = time.monotonic() - age
        old_enough = [each for at, each in self._backups if at <= until]
        _, oldest = self._backups[0]
        self.platform.store.objects.restore(
            old_enough[-1] if old_enough else oldest
        )
        self._backups.clear()
        self._backups.append(
            (time.monotonic(), self.platform.store.objects.back_up())
        )
        for each in self._stores:
            each.history_from = 0

    async def _write_again(self) -> None:
        """Writes what the operator and the servers wrote last."""
        await asyncio.sleep(WRITE_AGAIN_SECONDS)
        self._store_configuration()
        self._store_weights()
        for server in list(self.platform.servers.values()):
            self._write_registration(server)
        await asyncio.sleep(ENTRY_LAPSE_SECONDS)
        objects = self.platform.store.objects.objects
        for path in list(objects):
            kind, _, name = path.partition("/")
            if kind == names.SERVER_KIND and name not in self.platform.servers:
                self.platform.store.remove(kind, name)

    # Servers.

    async def _add_server(self, service: str) -> None:
        self._incarnation_counts[service] += 1
        server = servers.Server(
            record=self.record,
            incarnation=f"{service}-{self._incarnation_counts[service]}",
            service=service,
            weights={MODEL: self._weights} if service == "runners" else None,
        )
        number = self._incarnation_counts[service]
        server.software = SOFTWARE[number % len(SOFTWARE)]
        server.event_seconds = EVENT_INTERVAL_SECONDS
        server.work_seconds = WORK_SECONDS
        server.on_loaded = lambda: self._write_registration(server)
        server.on_crashed = lambda: self._loop.call_soon_threadsafe(
            self._replace_crashed, server
        )
        server.start()
        if self.proxied:
            server.link = links.Link(lambda: server.address)
            await server.link.start()
        self.platform.servers[server.incarnation] = server
        self._write_registration(server)

    def _write_registration(self, server: servers.Server) -> None:
        """Writes a server's registration; also called by runners' threads."""
        with self._registration_lock:
            if server.running:
                self.platform.write_registration(server)

    def _usable_servers(self, service: str) -> list[servers.Server]:
        """Returns a service's servers that run and don't leave."""
        return [
            each
            for each in self.platform.servers.values()
            if each.service == service and each.running and not each.leaving
        ]

    def _choose_server(self, fault: plans.Fault) -> servers.Server:
        """Returns the server that a fault affects."""
        return self._choose_of(fault, "plain", "runners")

    def _choose_runner(self, fault: plans.Fault) -> servers.Server:
        return self._choose_of(fault, "runners")

    def _choose_of(self, fault: plans.Fault, *services: str) -> servers.Server:
        usable = [
            server
            for service in services
            for server in self._usable_servers(service)
        ]
        if not usable:
            raise NoServerError
        return usable[fault.target % len(usable)]

    def _choose_spare_server(self, fault: plans.Fault) -> servers.Server | None:
        """Returns the affected server if its service has another, or None."""
        server = self._choose_server(fault)
        return server if len(self._usable_servers(server.service)) > 1 else None

    async def _replace(self, server: servers.Server) -> None:
        """Crashes a server, then removes its entry and starts another one."""
        await asyncio.to_thread(server.crash)
        await self._start_another(server)

    def _replace_crashed(self, server: servers.Server) -> None:
        """Replaces a server that a request has crashed."""
        self.record.add_fault(f"a request crashed {server.incarnation}")
        task = asyncio.ensure_future(self._restart_crashed(server))
        self._replacements.add(task)
        task.add_done_callback(self._replacements.discard)

    async def _restart_crashed(self, server: servers.Server) -> None:
        """Starts another server, and lets the entry of a crashed one lapse."""
        if self.platform.servers.pop(server.incarnation, None) is None:
            return
        await asyncio.sleep(STALE_ENTRY_SECONDS)
        await self._add_server(server.service)
        await asyncio.sleep(LAPSED_ENTRY_SECONDS - STALE_ENTRY_SECONDS)
        with self._registration_lock:
            self.platform.store.remove(names.SERVER_KIND, server.incarnation)
        if server.link is not None:
            await server.link.close()

    async def _start_another(self, server: servers.Server) -> None:
        """Removes the entry of a server that ended, and starts another one."""
        if self.platform.servers.pop(server.incarnation, None) is None:
            return
        await asyncio.sleep(STALE_ENTRY_SECONDS)
        with self._registration_lock:
            self.platform.store.remove(names.SERVER_KIND, server.incarnation)
        if server.link is not None:
            await server.link.close()
        await self._add_server(server.service)

    def _announce_leaving(self, server: servers.Server) -> None:
        """Marks a server as leaving in its registration."""
        server.draining = True
        self._write_registration(server)
        self.record.leaving[server.incarnation] = time.monotonic()

    async def _is_last(
        self, kind: str, server: servers.Server, seconds: float
    ) -> bool:
        """Waits; returns whether no other fault of the kind is active then."""
        return await self._is_last_of((kind, server.incarnation), seconds)

    async def _is_last_of(self, key: Hashable, seconds: float) -> bool:
        """Waits; returns whether no other fault of a key is active then."""
        self._active_faults[key] += 1
        await asyncio.sleep(seconds)
        self._active_faults[key] -= 1
        return not self._active_faults[key]

    async def _server_leaves(self, fault: plans.Fault) -> None:
        server = self._choose_spare_server(fault)
        if server is not None:
            self.record.add_fault(f"{server.incarnation} leaves")
            server.leaving = True
            self._announce_leaving(server)
            await asyncio.sleep(LEAVE_SECONDS)
            await self._replace(server)

    async def _answers_leave(self, fault: plans.Fault) -> None:
        server = self._choose_spare_server(fault)
        if server is not None:
            self.record.add_fault(
                f"{server.incarnation} leaves, by answers only"
            )
            server.leaving = True
            await asyncio.sleep(LEAVE_SECONDS)
            self._announce_leaving(server)
            await asyncio.sleep(ANNOUNCED_SECONDS)
            await self._replace(server)

    async def _server_crashes(self, fault: plans.Fault) -> None:
        server = self._choose_spare_server(fault)
        if server is not None:
            self.record.add_fault(f"{server.incarnation} crashes")
            await self._replace(server)

    async def _server_restarts(self, fault: plans.Fault) -> None:
        server = self._choose_spare_server(fault)
        if server is not None:
            self.record.add_fault(
                f"{server.incarnation} crashes and comes back"
            )
            await asyncio.to_thread(server.crash)
            await asyncio.sleep(fault.seconds / 2)
            await asyncio.to_thread(server.start)
            self._write_registration(server)

    async def _content_crashes(self, fault: plans.Fault) -> None:
        """Sends content that crashes servers by one router after the other."""
        self._crashing_contents += 1
        body = servers.CRASHING_PREFIX + b"%d" % self._crashing_contents
        route = clients.ROUTES[fault.target % len(clients.ROUTES)]
        self.record.add_fault(f"{route} with {body.decode()!r} is sent")
        for number in range(CRASHING_SENDS):
            copies = 2 if fault.count % 2 else 1
            routers = self.fleet.routers
            await asyncio.gather(
                *(
                    clients.send_crashing(
                        self.record,
                        router=each.name,
                        address=each.address,
                        route=route,
                        body=body,
                    )
                    for each in (
                        routers[(fault.target + number + copy) % len(routers)]
                        for copy in range(copies)
                    )
                )
            )
            await asyncio.sleep(CRASHING_GAP_SECONDS * fault.seconds / 2)

    async def _part_crashes(self, fault: plans.Fault) -> None:
        """Sends requests that share a part which crashes servers."""
        self._crashing_contents += 1
        part = f"{servers.CRASHING_PART}{self._crashing_contents}"
        route = clients.STREAMS[fault.target % len(clients.STREAMS)]
        self.record.add_fault(f"{route} with {part} is sent")
        for number in range(CRASHING_PART_SENDS):
            routers = self.fleet.routers
            router = routers[(fault.target + number) % len(routers)]
            await clients.send_crashing(
                self.record,
                router=router.name,
                address=router.address,
                route=route,
                body=f"{part} {number}".encode(),
                part=part,
            )
            await asyncio.sleep(CRASHING_GAP_SECONDS * fault.seconds / 2)

    async def _server_refuses(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        self.record.add_fault(f"{server.incarnation} refuses {fault.count}")
        server.refuse += fault.count

    async def _shed(self, fault: plans.Fault) -> None:
        """Makes all servers of a service but one refuse most requests."""
        service = SERVICES[fault.target % len(SERVICES)]
        shedding = self._usable_servers(service)[1:]
        self.record.add_fault(f"{service} shed, {2 * fault.seconds:.1f} s")
        until = time.monotonic() + 2 * fault.seconds
        while time.monotonic() < until:
            for each in shedding:
                each.refuse = 4
            await asyncio.sleep(SHED_STEP_SECONDS)
        for each in shedding:
            each.refuse = 0

    async def _server_loses(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        self.record.add_fault(f"{server.incarnation} loses an answer")
        server.lose += 1

    async def _server_slow(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        self.record.add_fault(
            f"{server.incarnation} is late, {fault.seconds:.1f} s"
        )
        server.work_seconds = SLOW_WORK_SECONDS
        if await self._is_last("late", server, fault.seconds):
            server.work_seconds = WORK_SECONDS

    async def _server_slowed(self, fault: plans.Fault) -> None:
        """Slows a server, which reports it in its responses."""
        server = self._choose_server(fault)
        self.record.add_fault(
            f"{server.incarnation} slowed by {fault.count}, "
            f"{fault.seconds:.1f} s"
        )
        server.slowdown = 100 + 100 * fault.count
        server.work_seconds = (1 + fault.count) * WORK_SECONDS
        if await self._is_last("slowed", server, fault.seconds):
            server.slowdown = 100
            server.work_seconds = WORK_SECONDS

    async def _server_floods(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        self.record.add_fault(f"{server.incarnation} floods {fault.count}")
        server.floods += fault.count

    async def _server_answers_twice(self, fault: plans.Fault) -> None:
        """Makes a server, or all of its service, answer requests again."""
        server = self._choose_server(fault)
        seconds = REPETITION_FACTOR * fault.seconds
        chooser = random.Random(fault.seconds)
        affected = [server]
        if chooser.random() < WHOLE_SERVICE_PROBABILITY:
            affected = self._usable_servers(server.service)
        repetition = servers.Repetition(
            chooser=chooser,
            repeated=chooser.choice(REPEATED_SHARES),
            failed=chooser.choice(FAILED_SHARES),
            answers_routers=bool(fault.count % 2),
        )
        affected_names = " ".join(each.incarnation for each in affected)
        self.record.add_fault(
            f"{affected_names}: {repetition.repeated:g} answered twice,"
            f" {repetition.failed:g} failed, {seconds:.1f} s"
        )
        for each in affected:
            each.repetition = repetition
        for each in affected:
            self._active_faults["repetition", each.incarnation] += 1
        await asyncio.sleep(seconds)
        for each in affected:
            self._active_faults["repetition", each.incarnation] -= 1
            if not self._active_faults["repetition", each.incarnation]:
                each.repetition = None

    async def _stream_cut(self, fault: plans.Fault) -> None:
        server = self._choose_runner(fault)
        self.record.add_fault(f"{server.incarnation} cuts after {fault.count}")
        server.cut_after = fault.count

    async def _disturb_link(self, fault: plans.Fault, name: str) -> None:
        """Makes a server's link faulty.

        Requests in progress at the begin or the end may lose their answers.
        """
        server = self._choose_server(fault)
        if server.link is None:
            return
        text = f"link to {server.incarnation} {name}, {fault.seconds:.1f} s"
        self.record.add_fault(text)
        server.mark_harmed()
        setattr(server.link, name, True)
        if await self._is_last(name, server, fault.seconds):
            setattr(server.link, name, False)
        server.mark_harmed()

    async def _link_slow(self, fault: plans.Fault) -> None:
        await self._disturb_link(fault, "slow")

    async def _link_mute(self, fault: plans.Fault) -> None:
        await self._disturb_link(fault, "mute")

    async def _link_silent(self, fault: plans.Fault) -> None:
        await self._disturb_link(fault, "silent")

    async def _link_resets(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        if server.link is None:
            return
        self.record.add_fault(f"link to {server.incarnation} resets")
        server.mark_harmed()
        server.link.reset()

    async def _orders_lost(self, fault: plans.Fault) -> None:
        server = self._choose_runner(fault)
        seconds = OUTAGE_FACTOR * fault.seconds
        self.record.add_fault(
            f"{server.incarnation}: no orders, {seconds:.1f} s"
        )
        server.silent_orders = plans.TARGETS
        if await self._is_last("orders", server, seconds):
            server.silent_orders = 0

    async def _rest(self, fault: plans.Fault) -> None:
        server = self._choose_runner(fault)
        seconds = MIN_BACKOFF_SECONDS + fault.count // 2
        self.record.add_fault(
            f"{server.incarnation} asks for {seconds} s of backoff"
        )
        server.retry_after = str(seconds)
        server.refuse = plans.TARGETS
        if await self._is_last("rest", server, seconds):
            server.retry_after = ""
            server.refuse = 0

    async def _limit(self, fault: plans.Fault) -> None:
        server = self._choose_server(fault)
        seconds = LIMIT_SECONDS + OUTAGE_FACTOR * fault.seconds
        first = fault.target % len(LIMITS_PER_SECOND)
        self._set_limit(server, LIMITS_PER_SECOND[first])
        if fault.count % 2:
            await asyncio.sleep(seconds / 2)
            self._set_limit(server, LIMITS_PER_SECOND[first - fault.count])
        if await self._is_last("limit", server, seconds):
            self._set_limit(server, None)

    def _set_limit(
        self, server: servers.Server, per_second: float | None
    ) -> None:
        self.record.add_fault(
            f"{server.incarnation} announces limit {per_second}"
        )
        server.set_limit(per_second)

    # The operator.

    async def _foreign_entries(self, fault: plans.Fault) -> None:
        """Stores entries of another writer that name no usable server."""
        self.record.add_fault(f"foreign entries, {fault.seconds:.1f} s")
        for number, entry in enumerate(FOREIGN_CONTENTS):
            name = f"foreign-{number}"
            self.platform.store.put_content(names.SERVER_KIND, name, entry)
        if await self._is_last_of("foreign entries", fault.seconds):
            for number in range(len(FOREIGN_CONTENTS)):
                name = f"foreign-{number}"
                self.platform.store.remove(names.SERVER_KIND, name)

    async def _version(self, fault: plans.Fault) -> None:
        self._weights += 1
        self.record.add_fault(f"weights {self._weights} named")
        self._store_weights()
        self.record.named.append((self._weights, time.monotonic()))

    def _store_weights(self) -> None:
        named = {"model": MODEL, "version": self._weights}
        self.platform.store.put(names.WEIGHT_VERSION_KIND, MODEL, named)

    async def _versions(self, fault: plans.Fault) -> None:
        await self._version(fault)
        await asyncio.sleep(VERSION_GAP_SECONDS)
        await self._version(fault)

    async def _version_in_silence(self, fault: plans.Fault) -> None:
        router = self._choose_router(fault)
        async with self._outage(fault, "silent", router) as seconds:
            await asyncio.sleep(SILENCE_BEFORE_VERSION_SECONDS)
            await self._version(fault)
            await asyncio.sleep(seconds)

    async def _key(self, fault: plans.Fault) -> None:
        self._guest_allowed = not self._guest_allowed
        self._apply_next_configuration()

    async def _route(self, fault: plans.Fault) -> None:
        self._notices_moved = not self._notices_moved
        self._apply_next_configuration()

    def _apply_next_configuration(self) -> None:
        """Stores the next configuration."""
        self._configurations += 1
        notices_service = "runners" if self._notices_moved else "plain"
        tenants = [{"name": "acme", "apiKeys": [KEY], "priority": 2}]
        if self._guest_allowed:
            tenants.append({"name": "guest", "apiKeys": [GUEST_KEY]})
        configuration = stand_in_platforms.configuration(
            self._configurations,
            kv_address=self.platform.kv_server.address,
            tenants=tenants,
        )
        for route in configuration["routes"]:
            if route["name"] == "notices":
                route["service"] = notices_service
        self._configuration = configuration
        self._store_configuration()
        change = records.ConfigurationChange(
            at=time.monotonic(),
            keys=frozenset(each["apiKeys"][0] for each in tenants),
            services={
                each["name"]: each["service"]
                for each in configuration["routes"]
            },
        )
        self.record.changes.append(change)
        self.record.add_fault(
            f"notices to {notices_service}, keys: {sorted(change.keys)}"
        )

    def _store_configuration(self) -> None:
        self.platform.store.put(
            names.CONFIGURATION_KIND,
            names.CONFIGURATION_NAME,
            self._configuration,
        )
