"""Notices that servers send about themselves in response headers."""

from collections.abc import Callable

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import server_limits

# Status of a response from another server than the requested one, or from one
# with other weights than requested.
MISDIRECTED = 421
# Statuses with which a server requests a backoff.
BUSY_STATUSES = frozenset((429, 503))
# Most characters of an unreadable header in a log line.
MAX_SHOWN_CHARS = 40


@attrs.frozen(kw_only=True)
class ServerNotices:
    """Applies the notices in response headers to the servers that sent them.

    Attributes:
        servers: the known servers.
        limits: the rate limits that servers announced.
        lines: log of changes of the view.
        limit_changed: called with the incarnation of a server whose limit
            changed.
        arrived: returns the earliest time at which data read at a given time
            may have arrived, which is earlier if the process was paused.
    """

    servers: backends.Backends
    limits: server_limits.ServerLimits
    lines: log_lines.Lines
    limit_changed: Callable[[str], None] = lambda server: None
    arrived: Callable[[float], float] = lambda now: now

    def apply(
        self,
        target: backends.Backend,
        answer: request_types.ServerResponse,
        sent: float | None = None,
    ) -> None:
        """Applies the notices in a response head.

        Args:
            target: the server to which the request was sent.
            answer: the response.
            sent: when a client's request was sent; None for other calls, whose
                responses need not repeat a limit.
        """
        backend = self._responding_server(target, answer)
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
        """Applies the rate limit that a server announces, or its absence."""
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
        """Merges a limit that another router received."""
        before = self.limits.get(server)
        if self.limits.merge(server, limit):
            self._limit_changed(server, before, router)

    def _limit_changed(
        self, server: str, before: float | None, by: str, **more: object
    ) -> None:
        backend = self.servers.by_incarnation.get(server)
        if backend is not None:
            # A wait set by the owner of the limit is for its former value.
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
        """Applies the Retry-After value of a busy server."""
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
            # Responses may arrive out of order: a longer backoff stays.
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
        target: registrations.Registration,
        answer: request_types.ServerResponse,
    ) -> None:
        """Applies the notices in a response to a call of the router itself."""
        backend = self.servers.by_incarnation.get(target.incarnation)
        if backend is not None:
            self.apply(backend, answer)

    def _responding_server(
        self, target: backends.Backend, answer: request_types.ServerResponse
    ) -> backends.Backend | None:
        """Returns the server that sent a response, or None if unknown."""
        if answer.server is not None:
            if answer.server == target.registration.server:
                return target
            return self.servers.by_server.get(answer.server)
        return None if answer.status == MISDIRECTED else target
