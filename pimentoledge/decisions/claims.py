"""At most one run for each idempotency key: the agent's part.

An agent runs a call that may not be repeated only after a record of it,
naming this life of this agent, is durable in the store. Only the life that a
record names may ever run the call, so everything that life says of a call
that it did not start stays true. Many claims and outcomes go into the store
with one conditional update of their shard.
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
    """All claims of one agent's life.

    Attributes:
        agent: the agent's name.
        life: this life of the agent's process; never used again.
        limits: bounds and intervals.
        random: source of jitter.
        counter: numbers the claims and store calls of this life.
        shards: shard machines by their path in the store, the one used
            last at the end.
        wakes: when `step` of a shard is due, by path; none for idle ones,
            so that shards that are only remembered cost nothing.
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
        """Claims a call; the verdict comes now or with a later event.

        Args:
            dispatch: the call; its key must not be empty.
            serves: the model or service that this agent's server serves.
            outcome_seconds: how long its answer shall be kept.
            now: the time, monotonic.
        """
        shard_number = claim_records.shard_of(
            dispatch.organisation, dispatch.key
        )
        path = claim_records.path_of(serves, shard_number)
        shard = self._shard(path)
        if shard is None:
            return [
                claim_verdicts.deny(
                    dispatch.request,
                    dispatch.attempt,
                    results.Code.OVERLOADED,
                )
            ]
        return self._note(shard, shard.claim(dispatch, outcome_seconds, now))

    def answer(self, answer: stores.StoreAnswer, now: float) -> list[Output]:
        """Takes the store's answer to a call of these claims."""
        shard = self.shards.get(claim_shards.path_of_call(answer.call))
        if shard is None:
            return []
        return self._note(shard, shard.answer(answer, now))

    def owns(self, call: str) -> bool:
        """Returns whether a store call's id is one of these claims'."""
        return call.startswith(claim_records.PATH)

    def finished(
        self,
        request: str,
        *,
        answer: claim_records.StoredAnswer | None,
        now: float,
    ) -> list[Output]:
        """Takes the whole answer of a granted call; None if it is too long."""
        for shard in self.shards.values():
            if shard.holds(request):
                return self._note(shard, shard.finished(request, answer, now))
        return []

    def failed(
        self, request: str, ran: results.Ran, now: float
    ) -> list[Output]:
        """Takes the end of a call that gave no answer.

        Also for a call that was granted, and that this agent then decided
        not to start, and for one whose caller went away before the grant.

        Args:
            request: the request.
            ran: NOT_RUN, only if it surely never reached the server, frees
                the key for another try, which Released tells; anything else
                keeps it for good.
            now: the time, monotonic.
        """
        for shard in self.shards.values():
            if shard.holds(request):
                return self._note(shard, shard.failed(request, ran, now))
        return []

    def tick(self, now: float) -> list[Output]:
        """Does what is due."""
        outputs = []
        due = [path for path, wake in self.wakes.items() if wake <= now]
        for path in due:
            shard = self.shards[path]
            outputs += self._note(shard, shard.step(now))
        return outputs

    def next_wake(self) -> float | None:
        """Returns when `tick` is due next; None for no need."""
        return min(self.wakes.values(), default=None)

    def held(self) -> int:
        """Returns the claims not settled in the store; 0 before an exit."""
        return sum(len(shard.unsettled) for shard in list(self.shards.values()))

    def largest(self) -> int:
        """Returns the size of the largest shard held here, in bytes."""
        # Another thread asks; a copy of the list is taken in one step.
        bases = [each.base for each in list(self.shards.values())]
        return max((b.size() for b in bases if b is not None), default=0)

    def _note(
        self, shard: claim_shards.ShardClaims, outputs: list[Output]
    ) -> list[Output]:
        """Notes when a shard that has just done something is due next."""
        wake = shard.next_wake()
        if wake is None:
            self.wakes.pop(shard.path, None)
        else:
            self.wakes[shard.path] = wake
        return outputs

    def _shard(self, path: str) -> claim_shards.ShardClaims | None:
        """Returns a shard, or None if no more can be held."""
        shard = self.shards.pop(path, None) or self._load(path)
        if shard is not None:
            self.shards[path] = shard
        return shard

    def _load(self, path: str) -> claim_shards.ShardClaims | None:
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
