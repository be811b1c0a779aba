"""Asks a runner what it has, when an answer showed that beliefs are wrong."""

import asyncio

import attrs

from pimentoledge.platform import orders
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import server_permits

# No work is sent there while the question is under way.
REPORT_SECONDS = 0.3
# A runner that loads is asked again by the next request that meets it.
LOADING_SECONDS = 0.4


class Rechecks:
    """Questions to runners, at most one at a time for each.

    Attributes:
        runners: makes the calls.
        permits: hold the limits that runners have named.
        lines: where changes of belief are written.
        pending: servers that are being asked, by incarnation.
    """

    def __init__(
        self,
        *,
        runners: orders.Runners,
        permits: server_permits.Permits,
        lines: log_lines.Lines,
    ):
        self.runners = runners
        self.permits = permits
        self.lines = lines
        self.pending: dict[str, asyncio.Task] = {}

    def close(self) -> None:
        """Gives up all questions."""
        for each in self.pending.values():
            each.cancel()

    def recheck(self, backend: backends.Backend) -> None:
        """Leaves a runner alone until it has said which weights it has.

        The store tells of changed weights late, or not at all where it turns
        this router away: each request would be refused by the same runner
        again, and each refusal counts against the budget of repeats.
        """
        incarnation = backend.registration.incarnation
        now = clocks.now()
        backend.loading_until = max(backend.loading_until, now + REPORT_SECONDS)
        if incarnation in self.pending:
            return
        task = asyncio.get_running_loop().create_task(
            self._request_report(backend)
        )
        self.pending[incarnation] = task
        task.add_done_callback(lambda _: self.pending.pop(incarnation, None))

    async def _request_report(self, backend: backends.Backend) -> None:
        if not (await self.permits.acquire(backend)).granted:
            return
        found = await self.runners.report(backend.registration)
        if isinstance(found, registrations.Unavailable):
            return
        if backend.is_other_incarnation(found.born):
            return
        if found.loading:
            backend.loading_until = clocks.now() + LOADING_SECONDS
            return
        before = backend.registration.weights
        if before == found.weights:
            backend.loading_until = 0.0
            return
        backend.registration = attrs.evolve(
            backend.registration, weights=found.weights
        )
        backend.loaded()
        self.lines.write(
            "server_reported",
            server=backend.registration.incarnation,
            weights=found.weights,
            before=before,
        )
