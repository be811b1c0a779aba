"""Differences between decoded JSON objects, and their histories."""

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.routing import configuration_histories
from pimentoledge.routing import value_changes

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-5, 5),
    strategies.sampled_from([0.0, 1.0, 1.5, "", "a", "1"]),
)
ENTRIES = strategies.lists(
    strategies.one_of(
        SCALARS,
        strategies.dictionaries(strategies.sampled_from("xyz"), SCALARS),
    ),
    max_size=12,
)
OBJECTS = strategies.dictionaries(
    strategies.sampled_from("abcdef"), strategies.one_of(SCALARS, ENTRIES)
)


def _routes(count, first=0, **fields):
    return [
        {"name": f"r{each}", "pathPrefix": f"/{each}/", **fields}
        for each in range(first, first + count)
    ]


def _history(*contents):
    history = configuration_histories.ConfigurationHistory()
    for each in contents:
        history.commit(history.prepare(each))
    return history


@given(older=OBJECTS, newer=OBJECTS)
def test_a_content_is_kept_to_the_letter(older, newer):
    """Guards against a configuration that only nearly matches the store's."""
    changes = value_changes.difference(older, newer)
    assert value_changes.apply(older, changes) == newer
    digest = configuration_histories.digest_of
    assert digest(_history(older, newer).content) == digest(newer)


def test_kept_entries_are_shared_and_few_new_ones_are_in_the_difference():
    older = {"version": 1, "routes": _routes(500)}
    routes = _routes(500)
    routes[7] = {"name": "moved"}
    del routes[300]
    newer = {"version": 2, "routes": routes + _routes(3, first=900)}
    changes = value_changes.difference(older, newer)
    result = value_changes.apply(older, changes)
    assert result == newer
    assert result["routes"][100] is older["routes"][100]
    added = [
        entry
        for each in changes
        for _, _, entries in each.pieces or ()
        for entry in entries
    ]
    assert len(added) == 4


@given(contents=strategies.lists(OBJECTS, min_size=1, max_size=12))
def test_steps_lead_from_any_content_to_the_newest(contents):
    """Guards against a router that is some versions behind."""
    ahead = _history(*contents)
    for each in contents:
        behind = _history(each)
        update = behind.receive(ahead.steps_from(behind.digest))
        behind.commit(update)
        assert behind.digest == ahead.digest
        assert behind.steps_from(ahead.steps_from("")[-1].digest)


def test_steps_that_follow_another_content_are_not_applied():
    """Guards against a difference applied to what it wasn't made from."""
    ahead = _history({"routes": _routes(9)}, {"routes": _routes(10)})
    other = _history({"routes": _routes(9, timeoutMs=5)})
    steps = ahead.steps_from(ahead.steps[0].base)
    with pytest.raises(configuration_histories.BadStepError):
        other.receive(steps)


def test_a_result_with_another_digest_is_not_taken():
    """Guards against a configuration that was damaged on its way."""
    ahead = _history({"routes": _routes(9)}, {"routes": _routes(10)})
    behind = _history({"routes": _routes(9)})
    [step] = ahead.steps_from(behind.digest)
    wrong = configuration_histories.Step(
        base=step.base, digest="0" * 32, data=step.data
    )
    with pytest.raises(configuration_histories.BadStepError):
        behind.receive([wrong])
    broken = configuration_histories.Step(
        base=step.base, digest=step.digest, data=step.data[:-4]
    )
    with pytest.raises(configuration_histories.BadStepError):
        behind.receive([broken])
    assert behind.content == {"routes": _routes(9)}
