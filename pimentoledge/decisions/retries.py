"""The retry policy of an entry.

The policy has no side effects beyond its arguments: from a request's state
and its newest failure it computes either a retry or a final error. A request
that can't succeed gets its final error at once.
"""

import attrs

from pimentoledge import results

# Maximum number of attempts per request that an engine may have run.
MAX_ATTEMPTS = 4
# Refused attempts per request that are retried without using the budget. Each
# refusal carries the server's current state.
MAX_REDIRECTS = 6
# Maximum of these for refusals because of load, so that in a full cluster a
# request isn't sent to every server.
MAX_LOAD_REDIRECTS = 2
# Times that a suspect request waits until another suspect request has ended.
MAX_SUSPECT_WAITS = 64
# Times that a request which lost its server waits for a usable one, about
# four seconds in total.
MAX_NO_SERVER_WAITS = 10
FIRST_DELAY = 0.02
MAX_DELAY = 0.5
# An attempt with less time than this before the deadline is not started.
MIN_SECONDS_LEFT = 0.01
DEFAULT_RETRY_AFTER = 1.0


class RetryBudget:
    """Token bucket that limits retries to a small share of the traffic.

    Each new request adds `ratio` tokens and each retry removes one. In the
    long run retries are therefore at most that share of the requests, plus
    `minimum` per second, which allows retries at an entry with little traffic.

    Attributes:
        ratio: tokens added per request.
        minimum: tokens added per second.
        capacity: maximum number of tokens, which bounds a burst of retries.
        tokens: retries currently allowed.
        refilled_at: time of the last refill; None before the first.
        requests: number of requests recorded.
        retries: number of retries granted.
        denied: number of retries denied.
    """

    def __init__(
        self,
        *,
        ratio: float = 0.1,
        minimum: float = 0.5,
        capacity: float = 20.0,
    ):
        self.ratio = ratio
        self.minimum = minimum
        self.capacity = capacity
        self.tokens = capacity
        self.refilled_at: float | None = None
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def record_request(self, now: float) -> None:
        """Records a new request, which adds `ratio` tokens."""
        self._refill(now)
        self.requests += 1
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_acquire(self, now: float) -> bool:
        """Removes a token for a retry; returns whether there was one."""
        self._refill(now)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.retries += 1
        return True

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            added = (now - self.refilled_at) * self.minimum
            self.tokens = min(self.capacity, self.tokens + added)
        self.refilled_at = now


@attrs.define(kw_only=True)
class AttemptState:
    """The retry state of one request over its attempts.

    Attributes:
        repeatable: whether the request may run more than once.
        deadline: time by which the answer is due.
        streamed: tokens already sent to the caller.
        continuable: whether another runner can continue after these tokens.
        attempts: attempts that a server may have run, including the failed
            one.
        redirects: refused attempts so far.
        load_redirects: those of them refused because of load.
        suspect_waits: waits because another suspect request was running.
        no_server_waits: waits for a server to become usable, after its own
            server was lost.
        avoid: names of servers that must not be tried again.
        ran: worst outcome of the attempts so far: RAN before UNKNOWN before
            NOT_RUN.
    """

    repeatable: bool = True
    deadline: float
    streamed: int = 0
    continuable: bool = True
    attempts: int = 0
    redirects: int = 0
    load_redirects: int = 0
    suspect_waits: int = 0
    no_server_waits: int = 0
    avoid: set[str] = attrs.field(factory=set)
    ran: results.Ran = results.Ran.NOT_RUN


@attrs.define(kw_only=True)
class NotRun:
    """The attempt was not run and will not be run by this server.

    Attributes:
        server: server name.
        code: reason of the refusal.
        retry_after: the server's suggested delay in seconds; 0 for none.
    """

    server: str
    code: results.Code
    retry_after: float = 0.0


@attrs.define(kw_only=True)
class Broken:
    """The attempt was or may have been admitted and won't be answered.

    Attributes:
        server: server name.
        code: ENGINE_DIED, SERVICE_FAILED, AGENT_UNREACHABLE, ...
        ran: whether the attempt ran, as far as known.
    """

    server: str
    code: results.Code
    ran: results.Ran


@attrs.define(kw_only=True)
class NoCandidate:
    """No usable server is left for the attempt.

    Attributes:
        code: reason.
        retry_after: suggested delay in seconds; 0 for none.
    """

    code: results.Code = results.Code.NO_SERVER
    retry_after: float = 0.0


Failure = NotRun | Broken | NoCandidate


@attrs.define(kw_only=True)
class Retry:
    """Start another attempt.

    Attributes:
        avoid: names of servers that must not be chosen.
        delay: seconds to wait before the attempt.
    """

    avoid: set[str]
    delay: float = 0.0


@attrs.define(kw_only=True)
class GiveUp:
    """End the request with this error."""

    error: results.Error


# After these refusals the same server may be chosen again, since only the
# entry's cached state was out of date.
_SAME_SERVER_CODES = frozenset(
    {
        results.Code.STALE_INCARNATION,
        results.Code.STALE_WEIGHTS,
        results.Code.STALE_CONFIGURATION,
    }
)
_LOAD_CODES = frozenset(
    {results.Code.OVERLOADED, results.Code.DEADLINE_UNMEETABLE}
)


def next_step(
    attempt: AttemptState, failure: Failure, budget: RetryBudget, now: float
) -> Retry | GiveUp:
    """Decides whether a request is retried after a failed attempt.

    Args:
        attempt: the request's retry state; it is updated.
        failure: the failure of the newest attempt.
        budget: the entry's retry budget; a retry may use a token.
        now: current time.

    Returns:
        Retry or GiveUp; the error's `ran` covers all attempts.
    """
    match failure:
        case NotRun():
            return _after_refusal(attempt, failure, budget, now)
        case Broken():
            return _after_broken(attempt, failure, budget, now)
        case NoCandidate():
            return _after_no_candidate(attempt, failure, now)


def _after_no_candidate(
    attempt: AttemptState, failure: NoCandidate, now: float
) -> Retry | GiveUp:
    # In a small pool a request may have run on each of several servers that
    # crashed within a second. They usually restart soon, and giving up would
    # break streams that are partly delivered. A request that has not run gets
    # an error at once, because its caller can safely send it again.
    can_wait = attempt.repeatable and attempt.ran != results.Ran.NOT_RUN
    if not can_wait or attempt.no_server_waits >= MAX_NO_SERVER_WAITS:
        return _give_up(attempt, failure.code, failure.retry_after)
    attempt.no_server_waits += 1
    attempt.avoid.clear()
    return _retry_in_time(
        attempt, failure.code, _delay(attempt.no_server_waits), now
    )


def _after_refusal(
    attempt: AttemptState, failure: NotRun, budget: RetryBudget, now: float
) -> Retry | GiveUp:
    if failure.code == results.Code.POISON:
        attempt.ran = results.Ran.RAN
        return _give_up(attempt, failure.code, failure.retry_after)
    if failure.code == results.Code.SUSPECT_BUSY:
        attempt.suspect_waits += 1
        if attempt.suspect_waits > MAX_SUSPECT_WAITS:
            return _give_up(attempt, failure.code, failure.retry_after)
        return _retry_in_time(
            attempt, failure.code, _delay(attempt.suspect_waits), now
        )
    if failure.code not in _SAME_SERVER_CODES:
        attempt.avoid.add(failure.server)
    delay = 0.0
    if failure.code == results.Code.STALE_CONFIGURATION:
        # An immediate retry would be refused again, because the entry has
        # not received the new configuration yet.
        delay = _delay(attempt.redirects)
    if not _count_redirect(attempt, failure.code) and not budget.try_acquire(
        now
    ):
        return _give_up(attempt, failure.code, failure.retry_after)
    if attempt.redirects > MAX_REDIRECTS + MAX_ATTEMPTS:
        return _give_up(attempt, failure.code, failure.retry_after)
    return _retry_in_time(attempt, failure.code, delay, now)


def _count_redirect(attempt: AttemptState, code: results.Code) -> bool:
    """Counts a refusal; returns whether its retry needs no budget."""
    attempt.redirects += 1
    if code not in _LOAD_CODES:
        return attempt.redirects <= MAX_REDIRECTS
    attempt.load_redirects += 1
    return (
        attempt.redirects <= MAX_REDIRECTS
        and attempt.load_redirects <= MAX_LOAD_REDIRECTS
    )


def _after_broken(
    attempt: AttemptState, failure: Broken, budget: RetryBudget, now: float
) -> Retry | GiveUp:
    attempt.avoid.add(failure.server)
    attempt.attempts += 1
    attempt.ran = _worse(attempt.ran, failure.ran)
    if not attempt.repeatable and failure.ran != results.Ran.NOT_RUN:
        # A second run would repeat the call's side effects, and no later
        # message can prove that the first run had none.
        return _give_up(attempt, results.Code.OUTCOME_UNKNOWN, 0.0)
    if attempt.streamed and not attempt.continuable:
        return _give_up(attempt, results.Code.STREAM_BROKEN, 0.0)
    code = failure.code
    if attempt.streamed:
        code = results.Code.STREAM_BROKEN
    if attempt.attempts >= MAX_ATTEMPTS:
        return _give_up(attempt, code, 0.0)
    delay = 0.0 if attempt.attempts == 1 else _delay(attempt.attempts)
    if (
        now + delay + MIN_SECONDS_LEFT >= attempt.deadline
        or not budget.try_acquire(now)
    ):
        return _give_up(attempt, code, 0.0)
    return Retry(avoid=set(attempt.avoid), delay=delay)


def _retry_in_time(
    attempt: AttemptState, code: results.Code, delay: float, now: float
) -> Retry | GiveUp:
    if now + delay + MIN_SECONDS_LEFT >= attempt.deadline:
        return _give_up(attempt, code, delay)
    return Retry(avoid=set(attempt.avoid), delay=delay)


def _delay(count: int) -> float:
    return min(MAX_DELAY, FIRST_DELAY * 2**count)


def _give_up(
    attempt: AttemptState, code: results.Code, retry_after: float
) -> GiveUp:
    if attempt.streamed:
        code = results.Code.STREAM_BROKEN
        attempt.ran = results.Ran.RAN
    # The code of a refusal implies "not run", which would be wrong for a
    # request that ran in an earlier attempt.
    ran = attempt.ran if code != results.Code.POISON else results.Ran.RAN
    error = results.Error(
        code=code, ran=ran, retry_after=retry_after or DEFAULT_RETRY_AFTER
    )
    return GiveUp(error=error)


def _worse(one: results.Ran, other: results.Ran) -> results.Ran:
    order = (results.Ran.NOT_RUN, results.Ran.UNKNOWN, results.Ran.RAN)
    return max(one, other, key=order.index)
