"""End-to-end tests of poison requests that are resent under new ids."""

import pytest

from pimentoledge import results
from pimentoledge.runners import fake_engines
from pimentoledge.tests import simulated_clusters

ENTRIES = 10
RESENDS = 8
WAIT = 40.0
POISON = "poison " * 300
MANUALS = [f"manual {number} " * 300 for number in range(5)]


def path_of(**changes):
    fields = {"entry_count": ENTRIES, "runners": 9, "slots": 4}
    return simulated_clusters.SimulatedCluster(**{**fields, **changes})


def send_poison(path, number, copies=1):
    """Sends copies through successive entries; returns their errors."""
    names = [f"x{number}.{copy}" for copy in range(copies)]
    for copy, name in enumerate(names):
        path.request((number + copy) % ENTRIES, name, POISON)
    path.run(WAIT, until=lambda: all(each in path.answers for each in names))
    return [path.answers[each][0] for each in names]


def send_innocents(path, number):
    for each, manual in enumerate(MANUALS):
        entry = (number + each) % ENTRIES
        path.request(entry, f"i{number}.{each}", manual, tokens=60)


def check_innocents(path, sent):
    path.run(WAIT, until=lambda: sum("i" in e for e in path.answers) == sent)
    wrong = {
        each: path.result_code(each)
        for each in path.answers
        if each[0] == "i" and path.result_code(each) != results.Code.OK
    }
    assert not wrong
    for each, text in path.texts.items():
        if each[0] == "i":
            manual = MANUALS[int(each[-1])]
            assert text == fake_engines.expected_text(manual, 0, 60)


@pytest.mark.parametrize("copies", [1, 10])
def test_a_poison_request_crashes_three_engines_at_most(copies):
    """A resent poison request would crash one engine after another.

    A client sends it eight times with new ids through ten entries, one copy
    or ten copies at a time, while other clients use the same engines. Their
    answers must be complete, and the poison's error must state that it ran.
    """
    path = path_of()
    for number in range(RESENDS):
        send_innocents(path, number)
        for error in send_poison(path, number, copies):
            assert error.code == results.Code.POISON
            assert error.outcome() == results.Ran.RAN
            assert error.retry_after > 0
    check_innocents(path, RESENDS * len(MANUALS))
    # After the short refusal it may run once more, on the third and last
    # engine.
    path.run(31.0)
    for number in range(RESENDS):
        send_poison(path, number + RESENDS)
    assert 2 <= path.crash_count() <= 3


def test_two_poison_requests_in_one_batch():
    """Two poison requests share engines, so no crash identifies one alone."""
    path = path_of()
    for number in range(RESENDS):
        send_innocents(path, number)
        other = f"y{number}"
        path.request(number % ENTRIES, other, "other " + POISON)
        send_poison(path, number)
        path.run(WAIT, until=lambda name=other: name in path.answers)
        assert path.result_code(other) == results.Code.POISON
    check_innocents(path, RESENDS * len(MANUALS))
    assert path.crash_count() <= 6


def test_all_entries_restart_between_two_resends():
    """Entries that lose their memory must read the crashes from the store."""
    path = path_of()
    send_poison(path, 0)
    path.run(31.0)
    send_poison(path, 1)
    before = path.crash_count()
    for number in range(ENTRIES):
        path.start_entry(number)
    path.run(8.0)
    for number in range(RESENDS):
        (error,) = send_poison(path, number + 2)
        assert error.code == results.Code.POISON
    assert before == path.crash_count() <= 3


def test_isolated_entries_receive_crashes_through_the_store():
    """Entries cut off from one another would each let poison crash engines.

    The store is reachable. The client waits two seconds between resends, in
    which each entry receives the crashes from the store.
    """
    path = path_of()
    entries = set(path.entry_addresses)
    path.cut = lambda sender, receiver: entries >= {sender, receiver}
    for number in range(RESENDS):
        send_poison(path, number)
        path.run(2.0)
    assert path.crash_count() <= 3


def test_innocents_of_a_crash_are_released_soon():
    """Requests that shared a batch with poison must not stay suspect.

    Poison crashes an engine that runs three other requests. These are tried
    one by one, complete within seconds and leave no record.
    """
    path = path_of(entry_count=2, runners=2)
    for number, manual in enumerate(MANUALS[:3]):
        path.request(0, f"i0.{number}", manual, tokens=60)
    path.run(0.3)
    path.request(1, "x", POISON)
    path.run(WAIT, until=lambda: "x" in path.answers)
    check_innocents(path, 3)
    path.run(1.0)
    for entry in range(2):
        assert len(path.crash_records(entry)) == 1
