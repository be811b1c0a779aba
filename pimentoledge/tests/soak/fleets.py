"""Router processes: started, signalled, and started again when they end."""

import asyncio
import pathlib
import signal
import time

import attrs

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_stores
from pimentoledge.tests import processes
from pimentoledge.tests import router_world
from pimentoledge.tests.soak import records

GRACE_SECONDS = 8.0
SETTINGS = {
    "weights-ms": "5000",
    "drain-ms": "2000",
    "config-ms": "2000",
    "lease-ms": "1000",
    "grace-s": str(GRACE_SECONDS),
    "data-centre": "a",
}
START_SECONDS = 30.0
RESTART_SECONDS = 0.2
LOOK_SECONDS = 0.02


@attrs.define(kw_only=True)
class Router:
    """A router and the address at which it reaches the store.

    Attributes:
        name: its name.
        address: IP:PORT for clients.
        settings: path of its settings file.
        store: its address of the store.
        process_runs: what is recorded of its processes.
        process: the process that runs, or the last one.
        stops: how many faults keep that process stopped.
    """

    name: str
    address: str
    settings: pathlib.Path
    store: stand_in_stores.StandInStore
    process_runs: list[records.ProcessRun]
    process: processes.Process | None = None
    stops: int = 0

    def current_run(self) -> records.ProcessRun | None:
        """Returns its process if that runs."""
        if self.process.popen.poll() is not None:
            return None
        return self.process_runs[-1]


class Fleet:
    """The routers of a run.

    Attributes:
        routers: the routers.
        logs: lines of each process, by name of its log.
    """

    def __init__(self, *, record: records.SoakRecord):
        self.routers: list[Router] = []
        self.logs: dict[str, list[str]] = {}
        self._record = record
        self._folder: pathlib.Path | None = None
        self._ports: list[int] = []
        self._tasks: list[asyncio.Task] = []

    async def start(
        self,
        addresses: list[stand_in_stores.StandInStore],
        folder: pathlib.Path,
    ) -> None:
        """Starts a router for each address of the store; all are ready then.

        Args:
            addresses: the addresses of the store.
            folder: where settings are written.
        """
        self._folder = folder
        self._ports = [router_world.free_port() for _ in addresses]
        for store, port in zip(addresses, self._ports, strict=True):
            self._add(store, port)
        for router in self.routers:
            self._begin(router)
        async with asyncio.timeout(START_SECONDS):
            for router in self.routers:
                await _becomes_ready(router)

    async def join(self, store: stand_in_stores.StandInStore) -> Router:
        """Starts one more router; returns it when it is ready.

        Args:
            store: its address of the store.
        """
        router = self._add(store, router_world.free_port())
        self._begin(router)
        async with asyncio.timeout(START_SECONDS):
            await _becomes_ready(router)
        return router

    def _begin(self, router: Router) -> None:
        """Starts a router, and again whenever it has ended."""
        self._launch(router)
        self._tasks.append(asyncio.create_task(self._keep(router)))

    async def close(self) -> None:
        """Kills all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self.routers:
            if router.process is not None:
                await asyncio.to_thread(router.process.close)
                _read_rest(router.process)

    def _add(self, store: stand_in_stores.StandInStore, port: int) -> Router:
        name = f"router-{len(self.routers)}"
        seeds = ",".join(f"127.0.0.1:{each}" for each in self._ports)
        address = f"127.0.0.1:{router_world.free_port()}"
        chosen = SETTINGS | {
            "name": name,
            "listen": address,
            "ready-listen": f"127.0.0.1:{router_world.free_port()}",
            "metrics-listen": f"127.0.0.1:{router_world.free_port()}",
            "peer-listen": f"127.0.0.1:{port}",
            "peer-seeds": seeds,
            "store-address": store.address,
        }
        path = self._folder / f"{name}.toml"
        path.write_text(
            "".join(f'{key} = "{value}"\n' for key, value in chosen.items())
        )
        lives = self._record.process_runs.setdefault(name, [])
        router = Router(
            name=name,
            address=address,
            settings=path,
            store=store,
            process_runs=lives,
        )
        self.routers.append(router)
        return router

    def _launch(self, router: Router) -> None:
        router.process_runs.append(records.ProcessRun(started=time.monotonic()))
        router.stops = 0
        router.process = processes.Process(
            "router", f"--config={router.settings}"
        )
        log = f"{router.name}-{len(router.process_runs)}"
        self.logs[log] = router.process.consumed_lines

    async def _keep(self, router: Router) -> None:
        """Starts a router again whenever its process has ended."""
        while True:
            process, life = router.process, router.process_runs[-1]
            while process.popen.poll() is None:
                self._end_overdue(router, life)
                await asyncio.sleep(LOOK_SECONDS)
            ended = time.monotonic()
            life.status = await asyncio.to_thread(process.wait)
            life.ended = ended
            _read_rest(process)
            self._record.note(f"{router.name} ended with {life.status}")
            await asyncio.sleep(RESTART_SECONDS)
            self._launch(router)

    def _end_overdue(self, router: Router, life: records.ProcessRun) -> None:
        """Kills a process that has not ended within its grace time."""
        if life.terminated_at is None or life.killed is not None:
            return
        if time.monotonic() > life.terminated_at + GRACE_SECONDS:
            self._record.note(f"{router.name} is overdue")
            life.overdue = True
            self._send_kill(router, life)

    def _send_kill(self, router: Router, life: records.ProcessRun) -> None:
        life.killed = life.killed or time.monotonic()
        router.process.popen.send_signal(signal.SIGKILL)

    async def terminate(self, router: Router) -> None:
        """Sends SIGTERM; returns when another process was started."""
        life = router.current_run()
        if life is not None:
            self._record.note(f"SIGTERM to {router.name}")
            life.terminated_at = life.terminated_at or time.monotonic()
            router.process.popen.send_signal(signal.SIGTERM)
            await _succeeded(router, life)

    async def kill(self, router: Router) -> None:
        """Sends SIGKILL; returns when another process was started."""
        life = router.current_run()
        if life is not None:
            self._record.note(f"SIGKILL to {router.name}")
            self._send_kill(router, life)
            await _succeeded(router, life)

    async def stop(self, router: Router, seconds: float) -> None:
        """Stops a router's process for some seconds, or until it ends."""
        life, process = router.current_run(), router.process
        if life is None:
            return
        self._record.note(f"SIGSTOP to {router.name} for {seconds:.1f} s")
        span = records.Span(router=router.name, begin=time.monotonic())
        self._record.freezes.append(span)
        router.stops += 1
        process.popen.send_signal(signal.SIGSTOP)
        while (
            time.monotonic() < span.begin + seconds
            and router.current_run() is life
        ):
            await asyncio.sleep(LOOK_SECONDS)
        if router.process is process:
            router.stops -= 1
            if not router.stops:
                process.popen.send_signal(signal.SIGCONT)
        span.end = time.monotonic()


def _read_rest(process: processes.Process) -> None:
    while not process.lines.empty():
        process.consumed_lines.append(process.lines.get())


async def _succeeded(router: Router, life: records.ProcessRun) -> None:
    while router.process_runs[-1] is life:
        await asyncio.sleep(LOOK_SECONDS)


async def _becomes_ready(router: Router) -> None:
    while not await _is_ready(router):
        await asyncio.sleep(0.1)


async def _is_ready(router: Router) -> bool:
    connection = router_world.Client(router.address)
    try:
        await connection.open()
        path = names.READY_PATH.decode()
        answer = await connection.request(path, method="GET")
    except OSError:
        return False
    connection.close()
    return answer.status == 200
