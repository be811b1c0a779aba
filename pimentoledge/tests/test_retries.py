"""Tests of decisions.retries: which failures are retried and which end."""

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


def test_engine_crash_is_retried_on_another_server():
    decision = step(state(), broken())
    assert decision == retries.Retry(avoid={"r1"}, delay=0.0)


@pytest.mark.parametrize("ran", [Ran.RAN, Ran.UNKNOWN])
def test_non_repeatable_call_is_not_retried_unless_not_run(ran):
    """A call with side effects runs twice.

    The agent becomes unreachable after the call was sent, so it is unknown
    whether it ran. The caller gets that error; the call is retried only after
    an explicit "not run".
    """
    end = step(state(repeatable=False), broken(Code.AGENT_UNREACHABLE, ran))
    assert end.error.code == Code.OUTCOME_UNKNOWN
    assert end.error.outcome() != Ran.NOT_RUN
    retry = step(state(repeatable=False), refused(Code.SERVER_LEAVING))
    assert retry.avoid == {"r1"}


def test_refusal_after_a_run_does_not_report_not_run():
    """The caller sends a request again that has already run.

    The first attempt ran in an engine that crashed; later attempts are
    refused because of load, a code that implies "not run" by itself.
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


def test_redirects_use_no_budget_up_to_a_limit():
    attempt = state()
    budget = retries.RetryBudget(capacity=1.0, minimum=0.0)
    steps = 0
    while isinstance(
        step(attempt, refused(Code.STALE_INCARNATION), budget), retries.Retry
    ):
        steps += 1
    assert steps == retries.MAX_REDIRECTS + 1
    assert budget.retries == 1


def test_suspect_waits_with_growing_delay_for_its_server():
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


def test_request_that_lost_its_server_waits_a_limited_time():
    """Both runners of a small pool crash within a second.

    A new request gets an error at once. A request with a partly delivered
    stream waits a few seconds for a server and then fails.
    """
    new = step(state(), retries.NoCandidate())
    assert new.error.outcome() == Ran.NOT_RUN
    attempt = state(streamed=3)
    step(attempt, broken())
    waited = 0.0
    while isinstance(
        decision := step(attempt, retries.NoCandidate()), retries.Retry
    ):
        assert decision.avoid == set()
        waited += decision.delay
    assert 2.0 < waited < 6.0
    assert decision.error.code == Code.STREAM_BROKEN


def test_broken_stream_is_continued_or_ends_with_stream_broken():
    assert isinstance(step(state(streamed=3), broken()), retries.Retry)
    end = step(state(streamed=3, continuable=False), broken())
    assert end.error.code == Code.STREAM_BROKEN


def test_budget_limits_a_retry_storm():
    """Retries overload a cluster that already fails.

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
