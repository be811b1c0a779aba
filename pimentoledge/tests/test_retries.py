"""Retries: what is tried again, and what is answered at once."""

import pytest

from pimentoledge import results
from pimentoledge.decisions import retries

Code = results.Code
Ran = results.Ran


def state(**changes):
    return retries.AttemptState(**{"deadline": 60.0, **changes})


def refused(code, server="r1"):
    return retries.NotRun(server=server, code=code, retry_after=0.5)


def broken(code=Code.ENGINE_DIED, ran=Ran.RAN, server="r1"):
    return retries.Broken(server=server, code=code, ran=ran)


def step(attempt, failure, budget=None, now=0.0):
    budget = budget or retries.RetryBudget()
    return retries.next_step(attempt, failure, budget, now)


def test_engine_death_goes_to_another_server():
    again = step(state(), broken())
    assert again == retries.Retry(avoid={"r1"}, delay=0.0)


@pytest.mark.parametrize("ran", [Ran.RAN, Ran.UNKNOWN])
def test_order_is_never_sent_twice(ran):
    """Two mechanics would strip the same wheel.

    The call went out, the agent vanished; nobody knows whether it ran. The
    caller hears just that; only an explicit "not run" lets it go again.
    """
    end = step(state(repeatable=False), broken(Code.AGENT_UNREACHABLE, ran))
    assert end.error.code == Code.OUTCOME_UNKNOWN
    assert end.error.outcome() != Ran.NOT_RUN
    again = step(state(repeatable=False), refused(Code.SERVER_LEAVING))
    assert again.avoid == {"r1"}


def test_refusal_after_a_run_does_not_say_not_run():
    """The caller would send it again, and it would run twice.

    The first attempt died with its engine; the second was refused for load,
    whose code alone means "not run".
    """
    attempt = state()
    budget = retries.RetryBudget(capacity=1.0, minimum=0.0)
    step(attempt, broken(), budget)
    for server in ("r2", "r3"):
        step(attempt, refused(Code.OVERLOADED, server), budget)
    end = step(attempt, refused(Code.OVERLOADED, "r4"), budget)
    assert end.error.code == Code.OVERLOADED
    assert end.error.outcome() == Ran.RAN
    assert end.error.retry_after == 0.5


def test_redirects_are_free_but_bounded():
    attempt = state()
    budget = retries.RetryBudget(capacity=1.0, minimum=0.0)
    steps = 0
    while isinstance(
        step(attempt, refused(Code.STALE_INCARNATION), budget), retries.Retry
    ):
        steps += 1
    assert steps == retries.MAX_REDIRECTS + 1
    assert budget.retries == 1


def test_suspect_waits_for_its_server():
    attempt = state()
    first = step(attempt, refused(Code.SUSPECT_BUSY))
    second = step(attempt, refused(Code.SUSPECT_BUSY))
    assert first.avoid == set()
    assert 0 < first.delay < second.delay


def test_gives_up_at_once_when_no_time_or_budget_is_left():
    late = step(state(deadline=1.0), broken(), now=0.995)
    assert late.error.code == Code.ENGINE_DIED
    assert late.error.retry_after > 0
    empty = retries.RetryBudget(capacity=0.0, minimum=0.0)
    assert step(state(), broken(), empty).error.retry_after > 0


def test_request_that_lost_its_server_waits_for_one_to_come_back():
    """Both runners of a small pool died within a second.

    A new request is answered at once; one whose stream was half told waits
    some seconds, and no longer.
    """
    new = step(state(), retries.NoCandidate())
    assert new.error.outcome() == Ran.NOT_RUN
    attempt = state(streamed=3)
    step(attempt, broken())
    waited = 0.0
    while isinstance(
        again := step(attempt, retries.NoCandidate()), retries.Retry
    ):
        assert again.avoid == set()
        waited += again.delay
    assert 2.0 < waited < 6.0
    assert again.error.code == Code.STREAM_BROKEN


def test_broken_stream_is_continued_or_says_so():
    assert isinstance(step(state(streamed=3), broken()), retries.Retry)
    end = step(state(streamed=3, continuable=False), broken())
    assert end.error.code == Code.STREAM_BROKEN


def test_budget_bounds_a_retry_storm():
    """A sick cluster must not be buried under retries.

    Every attempt of 10,000 requests fails within 100 s.
    """
    budget = retries.RetryBudget(ratio=0.1, minimum=0.5, capacity=20.0)
    for number in range(10_000):
        now = number / 100
        budget.record_request(now)
        attempt = state(deadline=now + 60)
        while isinstance(step(attempt, broken(), budget, now), retries.Retry):
            pass
    assert budget.retries <= 0.1 * 10_000 + 0.5 * 100 + 20
