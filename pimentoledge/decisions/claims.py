"""At-most-once execution of calls with an idempotency key, in the agent.

An agent runs a non-repeatable call only after a claim record that holds this
life of the agent is durable in the store. Only the life in the record may
ever run the call, so its report that a call was not started stays true. One
conditional update of a shard writes many claims and outcomes at once.
"""

import itertools
import random

from pimentoledge import results
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import claim_shards
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages

Output = claim_shards.Output


class Claims:
    """All claims of one life of an agent.

    Attributes:
        agent: the agent's name.
        life: id of this life of the agent's process; never reused.
        limits: bounds and intervals.
        random: source of jitter.
        counter: source of numbers for the claims and store calls of this
            life.
        shards: shards in memory by their path in the store, least recently
            used first.
        wakes: when `step` of a shard is due, by path. Idle shards have no
            entry, so that shards that are only cached cost nothing.
    """

    def __init__(
        self,
        *,
        agent: str,
        life: str,
        seed: int,
        limits: claim_shards.ClaimBounds | None = None,
    ):
        self.agent = agent
        self.life = life
        self.limits = limits or claim_shards.ClaimBounds()
        self.random = random.Random(seed)
        self.counter = itertools.count(1)
        self.shards: dict[str, claim_shards.ShardClaims] = {}
        self.wakes: dict[str, float] = {}

    def claim(
        self,
        dispatch: messages.Dispatch,
        *,
        serves: str,
        outcome_seconds: float,
        now: float,
    ) -> list[Output]:
        """Claims a call; the verdict is returned now or by a later event.

        Args:
            dispatch: the call; its key must not be empty.
            serves: the model or service that this agent's server serves.
            outcome_seconds: how long the call's answer is kept.
            now: monotonic time in seconds.
        """
        shard_number = claim_records.shard_of(
            dispatch.organisation, dispatch.key
        )
        path = claim_records.path_of(serves, shard_number)
        shard = self._get_shard(path)
        if shard is None:
            return [
                claim_verdicts.deny(
                    dispatch.request,
                    dispatch.attempt,
                    results.Code.OVERLOADED,
                )
            ]
        return self._update_wake(
            shard, shard.claim(dispatch, outcome_seconds, now)
        )

    def answer(self, answer: stores.StoreAnswer, now: float) -> list[Output]:
        """Handles the store's answer to one of its calls."""
        shard = self.shards.get(claim_shards.path_of_call(answer.call))
        if shard is None:
            return []
        return self._update_wake(shard, shard.answer(answer, now))

    def owns(self, call: str) -> bool:
        """Returns whether the id of a store call belongs to a claim shard."""
        return call.startswith(claim_records.PATH)

    def finished(
        self,
        request: str,
        *,
        answer: claim_records.StoredAnswer | None,
        now: float,
    ) -> list[Output]:
        """Records the answer of a granted call; None if it is too long."""
        for shard in self.shards.values():
            if shard.holds(request):
                return self._update_wake(
                    shard, shard.finished(request, answer, now)
                )
        return []

    def failed(
        self, request: str, ran: results.Ran, now: float
    ) -> list[Output]:
        """Records the end of a call that has no answer.

        Also for a granted call that this agent decided not to start, and for
        a call whose client disconnected before the grant.

        Args:
            request: the request id.
            ran: NOT_RUN, only if the call certainly never reached the
                server, frees the key for another attempt, which a Released
                verdict reports. Any other value leaves the key claimed.
            now: monotonic time in seconds.
        """
        for shard in self.shards.values():
            if shard.holds(request):
                return self._update_wake(shard, shard.failed(request, ran, now))
        return []

    def tick(self, now: float) -> list[Output]:
        """Runs the shards that are due."""
        outputs = []
        due = [path for path, wake in self.wakes.items() if wake <= now]
        for path in due:
            shard = self.shards[path]
            outputs += self._update_wake(shard, shard.step(now))
        return outputs

    def next_wake(self) -> float | None:
        """Returns when `tick` is due next; None if never."""
        return min(self.wakes.values(), default=None)

    def held(self) -> int:
        """Returns the number of unsettled claims; must be 0 before an exit."""
        return sum(len(shard.unsettled) for shard in list(self.shards.values()))

    def largest(self) -> int:
        """Returns the size in bytes of the largest shard in memory."""
        # Called from another thread; `list` copies the values atomically.
        bases = [shard.base for shard in list(self.shards.values())]
        return max((b.size() for b in bases if b is not None), default=0)

    def _update_wake(
        self, shard: claim_shards.ShardClaims, outputs: list[Output]
    ) -> list[Output]:
        """Updates a shard's wake time and returns its outputs unchanged."""
        wake = shard.next_wake()
        if wake is None:
            self.wakes.pop(shard.path, None)
        else:
            self.wakes[shard.path] = wake
        return outputs

    def _get_shard(self, path: str) -> claim_shards.ShardClaims | None:
        """Returns a shard, or None if the limit of shards is reached."""
        shard = self.shards.pop(path, None) or self._create_shard(path)
        if shard is not None:
            self.shards[path] = shard
        return shard

    def _create_shard(self, path: str) -> claim_shards.ShardClaims | None:
        if len(self.shards) >= self.limits.shards:
            idle = [key for key, each in self.shards.items() if each.idle()]
            if not idle:
                return None
            del self.shards[idle[0]]
        return claim_shards.ShardClaims(
            path=path,
            life=self.life,
            limits=self.limits,
            counter=self.counter,
            seed=self.random.getrandbits(64),
        )
