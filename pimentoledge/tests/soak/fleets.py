"""Starts, signals and restarts router processes."""

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
START_TIMEOUT_SECONDS = 30.0
RESTART_DELAY_SECONDS = 0.2
POLL_SECONDS = 0.02


@attrs.define(kw_only=True)
class Router:
    """A router and its address of the store.

    Attributes:
        name: its name.
        address: IP:PORT for clients.
        settings: path of its settings file.
        store: the store as this router reaches it, with faults of its own.
        process_runs: records of its processes.
        process: the current process, or the last one.
        active_freezes: number of faults that currently stop the process.
    """

    name: str
    address: str
    settings: pathlib.Path
    store: stand_in_stores.StandInStore
    process_runs: list[records.ProcessRun]
    process: processes.Process | None = None
    active_freezes: int = 0

    def current_run(self) -> records.ProcessRun | None:
        """Returns the record of the current process if it is running."""
        if self.process.popen.poll() is not None:
            return None
        return self.process_runs[-1]


class Fleet:
    """The routers of a run.

    Attributes:
        routers: the routers.
        logs: lines of output of each process, by name of its log.
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
        """Starts a router for each address of the store and waits for them.

        All routers are ready when it returns.

        Args:
            addresses: the addresses of the store.
            folder: directory to write settings files to.
        """
        self._folder = folder
        self._ports = [router_world.free_port() for _ in addresses]
        for store, port in zip(addresses, self._ports, strict=True):
            self._add_router(store, port)
        for router in self.routers:
            self._start_supervised(router)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for router in self.routers:
                await _wait_until_ready(router)

    async def join(self, store: stand_in_stores.StandInStore) -> Router:
        """Starts another router and returns it when it is ready.

        Args:
            store: its address of the store.
        """
        router = self._add_router(store, router_world.free_port())
        self._start_supervised(router)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            await _wait_until_ready(router)
        return router

    def _start_supervised(self, router: Router) -> None:
        """Starts a router and a task that restarts it when it ends."""
        self._launch(router)
        self._tasks.append(
            asyncio.create_task(self._restart_when_ended(router))
        )

    async def close(self) -> None:
        """Kills all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self.routers:
            if router.process is not None:
                await asyncio.to_thread(router.process.close)
                _read_remaining_lines(router.process)

    def _add_router(
        self, store: stand_in_stores.StandInStore, port: int
    ) -> Router:
        name = f"router-{len(self.routers)}"
        seeds = ",".join(f"127.0.0.1:{each}" for each in self._ports)
        address = f"127.0.0.1:{router_world.free_port()}"
        settings = SETTINGS | {
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
            "".join(f'{key} = "{value}"\n' for key, value in settings.items())
        )
        process_runs = self._record.process_runs.setdefault(name, [])
        router = Router(
            name=name,
            address=address,
            settings=path,
            store=store,
            process_runs=process_runs,
        )
        self.routers.append(router)
        return router

    def _launch(self, router: Router) -> None:
        router.process_runs.append(records.ProcessRun(started=time.monotonic()))
        router.active_freezes = 0
        router.process = processes.Process(
            "router", f"--config={router.settings}"
        )
        log = f"{router.name}-{len(router.process_runs)}"
        self.logs[log] = router.process.consumed_lines

    async def _restart_when_ended(self, router: Router) -> None:
        """Restarts a router whenever its process has ended."""
        while True:
            process, process_run = router.process, router.process_runs[-1]
            while process.popen.poll() is None:
                self._kill_overdue(router, process_run)
                await asyncio.sleep(POLL_SECONDS)
            ended = time.monotonic()
            process_run.status = await asyncio.to_thread(process.wait)
            process_run.ended = ended
            _read_remaining_lines(process)
            self._record.add_fault(
                f"{router.name} ended with {process_run.status}"
            )
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            self._launch(router)

    def _kill_overdue(
        self, router: Router, process_run: records.ProcessRun
    ) -> None:
        """Kills a process that has not ended within its grace period."""
        if process_run.terminated_at is None or process_run.killed is not None:
            return
        if time.monotonic() > process_run.terminated_at + GRACE_SECONDS:
            self._record.add_fault(f"{router.name} is overdue")
            process_run.overdue = True
            self._send_kill(router, process_run)

    def _send_kill(
        self, router: Router, process_run: records.ProcessRun
    ) -> None:
        process_run.killed = process_run.killed or time.monotonic()
        router.process.popen.send_signal(signal.SIGKILL)

    async def terminate(self, router: Router) -> None:
        """Sends SIGTERM; returns when the next process was started."""
        process_run = router.current_run()
        if process_run is not None:
            self._record.add_fault(f"SIGTERM to {router.name}")
            process_run.terminated_at = (
                process_run.terminated_at or time.monotonic()
            )
            router.process.popen.send_signal(signal.SIGTERM)
            await _wait_for_restart(router, process_run)

    async def kill(self, router: Router) -> None:
        """Sends SIGKILL; returns when the next process was started."""
        process_run = router.current_run()
        if process_run is not None:
            self._record.add_fault(f"SIGKILL to {router.name}")
            self._send_kill(router, process_run)
            await _wait_for_restart(router, process_run)

    async def freeze(self, router: Router, seconds: float) -> None:
        """Stops a router's process for some seconds or until it ends.

        If several faults stop it at the same time, the last to end resumes it.
        """
        process_run, process = router.current_run(), router.process
        if process_run is None:
            return
        self._record.add_fault(f"SIGSTOP to {router.name} for {seconds:.1f} s")
        span = records.Span(router=router.name, begin=time.monotonic())
        self._record.freezes.append(span)
        router.active_freezes += 1
        process.popen.send_signal(signal.SIGSTOP)
        while (
            time.monotonic() < span.begin + seconds
            and router.current_run() is process_run
        ):
            await asyncio.sleep(POLL_SECONDS)
        if router.process is process:
            router.active_freezes -= 1
            if not router.active_freezes:
                process.popen.send_signal(signal.SIGCONT)
        span.end = time.monotonic()


def _read_remaining_lines(process: processes.Process) -> None:
    while not process.lines.empty():
        process.consumed_lines.append(process.lines.get())


async def _wait_for_restart(
    router: Router, process_run: records.ProcessRun
) -> None:
    while router.process_runs[-1] is process_run:
        await asyncio.sleep(POLL_SECONDS)


async def _wait_until_ready(router: Router) -> None:
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
