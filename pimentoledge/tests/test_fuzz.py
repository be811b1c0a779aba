"""Runs a fixed set of fuzzing examples, and checks each oracle check.

Each mutation breaks the decisions, and the oracle must detect it.
"""

import hypothesis
import pytest

from pimentoledge.decisions import actions
from pimentoledge.tests.fuzz import machines
from pimentoledge.tests.fuzz import mutations
from pimentoledge.tests.fuzz import oracles

EXAMPLES = 25
STEPS = 40
NAMES = [each.name for each in mutations.MUTATIONS]

TestMachine = machines.Machine.TestCase
TestMachine.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    derandomize=True,
    deadline=None,
    # Shrinking a failure takes minutes; `make fuzz` does it instead.
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("mutation", mutations.MUTATIONS, ids=NAMES)
def test_the_scenario_passes(mutation):
    driver = machines.Driver(**mutation.sizes)
    mutation.scenario(driver)


@pytest.mark.parametrize("mutation", mutations.MUTATIONS, ids=NAMES)
def test_the_mutation_is_caught(mutation, monkeypatch):
    """Without its safeguard, a scenario must violate exactly its invariant."""
    mutation.apply(monkeypatch)
    driver = machines.Driver(**mutation.sizes)
    with pytest.raises(oracles.ViolationError) as caught:
        mutation.scenario(driver)
    assert caught.value.invariant == mutation.invariant


@pytest.mark.parametrize(
    ("apply", "again"),
    [(mutations.retry_calls, True), (mutations.skip_claim, False)],
)
def test_one_guard_of_a_call_is_enough(apply, again, monkeypatch):
    """Guards against calls that run twice if one safeguard fails.

    A service runs a call and its answer is lost. An entry that retries the
    call is refused by the first attempt's claim; without claims the entry
    doesn't retry. The call runs twice only without both safeguards.
    """
    apply(monkeypatch)
    driver = machines.Driver()
    mutations.lost_service_answer(driver)
    history = driver.oracle.history
    sent = [each for each in history if " -> Dispatch(" in each]
    assert (len(sent) > 1) is again
    assert sum(driver.oracle.key_run_counts.values()) == 1


def test_a_draining_agent_leaves_no_run_at_a_restarted_engine():
    """A draining agent ends while its engine still runs an attempt.

    The engine crashes and restarts after the agent submits the attempt and
    before the engine receives it, so that the new incarnation runs it. The
    agent takes the new incarnation for the death of an engine that ran the
    attempt: it fails the attempt as ENGINE_DIED and forgets it, but doesn't
    cancel it at the engine. It then reports idle and ends.
    """
    driver = machines.Driver(entry_count=1, runners=2, services=1)
    world = driver.world
    prompt = machines.prompt_of(0, 0)
    tracked = driver.complete(driver.entry(0), "acme", prompt)
    world.deliver_messages()
    (agent,) = [each for each in driver.busy() if not each.is_entry()]
    (submission,) = world.work
    assert isinstance(submission[1], actions.RunCompletion)
    agent.backend.crash(world.now)
    agent.backend.restart(world.now)
    world.drain(agent)
    world.settle(3.0)
    assert isinstance(tracked.ended, actions.ReplyEnd)


def test_each_invariant_has_a_mutation():
    caught = {each.invariant for each in mutations.MUTATIONS}
    assert caught == set(oracles.INVARIANTS)
