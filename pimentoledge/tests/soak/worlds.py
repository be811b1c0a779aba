"""The processes and stand-ins of a run, and the faults that act on them."""

import asyncio
import collections
import contextlib
import pathlib
import signal
import threading
import time

import attrs

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.platform import stand_in_stores
from pimentoledge.tests import processes
from pimentoledge.tests import router_world
from pimentoledge.tests.soak import plans
from pimentoledge.tests.soak import records
from pimentoledge.tests.soak import servers

MODEL = stand_in_platforms.MODEL
KEY = stand_in_platforms.KEY
# Key of an organisation that comes and goes.
GUEST_KEY = "key-of-guest"
SETTINGS = {
    "weights-ms": "5000",
    "drain-ms": "2000",
    "config-ms": "2000",
    "lease-ms": "1000",
    "grace-s": "8",
}
SERVICES = ("plain", "plain", "runners", "runners", "runners")
START_SECONDS = 30.0
# How long a server goes on serving after it began to leave.
LEAVE_SECONDS = 4.5
# A leaving server's entry stays in the store for so long after its end.
GONE_SECONDS = 0.5
# The store's disturbances are longer than the routers' by this factor.
OUTAGE_FACTOR = 2.5
# Between two namings of newer weights.
RENAME_SECONDS = 0.4
# From the begin of a silence to the naming of weights in it.
SILENT_SECONDS = 0.2
# Before a router process that ended is started again.
RESTART_SECONDS = 0.2
EVENT_SECONDS = 0.04
WORK_SECONDS = 0.01
# Of the two services' servers one must stay.
FEWEST = 1


@attrs.define(kw_only=True)
class Router:
    """A router and the address at which it reaches the store.

    Attributes:
        name: its name.
        address: IP:PORT for clients.
        settings: path of its settings file.
        store: its address of the store.
        process: the process that runs, or the last one.
    """

    name: str
    address: str
    settings: pathlib.Path
    store: stand_in_stores.StandInStore
    process: processes.Process | None = None


class World:
    """A store, servers and router processes.

    Attributes:
        record: what is seen.
        folder: where settings are written.
        platform: the stand-ins; routers reach the store elsewhere.
        routers: the routers.
        logs: lines of each process, by name of its log.
    """

    def __init__(
        self, *, record: records.Record, folder: pathlib.Path, routers: int
    ):
        self.record = record
        self.folder = folder
        self.platform = stand_in_platforms.StandInPlatform()
        self.routers: list[Router] = []
        self.logs: dict[str, list[str]] = {}
        self._count = routers
        self._tasks: list[asyncio.Task] = []
        self._weights = 1
        self._configurations = 1
        self._guest = True
        self._moved = False
        self._lives = collections.Counter()
        self._telling = threading.Lock()
        # How many faults of a kind act on something now.
        self._acting = collections.Counter()

    async def start(self) -> None:
        """Starts everything; returns when each router is ready."""
        self.platform.start(plain=0, runners=0)
        self._configure()
        for service in SERVICES:
            self._add_server(service)
        ports = [router_world.free_port() for _ in range(self._count)]
        for number in range(self._count):
            self._add_router(number, ports)
        for router in self.routers:
            self._launch(router)
            self._tasks.append(asyncio.create_task(self._keep(router)))
        async with asyncio.timeout(START_SECONDS):
            for router in self.routers:
                while not await self._is_ready(router):
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self.routers:
            if router.process is not None:
                await asyncio.to_thread(router.process.close)
            await asyncio.to_thread(router.store.close)
        await asyncio.to_thread(self.platform.close)

    async def play(self, fault: plans.Fault) -> None:
        """Plays one fault to its end."""
        await getattr(self, f"_{fault.kind}")(fault)

    def note(self, text: str) -> None:
        """Notes what a fault does."""
        self.record.faults.append((time.monotonic(), text))

    # Routers.

    def _add_router(self, number: int, ports: list[int]) -> None:
        store = self.platform.store.another_address()
        store.start()
        name = f"router-{number}"
        address = f"127.0.0.1:{router_world.free_port()}"
        chosen = SETTINGS | {
            "name": name,
            "data-centre": "a",
            "listen": address,
            "ready-listen": f"127.0.0.1:{router_world.free_port()}",
            "metrics-listen": f"127.0.0.1:{router_world.free_port()}",
            "peer-listen": f"127.0.0.1:{ports[number]}",
            "peer-seeds": ",".join(f"127.0.0.1:{each}" for each in ports),
            "store-address": store.address,
        }
        path = self.folder / f"{name}.toml"
        path.write_text(
            "".join(f'{key} = "{value}"\n' for key, value in chosen.items())
        )
        self.record.lives[name] = []
        self.routers.append(
            Router(name=name, address=address, settings=path, store=store)
        )

    def _launch(self, router: Router) -> None:
        lives = self.record.lives[router.name]
        lives.append(records.Life(started=time.monotonic()))
        router.process = processes.Process(
            "router", f"--config={router.settings}"
        )
        self.logs[f"{router.name}-{len(lives)}"] = router.process.seen

    async def _keep(self, router: Router) -> None:
        """Starts a router again whenever its process has ended."""
        while True:
            process = router.process
            life = self.record.lives[router.name][-1]
            while process.popen.poll() is None:
                await asyncio.sleep(0.02)
            ended = time.monotonic()
            life.status = await asyncio.to_thread(process.wait)
            life.ended = ended
            while not process.lines.empty():
                process.seen.append(process.lines.get())
            self.note(f"{router.name} ended with {life.status}")
            await asyncio.sleep(RESTART_SECONDS)
            self._launch(router)

    async def _is_ready(self, router: Router) -> bool:
        connection = router_world.Client(router.address)
        try:
            await connection.open()
        except OSError:
            return False
        try:
            answer = await connection.ask(
                names.READY_PATH.decode(), method="GET"
            )
        except (TimeoutError, ConnectionError):
            return False
        finally:
            connection.close()
        return answer.status == 200

    def _router(self, fault: plans.Fault) -> Router:
        return self.routers[fault.target % len(self.routers)]

    def _life(self, router: Router) -> records.Life | None:
        """Returns a router's process if it runs."""
        life = self.record.lives[router.name][-1]
        if life.ended or router.process.popen.poll() is not None:
            return None
        return life

    async def _term(self, fault: plans.Fault) -> None:
        router = self._router(fault)
        life = self._life(router)
        if life is None:
            return
        self.note(f"SIGTERM to {router.name}")
        life.told = life.told or time.monotonic()
        router.process.popen.send_signal(signal.SIGTERM)
        await self._is_served(router)

    async def _kill(self, fault: plans.Fault) -> None:
        router = self._router(fault)
        life = self._life(router)
        if life is None:
            return
        self.note(f"SIGKILL to {router.name}")
        life.killed = life.killed or time.monotonic()
        router.process.popen.send_signal(signal.SIGKILL)
        await self._is_served(router)

    async def _is_served(self, router: Router) -> None:
        """Returns when another process of a router was started."""
        count = len(self.record.lives[router.name])
        while len(self.record.lives[router.name]) == count:
            await asyncio.sleep(0.05)

    async def _stop(self, fault: plans.Fault) -> None:
        router = self._router(fault)
        process = router.process
        if self._life(router) is None:
            return
        self.note(f"SIGSTOP to {router.name} for {fault.seconds:.1f} s")
        span = records.Span(router=router.name, begin=time.monotonic())
        self.record.freezes.append(span)
        self._acting[process] += 1
        process.popen.send_signal(signal.SIGSTOP)
        end = span.begin + fault.seconds
        while time.monotonic() < end and process.popen.poll() is None:
            await asyncio.sleep(0.05)
        self._acting[process] -= 1
        if not self._acting[process]:
            process.popen.send_signal(signal.SIGCONT)
        span.end = time.monotonic()

    # The store.

    @contextlib.asynccontextmanager
    async def _outage(self, fault: plans.Fault, kind: str, one: bool):
        """Disturbs the store for all routers, or for one; yields seconds."""
        seconds = OUTAGE_FACTOR * fault.seconds
        routers = [self._router(fault)] if one else self.routers
        whom = routers[0].name if one else "all"
        self.note(f"{kind} to {whom} for {seconds:.1f} s")
        span = records.Span(
            router=routers[0].name if one else None, begin=time.monotonic()
        )
        self.record.outages.append(span)
        for each in routers:
            self._acting[kind, each.name] += 1
            self._disturb(each, kind)
        try:
            yield seconds
        finally:
            for each in routers:
                self._acting[kind, each.name] -= 1
                self._disturb(each, kind)
            span.end = time.monotonic()

    def _disturb(self, router: Router, kind: str) -> None:
        """Puts a disturbance at a router's address of the store in force."""
        acts = self._acting[kind, router.name] > 0
        match kind:
            case "store silent":
                router.store.silent = acts
            case "store refuses":
                router.store.refused = {"127.0.0.1"} if acts else set()
            case "store slow":
                router.store.objects.latency = 0.4 if acts else 0.0

    async def _store_silent(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store silent", one=False) as seconds:
            await asyncio.sleep(seconds)

    async def _store_silent_to_one(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store silent", one=True) as seconds:
            await asyncio.sleep(seconds)

    async def _store_refuses(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store refuses", one=False) as seconds:
            await asyncio.sleep(seconds)

    async def _store_refuses_one(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store refuses", one=True) as seconds:
            await asyncio.sleep(seconds)

    async def _store_slow(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store slow", one=False) as seconds:
            await asyncio.sleep(seconds)

    async def _watches_cut(self, fault: plans.Fault) -> None:
        router = self._router(fault)
        self.note(f"watches of {router.name} cut")
        now = time.monotonic()
        self.record.outages.append(
            records.Span(router=router.name, begin=now, end=now)
        )
        router.store.cut_watches()

    # Servers.

    def _add_server(self, service: str) -> servers.Server:
        self._lives[service] += 1
        incarnation = f"{service}-{self._lives[service]}"
        weights = {MODEL: self._weights} if service == "runners" else None
        server = servers.Server(
            record=self.record,
            incarnation=incarnation,
            service=service,
            weights=weights,
        )
        server.event_seconds = EVENT_SECONDS
        server.work_seconds = WORK_SECONDS
        server.start()
        server.on_loaded = lambda: self._loaded(server)
        self.platform.servers[incarnation] = server
        self._tell(server)
        return server

    def _loaded(self, server: servers.Server) -> None:
        if server.alive:
            self._tell(server)

    def _tell(self, server: servers.Server) -> None:
        """Writes a server's entry; runners' threads do so, too."""
        with self._telling:
            self.platform.tell(server)

    def _usable(self, service: str | None = None) -> list[servers.Server]:
        """Returns servers that live and don't leave."""
        return [
            each
            for each in self.platform.servers.values()
            if each.alive
            and not (each.leaving or each.says_leaving)
            and service in (None, each.service)
        ]

    def _server(self, fault: plans.Fault, service: str | None = None):
        """Returns the server that a fault acts on."""
        usable = self._usable(service)
        return usable[fault.target % len(usable)]

    def _spare(self, fault: plans.Fault) -> servers.Server | None:
        """Returns a server without which its service can go on, or None."""
        server = self._server(fault)
        others = len(self._usable(server.service)) - 1
        return server if others >= FEWEST else None

    async def _replace(self, server: servers.Server) -> None:
        """Takes an ended server's entry away and starts another one."""
        await asyncio.sleep(GONE_SECONDS)
        self.platform.store.remove(names.SERVERS, server.incarnation)
        del self.platform.servers[server.incarnation]
        self._add_server(server.service)

    async def _server_leaves(self, fault: plans.Fault) -> None:
        server = self._spare(fault)
        if server is None:
            return
        server.leaving = server.says_leaving = True
        self._tell(server)
        self.record.leaving[server.incarnation] = time.monotonic()
        self.note(f"{server.incarnation} leaves")
        await asyncio.sleep(LEAVE_SECONDS)
        await asyncio.to_thread(server.crash)
        await self._replace(server)

    async def _answers_leave(self, fault: plans.Fault) -> None:
        server = self._spare(fault)
        if server is None:
            return
        server.says_leaving = True
        self.note(f"{server.incarnation} leaves, and says so in answers only")
        await asyncio.sleep(LEAVE_SECONDS)
        server.leaving = True
        self._tell(server)
        self.record.leaving[server.incarnation] = time.monotonic()
        await asyncio.sleep(1.0)
        await asyncio.to_thread(server.crash)
        await self._replace(server)

    async def _server_crashes(self, fault: plans.Fault) -> None:
        server = self._spare(fault)
        if server is None:
            return
        self.note(f"{server.incarnation} crashes")
        await asyncio.to_thread(server.crash)
        await self._replace(server)

    async def _server_restarts(self, fault: plans.Fault) -> None:
        server = self._spare(fault)
        if server is None:
            return
        self.note(f"{server.incarnation} crashes and comes back")
        await asyncio.to_thread(server.crash)
        await asyncio.sleep(fault.seconds / 2)
        await asyncio.to_thread(server.start)
        self._tell(server)

    async def _server_refuses(self, fault: plans.Fault) -> None:
        server = self._server(fault)
        server.refuse += fault.count
        self.note(f"{server.incarnation} refuses {fault.count}")

    async def _server_loses(self, fault: plans.Fault) -> None:
        server = self._server(fault)
        server.lose += 1
        self.note(f"{server.incarnation} loses an answer")

    async def _stream_cut(self, fault: plans.Fault) -> None:
        server = self._server(fault, "runners")
        server.cut_after = fault.count
        self.note(f"{server.incarnation} cuts a stream after {fault.count}")

    async def _rest(self, fault: plans.Fault) -> None:
        server = self._server(fault, "runners")
        rest = 2 + fault.count // 2
        self.note(f"{server.incarnation} asks for {rest} s of rest")
        server.rest_seconds = rest
        server.refuse = plans.TARGETS
        await asyncio.sleep(rest)
        server.rest_seconds = None
        server.refuse = 0

    def heal(self) -> None:
        """Takes back what waits for requests that it acts on."""
        for server in self.platform.servers.values():
            server.refuse = server.lose = 0
            server.cut_after = None

    # The operator.

    async def _version(self, fault: plans.Fault) -> None:
        self._weights += 1
        self.note(f"weights {self._weights} named")
        named = {"model": MODEL, "version": self._weights}
        self.platform.store.put(names.WEIGHTS_NAMED, MODEL, named)
        self.record.named.append((self._weights, time.monotonic()))

    async def _versions(self, fault: plans.Fault) -> None:
        await self._version(fault)
        await asyncio.sleep(RENAME_SECONDS)
        await self._version(fault)

    async def _version_in_silence(self, fault: plans.Fault) -> None:
        async with self._outage(fault, "store silent", one=True) as seconds:
            await asyncio.sleep(SILENT_SECONDS)
            await self._version(fault)
            await asyncio.sleep(seconds)

    async def _key(self, fault: plans.Fault) -> None:
        self._guest = not self._guest
        self._configure()

    async def _route(self, fault: plans.Fault) -> None:
        self._moved = not self._moved
        self._configure()

    def _configure(self) -> None:
        """Puts the next configuration in force."""
        self._configurations += 1
        service = "runners" if self._moved else "plain"
        route = stand_in_platforms.route
        tenants = [{"name": "acme", "apiKeys": [KEY], "priority": 2}]
        if self._guest:
            tenants.append({"name": "guest", "apiKeys": [GUEST_KEY]})
        found = stand_in_platforms.configuration(
            self._configurations,
            [
                route("cards", service="plain", kind="unsafe", maxAttempts=1),
                route("notices", service=service, kind="safe"),
                route(
                    "lookups", service="runners", kind="stream", resumable=True
                ),
                route(
                    "drafts", service="runners", kind="stream", maxAttempts=1
                ),
            ],
            kept=self.platform.kept.address,
            tenants=tenants,
        )
        self.platform.store.put(
            names.CONFIGURATIONS, names.CONFIGURATION, found
        )
        self.record.changes.append(
            records.Change(
                at=time.monotonic(),
                keys=frozenset(
                    each for tenant in tenants for each in tenant["apiKeys"]
                ),
                services={
                    each["name"]: each["service"] for each in found["routes"]
                },
            )
        )
        self.note(
            f"configuration {self._configurations}: notices to {service}"
            f"{'' if self._guest else ', guest key removed'}"
        )
