"""Runs a fixed set of fuzzing examples, and checks each oracle check.

Each mutation breaks the decisions, and the oracle must detect it.
"""

import hypothesis
import pytest

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


def test_each_invariant_has_a_mutation():
    caught = {each.invariant for each in mutations.MUTATIONS}
    assert caught == set(oracles.INVARIANTS)
