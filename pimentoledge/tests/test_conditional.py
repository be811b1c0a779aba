"""Tests of conditional updates with lost requests and answers."""

import collections
import random

import hypothesis
from hypothesis import strategies
import msgspec

from pimentoledge.decisions import actions
from pimentoledge.decisions import conditional_updates
from pimentoledge.decisions import stores
from pimentoledge.stores import fake_objects

_FAULTS = strategies.sampled_from(["answer", "request", "down", "none"])


def _add_name(name):
    """Returns a change that adds a name to a list unless it is present."""

    def change(stored):
        names = msgspec.json.decode(stored.value) if stored else []
        if name in names:
            return conditional_updates.Change(write=False)
        value = msgspec.json.encode([*names, name])
        return conditional_updates.Change(write=True, value=value)

    return change


@hypothesis.seed(5)
@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    faults=strategies.lists(_FAULTS, max_size=40),
    order=strategies.randoms(use_true_random=False),
)
def test_lost_answers_never_lead_to_a_second_effect(faults, order):
    """Several writers add their names while answers and requests are lost.

    A writer that treats a lost answer as a failed write would add its name
    twice; one that treats it as a success may never have written. Each name
    must be present exactly once when its update reports success.
    """
    store = fake_objects.FakeObjects()
    queue = collections.deque()
    ended = {}
    writers = {}
    now = 0.0
    for name in "abcd":
        writers[name] = conditional_updates.ConditionalUpdate(
            path="p", name=name, life="1", generator=random.Random(name)
        )
        queue.extend((name, each) for each in _start(writers[name], name))
    for _ in range(2000):
        now += 0.01
        for name, writer in writers.items():
            queue.extend((name, each) for each in writer.wake(now))
        if not queue:
            continue
        queue.rotate(order.randrange(4))
        name, action = queue.popleft()
        answer = _call(store, action, faults.pop() if faults else "none")
        next_actions, end = writers[name].handle(answer, now)
        queue.extend((name, each) for each in next_actions)
        if end is conditional_updates.UpdateOutcome.DOWN:
            queue.extend((name, each) for each in _start(writers[name], name))
        elif end is not None:
            ended[name] = end
    assert sorted(ended) == ["a", "b", "c", "d"]
    names = msgspec.json.decode(store.objects["p"].value)
    assert sorted(names) == ["a", "b", "c", "d"]


def _start(writer, name):
    return writer.start(_add_name(name), 0.0)


def _call(store, action: actions.CallStore, fault):
    store.down = fault == "down"
    store.lose_answers = int(fault == "answer")
    store.lose_requests = int(fault == "request")
    return store.call(action.call)


def test_uncertain_write_is_read_back_however_long_it_takes():
    """The answer to a write is lost, and the store goes down at once.

    If the update ended as "down", the writer would act as if the write had
    not taken effect, although it had.
    """
    store = fake_objects.FakeObjects()
    writer = conditional_updates.ConditionalUpdate(
        path="p", name="w", life="1", generator=random.Random(1)
    )
    calls = writer.start(_add_name("w"), 0.0)
    calls, _ = writer.handle(_call(store, calls[0], "none"), 0.0)
    calls, _ = writer.handle(_call(store, calls[0], "answer"), 0.0)
    now = 0.0
    while now < 3600.0:
        calls, end = writer.handle(_call(store, calls[0], "down"), now)
        assert end is None
        now = writer.next_wake()
        calls = writer.wake(now)
    _, end = writer.handle(_call(store, calls[0], "none"), now)
    assert end is conditional_updates.UpdateOutcome.WRITTEN
    assert store.counts["writes"] == 1
    assert isinstance(calls[0].call, stores.Read)
