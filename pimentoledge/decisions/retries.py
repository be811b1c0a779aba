"""When an entry tries a request again, and when it gives up.

A pure policy: what is known of a request and the newest failure go in, one
step comes out. What can't succeed is given its final answer at once.
"""

import attrs

from pimentoledge import results

# Attempts that an engine may have run, over the life of one request.
MAX_ATTEMPTS = 4
# Refusals with a corrected truth that one request follows for nothing.
MAX_REDIRECTS = 6
# Of these, refusals for load: a full cluster isn't asked all over.
MAX_LOAD_REDIRECTS = 2
# Times that one request waits for another suspect to be done.
MAX_SUSPECT_WAITS = 64
# Times that a request which lost its server waits for any to come back: some
# four seconds in all.
MAX_NO_SERVER_WAITS = 10
FIRST_DELAY = 0.02
MAX_DELAY = 0.5
# Least time before the deadline in which an attempt makes sense.
MIN_SECONDS_LEFT = 0.01
DEFAULT_RETRY_AFTER = 1.0


class RetryBudget:
    """Keeps retries a small share of an entry's traffic.

    Each new request puts `ratio` tokens in and each retry takes one out, so
    that over any long time retries are at most that share of requests, plus
    a constant `minimum` a second that lets a quiet entry retry at all.

    Attributes:
        ratio: retries allowed for each request.
        minimum: retries a second allowed besides.
        capacity: most tokens kept, which bounds a burst of retries.
        tokens: retries allowed now.
        requests: requests seen.
        retries: retries allowed so far.
        denied: retries not allowed so far.
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
        """Notes a new request."""
        self._refill(now)
        self.requests += 1
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def try_acquire(self, now: float) -> bool:
        """Takes one retry, if there is one."""
        self._refill(now)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.retries += 1
        return True

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            gained = (now - self.refilled_at) * self.minimum
            self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_at = now


@attrs.define(kw_only=True)
class AttemptState:
    """What an entry knows of one request when an attempt fails.

    Attributes:
        repeatable: whether it may run more than once.
        deadline: when its answer is due.
        streamed: tokens already given to the caller.
        continuable: whether another runner may go on behind them.
        attempts: attempts that a server may have run, with the failed one.
        redirects: refusals followed for nothing.
        load_redirects: those of them for load.
        suspect_waits: waits because another request with the same suspect
            content was running.
        no_server_waits: waits for a server to become usable, after its own
            server was lost.
        avoid: servers not to be tried again.
        ran: worst of what the attempts so far say about having run.
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
    """The server said that it did not and will not run the attempt.

    Attributes:
        server: which server.
        code: its reason.
        retry_after: its advice in seconds; 0 for none.
    """

    server: str
    code: results.Code
    retry_after: float = 0.0


@attrs.define(kw_only=True)
class Broken:
    """The attempt was admitted, or may have been, and won't be answered.

    Attributes:
        server: which server.
        code: ENGINE_DIED, SERVICE_FAILED, AGENT_UNREACHABLE, ...
        ran: what is known of it having run.
    """

    server: str
    code: results.Code
    ran: results.Ran


@attrs.define(kw_only=True)
class NoCandidate:
    """No server is left that the attempt could be sent to.

    Attributes:
        code: why.
        retry_after: advice in seconds; 0 for none.
    """

    code: results.Code = results.Code.NO_SERVER
    retry_after: float = 0.0


Failure = NotRun | Broken | NoCandidate


@attrs.define(kw_only=True)
class Retry:
    """Try again.

    Attributes:
        avoid: servers not to choose.
        delay: seconds to wait before.
    """

    avoid: set[str]
    delay: float = 0.0


@attrs.define(kw_only=True)
class GiveUp:
    """Give the caller this answer at once."""

    error: results.Error


# The server stays a good choice once the entry's hint is corrected.
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
    """Decides what follows a failed attempt, and notes it in the state.

    Args:
        attempt: the request's state; changed.
        failure: what happened to the newest attempt.
        budget: the entry's retry budget; a retry takes from it.
        now: the time.

    Returns:
        Retry or GiveUp; the error's `ran` is true over all attempts.
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
    # In a small pool a request can have been on each server that died in
    # the last second. They come back soon; giving up would break streams
    # that were half told. One that has not run is better sent again.
    lost = attempt.repeatable and attempt.ran != results.Ran.NOT_RUN
    if not lost or attempt.no_server_waits >= MAX_NO_SERVER_WAITS:
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
        # Asked again at once it would be refused again: the entry has yet
        # to hear of the change.
        delay = _delay(attempt.redirects)
    if not _count_redirect(attempt, failure.code) and not budget.try_acquire(
        now
    ):
        return _give_up(attempt, failure.code, failure.retry_after)
    if attempt.redirects > MAX_REDIRECTS + MAX_ATTEMPTS:
        return _give_up(attempt, failure.code, failure.retry_after)
    return _retry_in_time(attempt, failure.code, delay, now)


def _count_redirect(attempt: AttemptState, code: results.Code) -> bool:
    """Counts a refusal; returns whether following it costs no budget."""
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
        # A second run would be a second order. Nothing that comes later
        # can show that the first had no effect.
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
    # A refusal's code says "not run"; that would be false of a request that
    # an earlier attempt had brought into an engine.
    ran = attempt.ran if code != results.Code.POISON else results.Ran.RAN
    error = results.Error(
        code=code, ran=ran, retry_after=retry_after or DEFAULT_RETRY_AFTER
    )
    return GiveUp(error=error)


def _worse(one: results.Ran, other: results.Ran) -> results.Ran:
    order = (results.Ran.NOT_RUN, results.Ran.UNKNOWN, results.Ran.RAN)
    return max(one, other, key=order.index)
