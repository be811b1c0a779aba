"""Tests of refusal, release, merging and storage in the quarantine."""

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.decisions import quarantine
from pimentoledge.decisions import stores

A = "tcp://127.0.0.1:9001"
B = "tcp://127.0.0.1:9002"


def pair():
    return (
        quarantine.Quarantine(name=A, peers=[B]),
        quarantine.Quarantine(name=B, peers=[A]),
    )


def deliver(sent, receiver, now):
    for each in sent:
        if isinstance(each, actions.Send):
            receiver.handle(
                events.FromNode(sender=A, message=each.message), now
            )


class Store:
    """Store in memory that answers calls, or reports that it is down."""

    def __init__(self):
        self.objects = {}
        self.down = False
        self.writes = 0

    def answer(self, call):
        if self.down:
            return stores.StoreAnswer(
                call=call.call, outcome=stores.Outcome.DOWN
            )
        match call:
            case stores.Scan() | stores.Watch():
                found = list(self.objects.values())
                return stores.StoreAnswer(
                    call=call.call,
                    outcome=stores.Outcome.FOUND,
                    objects=found,
                    version=self.writes + 1,
                )
            case stores.Write():
                self.writes += 1
                had = self.objects.get(call.path)
                if (had.version if had else 0) != call.expected:
                    return stores.StoreAnswer(
                        call=call.call, outcome=stores.Outcome.CONFLICT
                    )
                self.objects.pop(call.path, None)
                if call.value is not None:
                    self.objects[call.path] = stores.Object(
                        path=call.path, version=self.writes, value=call.value
                    )
                return stores.StoreAnswer(
                    call=call.call,
                    outcome=stores.Outcome.WRITTEN,
                    version=self.writes,
                )

    def serve(self, machine, sent, now):
        while sent:
            each = sent.pop(0)
            if isinstance(each, actions.CallStore):
                sent += machine.handle(self.answer(each.call), now)


def test_second_crash_delays_poison_and_third_refuses_it():
    """Poison must be refused, and requests that shared its batch released.

    After the first crash both requests are suspects and run apart. The
    harmless one completes; the poison crashes a second engine and is refused
    for a short time. Its third crash has it refused for long.
    """
    one, other = pair()
    deliver(one.record_crash([b"p", b"i"], "r1", "x", 0.0), other, 0.0)
    assert one.check(b"i", 0.0) == quarantine.Suspect(crashes=1)
    assert other.check(b"p", 0.0) == quarantine.Suspect(crashes=1)
    deliver(one.record_completion(b"i", 1.0), other, 1.0)
    assert other.check(b"i", 1.0) == quarantine.Clear()
    deliver(one.record_crash([b"p", b"c"], "r2", "y", 2.0), other, 2.0)
    held = other.check(b"p", 2.0)
    assert held.error.code == results.Code.POISON
    assert held.error.outcome() == results.Ran.RAN
    assert held.error.retry_after == 30.0
    assert other.check(b"c", 2.0) == quarantine.Suspect(crashes=1)
    assert other.check(b"p", 32.0) == quarantine.Suspect(crashes=2)
    deliver(one.record_crash([b"p"], "r3", "z", 33.0), other, 33.0)
    assert isinstance(other.check(b"p", 80_000.0), quarantine.Poison)


def test_one_crash_counts_once_whoever_reports_it():
    one, other = pair()
    sent = one.record_crash([b"p"], "r1", "x", 0.0)
    deliver(sent, other, 0.0)
    deliver(sent, other, 1.0)
    assert other.record_crash([b"p"], "r1", "x", 1.0) == []
    assert other.check(b"p", 1.0) == quarantine.Suspect(crashes=1)


def test_two_suspects_in_one_batch_are_not_refused():
    one, _ = pair()
    one.record_crash([b"p", b"i"], "r1", "x", 0.0)
    one.record_crash([b"p", b"i"], "r2", "y", 1.0)
    assert one.check(b"p", 1.0) == quarantine.Suspect(crashes=2)
    assert one.check(b"i", 1.0) == quarantine.Suspect(crashes=2)


def test_vanished_vms_give_only_a_short_refusal():
    """A request retried in a failing rack must not be treated as poison.

    Three VMs vanish one after another, and no agent observes a crash. The
    request may have reached none of the engines, so the error must not state
    that it ran, and the refusal must be shorter than a suspect's record.
    """
    one, _ = pair()
    seen = []
    for number in range(3):
        seen.append(type(one.check(b"i", 0.0)))
        one.record_crash([b"i"], f"r{number}", "x", 0.0, certain=False)
    assert seen == [quarantine.Clear, quarantine.Clear, quarantine.Suspect]
    refused = one.check(b"i", 1.0).error
    assert refused.outcome() == results.Ran.UNKNOWN
    assert refused.retry_after == 59.0
    assert one.check(b"i", 60.0) == quarantine.Clear()
    assert not one.unwritten


def test_crashes_persist_when_all_entries_restart():
    """Poison would run again after a restart of all entries at once.

    A new entry reads the stored crashes at its start and keeps them through
    a later outage of the store.
    """
    store = Store()
    one, _ = pair()
    one.peers = []
    for number in range(3):
        sent = one.record_crash([b"p", b"i"], f"r{number}", "x", 0.0)
        store.serve(one, sent, 0.0)
    assert store.writes == 3
    fresh = quarantine.Quarantine(name=B)
    assert fresh.check(b"p", 0.0) == quarantine.Clear()
    store.serve(fresh, fresh.wake(fresh.next_wake()), 0.0)
    store.down = True
    store.serve(fresh, fresh.wake(fresh.next_wake()), 60.0)
    assert isinstance(fresh.check(b"p", 60.0), quarantine.Poison)


def test_operator_releases_by_deleting_the_object():
    one, _ = pair()
    one.record_crash([b"p"], "r1", "x", 0.0)
    (crash,) = one.crashes
    one.revision = 1
    (watch,) = [each.call for each in one.wake(0.0) if each.call.call]
    deleted = stores.Object(
        path=quarantine.PREFIX + crash.hex(), version=2, value=None
    )
    answer = stores.StoreAnswer(
        call=watch.call,
        outcome=stores.Outcome.FOUND,
        objects=[deleted],
        version=2,
    )
    one.handle(answer, 1.0)
    assert one.check(b"p", 1.0) == quarantine.Clear()
    assert not one.unwritten


def test_write_waits_for_the_store_and_is_cleaned_up():
    store = Store()
    store.down = True
    one = quarantine.Quarantine(name=A)
    store.serve(one, one.record_crash([b"p"], "r1", "x", 0.0), 0.0)
    assert not store.objects
    store.down = False
    store.serve(one, one.wake(2.0), 2.0)
    assert len(store.objects) == 1
    store.serve(one, one.wake(400.0), 400.0)
    assert not store.objects
    assert one.check(b"p", 400.0) == quarantine.Clear()


def test_suspects_go_to_one_server_from_each_entry():
    one, other = pair()
    names = [f"r{number}" for number in range(9)]
    order = one.rank_servers(b"p", names)
    assert order == other.rank_servers(b"p", names[::-1])
    assert sorted(order) == names
    one.record_crash([b"p"], order[0], "x", 0.0)
    assert one.rank_servers(b"p", names) == [*order[1:], order[0]]


def test_content_on_two_vanished_vms_is_reported_to_peers():
    one, other = pair()
    assert one.record_crash([b"i"], "r1", "x", 0.0, certain=False) == []
    reports = one.record_crash([b"i"], "r2", "x", 1.0, certain=False)
    deliver(reports, other, 1.0)
    assert other.check(b"i", 1.0) == quarantine.Suspect(crashes=2)


def test_fingerprint_separates_organisations_and_parts():
    assert quarantine.fingerprint_of("a", [b"xy"]) != (
        quarantine.fingerprint_of("a", [b"x", b"y"])
    )
    assert quarantine.fingerprint_of("a", [b"x"]) != (
        quarantine.fingerprint_of("b", [b"x"])
    )


def test_claim_lets_one_copy_run_at_a_time():
    one, _ = pair()
    assert one.claim(b"p", "q1")
    assert not one.claim(b"p", "q2")
    one.release_claim(b"p", "q2")
    assert not one.claim(b"p", "q2")
    one.release_claim(b"p", "q1")
    assert one.claim(b"p", "q2")
