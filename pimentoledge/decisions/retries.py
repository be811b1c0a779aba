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
MAX_WAITS = 64
# Times that a request which lost its server waits for any to come back: some
# four seconds in all.
MAX_EMPTY = 10
FIRST_DELAY = 0.02
MAX_DELAY = 0.5
# Least time before the deadline in which an attempt makes sense.
MIN_LEFT = 0.01
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
        self.filled: float | None = None
        self.requests = 0
        self.retries = 0
        self.denied = 0

    def request(self, now: float) -> None:
        """Notes a new request."""
        self._fill(now)
        self.requests += 1
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Takes one retry, if there is one."""
        self._fill(now)
        if self.tokens < 1.0:
            self.denied += 1
            return False
        self.tokens -= 1.0
        self.retries += 1
        return True

    def _fill(self, now: float) -> None:
        if self.filled is not None:
            gained = (now - self.filled) * self.minimum
            self.tokens = min(self.capacity, self.tokens + gained)
        self.filled = now


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
        waits: times it was sent away because another suspect was tried.
        empty: times that it found no server after it had lost its own.
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
    waits: int = 0
    empty: int = 0
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
_SAME_SERVER = frozenset(
    {
        results.Code.STALE_INCARNATION,
        results.Code.STALE_WEIGHTS,
        results.Code.STALE_CONFIGURATION,
    }
)
_LOAD = frozenset({results.Code.OVERLOADED, results.Code.DEADLINE_UNMEETABLE})


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
            return _after_break(attempt, failure, budget, now)
        case NoCandidate():
            return _after_none(attempt, failure, now)


def _after_none(
    attempt: AttemptState, failure: NoCandidate, now: float
) -> Retry | GiveUp:
    # In a small pool a request can have been on each server that died in
    # the last second. They come back soon; giving up would break streams
    # that were half told. One that has not run is better sent again.
    lost = attempt.repeatable and attempt.ran != results.Ran.NOT_RUN
    if not lost or attempt.empty >= MAX_EMPTY:
        return _give_up(attempt, failure.code, failure.retry_after)
    attempt.empty += 1
    attempt.avoid.clear()
    return _again(attempt, failure.code, _delay(attempt.empty), now)


def _after_refusal(
    attempt: AttemptState, failure: NotRun, budget: RetryBudget, now: float
) -> Retry | GiveUp:
    if failure.code == results.Code.POISON:
        attempt.ran = results.Ran.RAN
        return _give_up(attempt, failure.code, failure.retry_after)
    if failure.code == results.Code.SUSPECT_BUSY:
        attempt.waits += 1
        if attempt.waits > MAX_WAITS:
            return _give_up(attempt, failure.code, failure.retry_after)
        return _again(attempt, failure.code, _delay(attempt.waits), now)
    if failure.code not in _SAME_SERVER:
        attempt.avoid.add(failure.server)
    delay = 0.0
    if failure.code == results.Code.STALE_CONFIGURATION:
        # Asked again at once it would be refused again: the entry has yet
        # to hear of the change.
        delay = _delay(attempt.redirects)
    if not _redirect(attempt, failure.code) and not budget.take(now):
        return _give_up(attempt, failure.code, failure.retry_after)
    if attempt.redirects > MAX_REDIRECTS + MAX_ATTEMPTS:
        return _give_up(attempt, failure.code, failure.retry_after)
    return _again(attempt, failure.code, delay, now)


def _redirect(attempt: AttemptState, code: results.Code) -> bool:
    """Counts a refusal; returns whether following it costs no budget."""
    attempt.redirects += 1
    if code not in _LOAD:
        return attempt.redirects <= MAX_REDIRECTS
    attempt.load_redirects += 1
    return (
        attempt.redirects <= MAX_REDIRECTS
        and attempt.load_redirects <= MAX_LOAD_REDIRECTS
    )


def _after_break(
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
    if now + delay + MIN_LEFT >= attempt.deadline or not budget.take(now):
        return _give_up(attempt, code, 0.0)
    return Retry(avoid=set(attempt.avoid), delay=delay)


def _again(
    attempt: AttemptState, code: results.Code, delay: float, now: float
) -> Retry | GiveUp:
    if now + delay + MIN_LEFT >= attempt.deadline:
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
