"""Admission at the agent: stale dispatches, order, suspects, deadlines."""

import pytest

from pimentoledge import results
from pimentoledge.decisions import admission
from pimentoledge.nodes import messages

SENDER = "tcp://127.0.0.1:9000"


def server_status(**changes):
    fields = {
        "server": "r1",
        "incarnation": "i1",
        "weights": "w1",
        "slots": 4,
        "token_seconds": 0.001,
    }
    return messages.ServerStatus(**{**fields, **changes})


def dispatch(request, organisation="o", **changes):
    fields = {
        "attempt": 1,
        "priority": "interactive",
        "seconds_left": 60.0,
        "server": "r1",
        "prompt_tokens": 100,
    }
    fields.update(changes)
    return messages.Dispatch(
        request=request, organisation=organisation, **fields
    )


def machine(**changes):
    fields = {"server": "r1", "slots": 4, "reserve": 1}
    return admission.Admission(**{**fields, **changes})


def offer(admitting, sent, now=0.0, **changes):
    return admitting.offer(sent, SENDER, server_status(**changes), now)


def started(admitting, now):
    return [each.dispatch.request for each in admitting.ready(now)]


ADAPTED = messages.Completion(model="m", adapter="a", prompt="p", max_tokens=1)


@pytest.mark.parametrize(
    ("assumed", "true", "code"),
    [
        ({"server": "r2"}, {}, results.Code.WRONG_SERVER),
        ({}, {"incarnation": ""}, results.Code.SERVER_DOWN),
        ({}, {"leaving": True}, results.Code.SERVER_LEAVING),
        ({"incarnation": "i0"}, {}, results.Code.STALE_INCARNATION),
        ({"weights": "w0"}, {}, results.Code.STALE_WEIGHTS),
        ({"completion": ADAPTED}, {}, results.Code.ADAPTER_NOT_LOADED),
        ({"seconds_left": 0.05}, {}, results.Code.DEADLINE_UNMEETABLE),
        ({"crashes": 3}, {}, results.Code.POISON),
    ],
)
def test_refuses_stale_or_impossible_dispatches(assumed, true, code):
    admitting = machine()
    refused = offer(admitting, dispatch("q", **assumed), **true)
    assert refused.code == code
    assert not admitting.running
    assert not admitting.queued


def test_entry_with_stale_configuration_is_refused():
    """Guards against an entry that applies a withdrawn contract.

    The agent has version 7 from 0 s on, the entry still has version 6. A lag
    within the grace period is accepted. Later dispatches are refused, because
    the newer contract must be in force everywhere within seconds.
    """
    admitting = machine()
    behind = dispatch("a", configuration=6)
    assert isinstance(
        offer(admitting, behind, configuration=7), admission.Admit
    )
    late = offer(admitting, dispatch("b", configuration=6), 6.0)
    assert late.code == results.Code.STALE_CONFIGURATION
    now = offer(admitting, dispatch("c", configuration=8), 6.0)
    assert isinstance(now, admission.Admit)


def test_batch_leaves_slots_and_interactive_goes_first():
    admitting = machine()
    for number in range(5):
        offer(admitting, dispatch(f"b{number}", priority="batch"))
    assert len(admitting.running) == 3
    assert isinstance(offer(admitting, dispatch("i0")), admission.Admit)
    offer(admitting, dispatch("i1"))
    admitting.ended("b0", 1, 1.0)
    assert started(admitting, 1.0) == ["i1"]


def test_batch_is_not_starved_by_interactive_work():
    """Guards against batch work that waits until its deadline.

    Interactive requests fill all slots and the queue. After the age limit the
    oldest batch request gets the next slot, but only one at a time does.
    """
    admitting = machine(age_seconds=10.0)
    for number in range(8):
        offer(admitting, dispatch(f"i{number}"))
    offer(admitting, dispatch("b0", priority="batch"))
    offer(admitting, dispatch("b1", priority="batch"))
    admitting.ended("i0", 1, 9.0)
    assert started(admitting, 9.0) == ["i4"]
    admitting.ended("i1", 1, 11.0)
    admitting.ended("i2", 1, 11.0)
    assert started(admitting, 11.0) == ["b0", "i5"]


def test_organisations_share_by_tokens_and_weight():
    admitting = machine(slots=1, reserve=0)
    offer(admitting, dispatch("first", "x"))
    for number in range(20):
        offer(admitting, dispatch(f"big{number}", "big"))
    for number in range(4):
        offer(admitting, dispatch(f"small{number}", "small", share=2.0))
    served = []
    running = "first"
    for second in range(6):
        admitting.ended(running, 1, float(second))
        (running,) = started(admitting, float(second))
        served.append(running)
    assert sum(each.startswith("small") for each in served) == 4


def test_full_queue_displaces_work_of_the_organisation_that_filled_it():
    """Guards against a flood of one organisation that locks out another.

    A large organisation fills the queue before the first request of a small
    one arrives. The newest item of the large one, which has not run, is
    refused.
    """
    admitting = machine(slots=1, reserve=0, queue_limit=3)
    for number in range(4):
        offer(admitting, dispatch(f"big{number}", "big"))
    full = offer(admitting, dispatch("big4", "big"))
    assert full.code == results.Code.OVERLOADED
    small = offer(admitting, dispatch("small", "small"))
    assert isinstance(small, admission.Queue)
    (displaced,) = admitting.expired(0.0)
    assert displaced.dispatch.request == "big3"
    assert displaced.code == results.Code.OVERLOADED


def test_refuses_on_arrival_if_the_wait_exceeds_the_deadline():
    admitting = machine(slots=1, reserve=0)
    offer(admitting, dispatch("a"))
    admitting.ended("a", 1, 10.0, finished=True)
    offer(admitting, dispatch("b"), 10.0)
    refused = offer(admitting, dispatch("c", seconds_left=5.0), 10.0)
    assert refused.code == results.Code.DEADLINE_UNMEETABLE
    assert refused.retry_after == pytest.approx(5.1)


def test_queued_work_is_refused_when_its_time_is_up():
    admitting = machine(slots=1, reserve=0)
    offer(admitting, dispatch("a"))
    offer(admitting, dispatch("b", seconds_left=5.0))
    assert admitting.next_wake() == pytest.approx(4.9)
    assert admitting.expired(4.0) == []
    (late,) = admitting.expired(admitting.next_wake())
    assert late.code == results.Code.DEADLINE_UNMEETABLE
    assert admitting.queued == 0


def test_one_suspect_at_a_time_and_the_agent_remembers():
    """Guards against poison resent by an entry that knows of no crash.

    The content crashed this engine, and the entry sends it again with no
    crashes noted. The agent outlives the engine and treats it as a suspect.
    """
    admitting = machine()
    offer(admitting, dispatch("p", fingerprint=b"p"))
    offer(admitting, dispatch("q", fingerprint=b"q"))
    assert admitting.suspects() == [b"p", b"q"]
    assert admitting.clear() == []
    again = dispatch("p2", fingerprint=b"p")
    assert isinstance(offer(admitting, again, 1.0), admission.Admit)
    other = offer(admitting, dispatch("q2", fingerprint=b"q"), 1.0)
    assert other.code == results.Code.SUSPECT_BUSY
    clean = offer(admitting, dispatch("c", fingerprint=b"c"), 1.0)
    assert isinstance(clean, admission.Admit)
    admitting.clear()
    held = offer(admitting, dispatch("p3", fingerprint=b"p"), 2.0)
    assert held.code == results.Code.POISON
    offer(admitting, dispatch("p4", fingerprint=b"p"), 32.0)
    admitting.clear()
    poison = offer(admitting, dispatch("p5", fingerprint=b"p"), 80.0)
    assert poison.code == results.Code.POISON
    innocent = dispatch("q3", fingerprint=b"q")
    assert isinstance(offer(admitting, innocent, 80.0), admission.Admit)
    admitting.ended("q3", 1, 81.0, finished=True)
    assert b"q" not in admitting.remembered


def test_next_suspect_is_admitted_once_the_first_generates():
    admitting = machine()
    offer(admitting, dispatch("s", fingerprint=b"s", crashes=1))
    other = dispatch("t", fingerprint=b"t", crashes=1)
    assert offer(admitting, other).code == results.Code.SUSPECT_BUSY
    admitting.proved("s", 1)
    assert isinstance(offer(admitting, other), admission.Admit)
    assert admitting.suspects() == [b"s", b"t"]


def test_crash_returns_only_queued_work():
    admitting = machine(slots=1, reserve=0)
    offer(admitting, dispatch("a"))
    offer(admitting, dispatch("b"))
    assert [each.request for each in admitting.clear()] == ["b"]
    assert not admitting.running
    assert not admitting.holds("b", 1)
