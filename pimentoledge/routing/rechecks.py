"""Requests a runner's report after a response contradicted its known state."""

import asyncio
from collections.abc import Callable

from pimentoledge.platform import orders
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import server_permits

# For how long no requests are sent to a runner whose report is requested.
REPORT_SECONDS = 0.3
# For how long no requests are sent to a runner that reports that it is loading.
# After that the next request that it refuses triggers another recheck.
LOADING_SECONDS = 0.4


class Rechecks:
    """Requests reports from runners, at most one at a time from each.

    Attributes:
        runners: client for calls to runners.
        permits: enforce the rate limits that runners announced.
        lines: log of changes of the view.
        on_weights: called with a runner's registration when a report has
            changed its weights.
        pending: tasks of open report requests, by incarnation.
    """

    def __init__(
        self,
        *,
        runners: orders.RunnerClient,
        permits: server_permits.Permits,
        lines: log_lines.Lines,
        on_weights: Callable[
            [registrations.Registration], None
        ] = lambda registration: None,
    ):
        self.runners = runners
        self.permits = permits
        self.lines = lines
        self.on_weights = on_weights
        self.pending: dict[str, asyncio.Task] = {}

    def close(self) -> None:
        """Cancels all open report requests."""
        for each in self.pending.values():
            each.cancel()

    def recheck(self, backend: backends.Backend) -> None:
        """Sends a runner no requests until it has reported its weights.

        The store reports changed weights late, or not at all if it rejects this
        router's calls. Until then the same runner would refuse each request
        again, and each refusal counts against the retry budget.
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
        report = await self.runners.report(backend.registration)
        if isinstance(report, registrations.Unavailable):
            return
        if backend.is_other_incarnation(report.born):
            return
        if report.loading:
            backend.loading_until = clocks.now() + LOADING_SECONDS
            return
        before = backend.registration.weights
        if not backend.note_weights(report.weights):
            backend.loading_until = 0.0
            return
        self.lines.write(
            "server_reported",
            server=backend.registration.incarnation,
            weights=backend.registration.weights,
            before=before,
        )
        self.on_weights(backend.registration)
