"""End-to-end tests of poison requests that are resent under new ids."""

import pytest

from pimentoledge import results
from pimentoledge.runners import fake_engines
from pimentoledge.tests import simulated_clusters

ENTRIES = 10
RESENDS = 8
WAIT_SECONDS = 40.0
POISON = "poison " * 300
MANUALS = [f"manual {number} " * 300 for number in range(5)]


def start_cluster(**changes):
    fields = {"entry_count": ENTRIES, "runners": 9, "slots": 4}
    return simulated_clusters.SimulatedCluster(**{**fields, **changes})


def send_poison(cluster, number, copies=1):
    """Sends copies of poison through successive entries; returns the errors."""
    names = [f"x{number}.{copy}" for copy in range(copies)]
    for copy, name in enumerate(names):
        cluster.request((number + copy) % ENTRIES, name, POISON)
    cluster.run(
        WAIT_SECONDS,
        until=lambda: all(each in cluster.answers for each in names),
    )
    return [cluster.answers[each][0] for each in names]


def send_innocents(cluster, number):
    for each, manual in enumerate(MANUALS):
        entry = (number + each) % ENTRIES
        cluster.request(entry, f"i{number}.{each}", manual, tokens=60)


def check_innocents(cluster, sent):
    cluster.run(
        WAIT_SECONDS,
        until=lambda: sum("i" in e for e in cluster.answers) == sent,
    )
    wrong = {
        each: cluster.result_code(each)
        for each in cluster.answers
        if each[0] == "i" and cluster.result_code(each) != results.Code.OK
    }
    assert not wrong
    for each, text in cluster.texts.items():
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
    cluster = start_cluster()
    for number in range(RESENDS):
        send_innocents(cluster, number)
        for error in send_poison(cluster, number, copies):
            assert error.code == results.Code.POISON
            assert error.outcome() == results.Ran.RAN
            assert error.retry_after > 0
    check_innocents(cluster, RESENDS * len(MANUALS))
    # After the short refusal it may run once more, on the third and last
    # engine.
    cluster.run(31.0)
    for number in range(RESENDS):
        send_poison(cluster, number + RESENDS)
    assert 2 <= cluster.crash_count() <= 3


def test_two_poison_requests_in_one_batch():
    """Two poison requests share engines, so no crash identifies one alone."""
    cluster = start_cluster()
    for number in range(RESENDS):
        send_innocents(cluster, number)
        other = f"y{number}"
        cluster.request(number % ENTRIES, other, "other " + POISON)
        send_poison(cluster, number)
        cluster.run(
            WAIT_SECONDS, until=lambda name=other: name in cluster.answers
        )
        assert cluster.result_code(other) == results.Code.POISON
    check_innocents(cluster, RESENDS * len(MANUALS))
    assert cluster.crash_count() <= 6


def test_all_entries_restart_between_two_resends():
    """Restarted entries have lost the crashes and must read the store's."""
    cluster = start_cluster()
    send_poison(cluster, 0)
    cluster.run(31.0)
    send_poison(cluster, 1)
    before = cluster.crash_count()
    for number in range(ENTRIES):
        cluster.start_entry(number)
    cluster.run(8.0)
    for number in range(RESENDS):
        (error,) = send_poison(cluster, number + 2)
        assert error.code == results.Code.POISON
    assert before == cluster.crash_count() <= 3


def test_isolated_entries_receive_crashes_through_the_store():
    """Entries cut off from one another would each let poison crash engines.

    The store is reachable. The client waits two seconds between resends, in
    which each entry receives the crashes from the store.
    """
    cluster = start_cluster()
    entries = set(cluster.entry_addresses)
    cluster.cut = lambda sender, receiver: entries >= {sender, receiver}
    for number in range(RESENDS):
        send_poison(cluster, number)
        cluster.run(2.0)
    assert cluster.crash_count() <= 3


def test_innocents_of_a_crash_are_released_soon():
    """Requests that shared a batch with poison must not stay suspect.

    Poison crashes an engine that runs three other requests. These are tried
    one by one, complete within seconds and leave no record.
    """
    cluster = start_cluster(entry_count=2, runners=2)
    for number, manual in enumerate(MANUALS[:3]):
        cluster.request(0, f"i0.{number}", manual, tokens=60)
    cluster.run(0.3)
    cluster.request(1, "x", POISON)
    cluster.run(WAIT_SECONDS, until=lambda: "x" in cluster.answers)
    check_innocents(cluster, 3)
    cluster.run(1.0)
    for entry in range(2):
        assert len(cluster.crash_records(entry)) == 1
