"""What servers say of themselves in the heads of their answers."""

from collections.abc import Callable

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import server_limits

# Status of a server that is not the one that was meant, or that has other
# weights than were asked for.
MISDIRECTED = 421
# Statuses by which a server asks to be left alone for a while.
BUSY_STATUSES = frozenset((429, 503))
# Characters of an unreadable header in a line.
MAX_SHOWN_CHARS = 40


@attrs.frozen(kw_only=True)
class ServerNotices:
    """Takes what answers say of the servers that gave them.

    Attributes:
        servers: the servers that are believed to be.
        limits: the limits that servers have named.
        lines: where changes of belief are written.
        limit_changed: called with a server whose limit changed, by incarnation.
        arrived: returns as of when what is read at a time may have lain in a
            socket, since the process stood still.
    """

    servers: backends.Backends
    limits: server_limits.ServerLimits
    lines: log_lines.Lines
    limit_changed: Callable[[str], None] = lambda server: None
    arrived: Callable[[float], float] = lambda now: now

    def apply(
        self,
        asked: backends.Backend,
        answer: request_types.ServerResponse,
        sent: float | None = None,
    ) -> None:
        """Takes the head of an answer.

        Args:
            asked: the server to which the request was sent.
            answer: what came back.
            sent: when a client's request was sent; None for other calls, whose
                answers need not repeat a limit.
        """
        backend = self._responding_server(asked, answer)
        if backend is None:
            return
        self._update_limit(backend, answer, sent)
        if answer.leaving and not backend.notice.leaving:
            backend.notice.leaving = True
            self.lines.write(
                "server_leaving",
                server=backend.registration.incarnation,
                status=answer.status,
                declared=backend.registration.leaving,
            )
        if answer.status in BUSY_STATUSES and answer.retry_text:
            self._apply_retry_after(backend, answer)

    def _update_limit(
        self,
        backend: backends.Backend,
        answer: request_types.ServerResponse,
        sent: float | None,
    ) -> None:
        """Takes how many requests a second a server says that it takes."""
        server = backend.registration.incarnation
        if answer.limit is None and answer.limit_text:
            self.lines.write(
                "server_limit_unreadable",
                server=server,
                value=answer.limit_text[:MAX_SHOWN_CHARS],
            )
            return
        if answer.limit is None and (sent is None or answer.not_run):
            return
        received_at = self.arrived(clocks.now())
        before = self.limits.get(server)
        if self.limits.update(
            server,
            answer.limit,
            sent_at=received_at if sent is None else sent,
            received_at=received_at,
        ):
            self._limit_changed(server, before, "answer", status=answer.status)

    def merge_limit(
        self, server: str, limit: server_limits.AdvertisedLimit, router: str
    ) -> None:
        """Takes a limit that another router received."""
        before = self.limits.get(server)
        if self.limits.merge(server, limit):
            self._limit_changed(server, before, router)

    def _limit_changed(
        self, server: str, before: float | None, by: str, **more: object
    ) -> None:
        backend = self.servers.by_incarnation.get(server)
        if backend is not None:
            # A wait that an owner told is that of the previous limit.
            backend.limited_until = 0.0
        self.lines.write(
            "server_limit",
            server=server,
            per_second=self.limits.advertised[server].per_second,
            before=before,
            by=by,
            **more,
        )
        self.limit_changed(server)

    def _apply_retry_after(
        self, backend: backends.Backend, answer: request_types.ServerResponse
    ) -> None:
        """Takes for how long a server that is busy asks for no request."""
        server = backend.registration.incarnation
        if answer.retry_seconds is None:
            self.lines.write(
                "retry_after_unreadable",
                server=server,
                value=answer.retry_text[:MAX_SHOWN_CHARS],
            )
            return
        now = clocks.now()
        until = now + answer.retry_seconds
        if until <= max(now, backend.notice.retry_at):
            # An answer that was on its way meanwhile asks for less.
            return
        backend.notice.retry_at = until
        self.lines.write(
            "server_busy",
            server=server,
            status=answer.status,
            retry_after_s=answer.retry_seconds,
        )

    def apply_reply(
        self,
        asked: registrations.Registration,
        answer: request_types.ServerResponse,
    ) -> None:
        """Takes the head of an answer to a call of the system's own."""
        backend = self.servers.by_incarnation.get(asked.incarnation)
        if backend is not None:
            self.apply(backend, answer)

    def _responding_server(
        self, asked: backends.Backend, answer: request_types.ServerResponse
    ) -> backends.Backend | None:
        """Returns the server that gave an answer, or None if unknown."""
        if answer.server is not None:
            if answer.server == asked.registration.server:
                return asked
            return self.servers.by_server.get(answer.server)
        return None if answer.status == MISDIRECTED else asked
