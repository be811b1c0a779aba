"""Keeps what is believed in step with the store."""

import asyncio

import logbook

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import stores
from pimentoledge.routing import beliefs
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations

logger = logbook.Logger("watchers")

# Longest time that a watch waits: each call is paid for.
WATCH_SECONDS = 20.0
# Between calls of a store that gives no answer.
RETRY_SECONDS = 0.5
# Changes that follow each other closely are read by one call.
GATHER_SECONDS = 0.05


class Watcher:
    """One task that follows one kind of objects.

    Attributes:
        kind: the kind.
        store: the store's client.
        take: called with a listing or with changes.
        lines: where changes of belief are written.
        revision: up to which the kind is known, or None.
        reached: when the store last answered.
    """

    def __init__(self, *, kind: str, store: stores.Store, take, lines):
        self.kind = kind
        self.store = store
        self.take = take
        self.lines: log_lines.Lines = lines
        self.revision: int | None = None
        self.reached = 0.0
        self._lost = False
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to follow."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stops."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except asyncio.CancelledError:
                raise
            except Exception:
                logger.exception("defect")
                self.revision = None
                await asyncio.sleep(RETRY_SECONDS)

    async def _step(self) -> None:
        if self.revision is None:
            found = await self.store.list(self.kind)
        else:
            found = await self.store.watch(
                self.kind, self.revision, WATCH_SECONDS
            )
        match found:
            case registrations.Unavailable(reason=reason):
                if not self._lost:
                    self.lines.write("store_lost", kind=self.kind, why=reason)
                self._lost = True
                await asyncio.sleep(RETRY_SECONDS)
                return
            case registrations.HistoryGone():
                self.lines.write("history_gone", kind=self.kind)
                self.revision = None
                return
            case registrations.Listing() | registrations.Changes():
                self.take(found)
                self.revision = found.revision
        self.reached = clocks.now()
        if self._lost:
            self.lines.write("store_back", kind=self.kind)
            self._lost = False
        await asyncio.sleep(GATHER_SECONDS)


class Takers:
    """Turns what watchers read into beliefs.

    Attributes:
        believed: what the process believes.
        lines: where changes of belief are written.
    """

    def __init__(self, *, believed: beliefs.Beliefs, lines: log_lines.Lines):
        self.believed = believed
        self.lines = lines

    def configuration(
        self, found: registrations.Listing | registrations.Changes
    ) -> None:
        """Takes the configuration, if it is newer."""
        for each in _present(found):
            if each.name == names.CONFIGURATION:
                self._configure(each)

    def _configure(self, each: registrations.Stored) -> None:
        fresh = objects.configuration(each)
        held = self.believed.configuration
        if held is not None and held.version >= fresh.version:
            return
        self.believed.configuration = fresh
        self.lines.write(
            "configuration", version=fresh.version, revision=each.revision
        )

    def weights(
        self, found: registrations.Listing | registrations.Changes
    ) -> None:
        """Takes named weights, if they are newer."""
        for each in _present(found):
            named = objects.named_weights(each)
            if self.believed.want(named.model, named.version, clocks.now()):
                self.lines.write(
                    "weights_named", model=named.model, version=named.version
                )

    def servers(
        self, found: registrations.Listing | registrations.Changes
    ) -> None:
        """Takes registrations of backend servers."""
        for each in _present(found):
            registration = objects.registration(each)
            self.believed.servers.put(registration)
            self.lines.write(
                "server",
                server=each.name,
                service=registration.service,
                leaving=registration.leaving,
                weights=registration.weights,
            )
        for name in self._gone(found):
            self.believed.servers.remove(name)
            self.lines.write("server_gone", server=name)

    def _gone(
        self, found: registrations.Listing | registrations.Changes
    ) -> list[str]:
        match found:
            case registrations.Changes():
                return [each.name for each in found.removed]
            case registrations.Listing():
                present = {each.name for each in found.objects}
                known = self.believed.servers.by_incarnation
                return [name for name in known if name not in present]


def _present(
    found: registrations.Listing | registrations.Changes,
) -> list[registrations.Stored]:
    match found:
        case registrations.Listing():
            return found.objects
        case registrations.Changes():
            return found.changed
