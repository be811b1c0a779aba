"""Checks whether a server still accepts connections after one broke.

A crash shows as a broken connection, and so do many other faults. A refused
connection tells them apart within milliseconds; the server's entry in the store
lapses seconds later, or not at all during an outage of the store.
"""

import asyncio
from collections.abc import Callable

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_connections

# How long the connection of a check may be reused. It replaces the broken one.
IDLE_SECONDS = 2.0


class LivenessChecks:
    """Opens connections to servers that broke one, one at a time to each.

    Attributes:
        pool: receives the connections that were opened.
        died: called with the incarnation of a server that accepts none.
        accepted: called with the incarnation of a server that accepted one.
        lines: log of changes of the view.
        pending: tasks of open checks, by incarnation.
    """

    def __init__(
        self,
        *,
        pool: server_connections.ConnectionPool,
        died: Callable[[str], None],
        accepted: Callable[[str], None],
        lines: log_lines.Lines,
    ):
        self.pool = pool
        self.died = died
        self.accepted = accepted
        self.lines = lines
        self.pending: dict[str, asyncio.Task] = {}

    def close(self) -> None:
        """Cancels all open checks."""
        for each in self.pending.values():
            each.cancel()

    def check(self, backend: backends.Backend) -> None:
        """Checks a server, unless a check of it is pending.

        A server that is leaving ends its process as planned, which breaks what
        still runs there, so its end shows no crash.
        """
        incarnation = backend.registration.incarnation
        if incarnation in self.pending or backend.is_leaving():
            return
        task = asyncio.get_running_loop().create_task(self._check(backend))
        self.pending[incarnation] = task
        task.add_done_callback(lambda _: self.pending.pop(incarnation, None))

    async def _check(self, backend: backends.Backend) -> None:
        registration = backend.registration
        try:
            connection = await self.pool.open(registration.address)
        except server_connections.CannotConnectError as error:
            self.lines.write(
                "server_unreachable",
                server=registration.incarnation,
                why=str(error),
            )
            backend.note_connection_failure(clocks.now())
            self.died(registration.incarnation)
            return
        self.accepted(registration.incarnation)
        self.pool.release(connection, idle_seconds=IDLE_SECONDS)
