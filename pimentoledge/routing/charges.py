"""Grants of a limit that one request has acquired."""

import asyncio

from pimentoledge.routing import clocks
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters

# A refusal by a ledger with a smaller part of all rights than this does not
# mean that the limit is used up.
KNOWN_SHARE = 0.5


class Charge:
    """A request's grants of a limit: one for each time that it may have run.

    Attributes:
        limiter: acquires the grants.
        organisation: organisation of the request, or the name of a server's
            limit.
        limit: the limit that this router has cached.
        cost: cost of one run, in the limit's unit.
        owners: mailboxes of the routers that granted it, one for each grant.
    """

    def __init__(
        self,
        *,
        limiter: limiters.Limiter,
        organisation: str,
        limit: ledgers.Limit,
        cost: float,
    ):
        self.limiter = limiter
        self.organisation = organisation
        self.limit = limit
        self.cost = cost
        self.owners: list[str] = []

    async def acquire(self) -> limiters.AcquireResult:
        """Acquires the cost of one run."""
        future = asyncio.get_running_loop().create_future()
        number = self.limiter.acquire(
            self.organisation,
            self.limit,
            self.cost,
            clocks.now(),
            lambda answer: self._decided(answer, future),
        )
        try:
            return await future
        except asyncio.CancelledError:
            self.limiter.cancel(number)
            raise

    def _decided(
        self, answer: limiters.AcquireResult, future: asyncio.Future
    ) -> None:
        granted = answer.decision.granted
        if granted and not future.done():
            self.owners.append(answer.owner)
        elif granted:
            self._give_back(answer.owner)
        if not future.done():
            future.set_result(answer)

    def _give_back(self, owner: str) -> None:
        self.limiter.give_back(
            self.organisation, self.cost, owner, clocks.now()
        )

    def settle(self, runs: int) -> None:
        """Gives back the grants for runs that did not take place."""
        while len(self.owners) > runs:
            self._give_back(self.owners.pop())


def is_known(answer: limiters.AcquireResult) -> bool:
    """Returns whether a refusal means that the limit is used up."""
    return answer.decision.share >= KNOWN_SHARE
