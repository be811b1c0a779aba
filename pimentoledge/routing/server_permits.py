"""Permits for calls to servers that have advertised a limit.

All routers share a server's limit by the same rights and owners as the limits
of organisations; see the quotas package.
"""

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import charges
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_limits
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters

# Shortest time after a refusal until the next permit is requested.
MIN_WAIT_SECONDS = 0.1
# That time if the owner does not have the rights of most routers yet.
UNKNOWN_WAIT_SECONDS = 0.4


@attrs.frozen(kw_only=True)
class Permit:
    """Decision whether a call may be sent to a server.

    Attributes:
        granted: whether the call may be sent.
        charge: grant of the server's limit; None if it has no limit.
    """

    granted: bool
    charge: charges.Charge | None = None

    def give_back(self) -> None:
        """Gives back the permit of a call that was never sent."""
        if self.charge is not None:
            self.charge.settle(0)


@attrs.frozen(kw_only=True)
class Permits:
    """Acquires permits, which every call to a server needs.

    Attributes:
        limits: limits that servers have advertised.
        limiter: enforces them over all routers.
        lines: log for refusals.
    """

    limits: server_limits.ServerLimits
    limiter: limiters.Limiter
    lines: log_lines.Lines

    async def acquire(
        self, backend: backends.Backend, request: str = ""
    ) -> Permit:
        """Acquires a permit for one call, if the server's limit has room.

        A refusal for a limit that changed or ended during the wait doesn't
        count.

        Args:
            backend: the server.
            request: id of the client's request, or "" for an internal call.
        """
        server = backend.registration.incarnation
        while True:
            per_second = self.limits.get(server)
            if per_second is None:
                return Permit(granted=True)
            if clocks.now() < backend.limited_until:
                return Permit(granted=False)
            charge, answer = await self._acquire_charge(server, per_second)
            if answer.decision.granted:
                return Permit(granted=True, charge=charge)
            if self.limits.get(server) == per_second:
                self._refused(backend, answer, per_second, request)
                return Permit(granted=False)

    async def _acquire_charge(
        self, server: str, per_second: float
    ) -> tuple[charges.Charge, limiters.AcquireResult]:
        """Requests one call within a limit; returns the charge and answer."""
        charge = charges.Charge(
            limiter=self.limiter,
            organisation=ledgers.SERVER_PREFIX + server,
            limit=ledgers.server_limit(
                per_second, self.limits.advertised[server].received_at
            ),
            cost=1.0,
        )
        return charge, await charge.acquire()

    def is_missing(self, backend: backends.Backend, permit: Permit) -> bool:
        """Returns whether a server advertised a limit after the permit."""
        limit = self.limits.get(backend.registration.incarnation)
        return limit is not None and permit.charge is None

    def _refused(
        self,
        backend: backends.Backend,
        answer: limiters.AcquireResult,
        per_second: float,
        request: str,
    ) -> None:
        wait = wait_seconds(answer)
        backend.limited_until = max(backend.limited_until, clocks.now() + wait)
        self.lines.counters.decided("server_limit", "no room")
        self.lines.write(
            "server_limited",
            request=request,
            server=backend.registration.incarnation,
            per_second=per_second,
            left=round(answer.decision.left, 2),
            share=round(answer.decision.share, 3),
            owner=answer.owner,
            answer_ms=round(1000 * answer.seconds, 1),
            wait_s=round(wait, 3),
        )


def wait_seconds(answer: limiters.AcquireResult) -> float:
    """Returns how long no permit is requested after a refusal."""
    if not charges.is_known(answer):
        return UNKNOWN_WAIT_SECONDS
    wait = answer.decision.wait_seconds
    if wait is None:
        wait = ledgers.SERVER_BOUNDS.longest_wait_seconds
    return max(MIN_WAIT_SECONDS, wait)
