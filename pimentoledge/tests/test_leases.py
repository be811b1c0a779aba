"""Tests of the lease: orders of two holders must not be close in time."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.routing import leases
from pimentoledge.routing import registrations

LEASE_SECONDS = 3.0


def stored(revision, holder):
    return registrations.Stored(
        name="orders", revision=revision, value={"holder": holder}
    )


def lease(holder="a"):
    return leases.Lease(holder=holder, lease_seconds=LEASE_SECONDS)


def test_the_first_holder_orders_at_once_and_only_for_its_term():
    mine = lease()
    assert mine.step(0.0) is leases.Step.READ
    mine.learn(registrations.Absent(), 0.0)
    assert mine.step(0.0) is leases.Step.WRITE
    mine.record_write(stored(5, "a"), 0.0)
    assert mine.step(0.1) is leases.Step.ORDER
    assert mine.fence == 5
    assert not mine.may_order(leases.TERM_SECONDS - 0.1)
    assert mine.step(1.0) is leases.Step.WRITE


def test_a_successor_waits_until_no_order_of_the_former_can_be_close():
    """Guards against orders of two holders within the lease time.

    The former holder may have written just before its revision was read here,
    and may give orders for its whole term from then.
    """
    mine = lease("b")
    mine.learn(stored(7, "a"), 10.0)
    mine.record_write(stored(8, "b"), 10.4)
    assert mine.quiet_until == 10.0 + leases.TERM_SECONDS + LEASE_SECONDS
    assert not mine.may_order(11.0)
    mine.record_write(stored(9, "b"), mine.quiet_until)
    assert mine.may_order(mine.quiet_until)
    assert mine.fence == 8


def test_an_idle_holder_is_succeeded_at_once():
    mine = lease("b")
    mine.learn(stored(7, "a"), 10.0)
    mine.record_write(stored(8, "b"), 60.0)
    assert mine.may_order(60.1)


def test_a_revision_that_peers_have_known_longer_shortens_the_wait():
    """Guards against a restarted router that waits 4.5 s for an idle holder.

    The router reads the lease when it starts. Another router has known that
    revision for a minute, so the holder has sent no recent order.
    """
    mine = lease("b")
    mine.learn(stored(7, "a"), 100.0)
    mine.merge_peer(stored(7, "a"), 40.0, 100.1)
    mine.record_write(stored(8, "b"), 100.2)
    assert mine.may_order(100.3)


def test_a_holder_that_was_succeeded_gives_no_more_orders():
    mine = lease()
    mine.learn(registrations.Absent(), 0.0)
    mine.record_write(stored(5, "a"), 0.0)
    mine.merge_peer(stored(6, "b"), 0.2, 0.2)
    assert not mine.may_order(0.3)
    # A late report of an older revision changes nothing.
    mine.merge_peer(stored(5, "a"), 0.4, 0.4)
    assert mine.held_by == "b"


def test_a_write_of_unknown_outcome_gives_no_term():
    mine = lease()
    mine.learn(registrations.Absent(), 0.0)
    mine.mark_unknown()
    assert mine.step(0.1) is leases.Step.READ
    assert not mine.may_order(0.1)


def test_a_holder_that_lost_its_term_keeps_its_quiet_time():
    mine = lease("b")
    mine.learn(stored(7, "a"), 10.0)
    mine.record_write(stored(8, "b"), 10.0)
    quiet = mine.quiet_until
    mine.mark_unknown()
    mine.learn(stored(8, "b"), 12.0)
    mine.record_write(stored(9, "b"), 12.0)
    assert mine.quiet_until == quiet


def quiet(revision, holder, ms):
    """Returns a lease whose holder was not to order for some ms."""
    value = {"holder": holder, "quiet_ms": ms}
    return registrations.Stored(name="orders", revision=revision, value=value)


def test_a_successor_does_not_wait_for_a_holder_that_could_not_order():
    """Guards against runners left behind while holders freeze one by one."""
    mine = lease("c")
    mine.learn(quiet(8, "b", 2600), 12.0)
    mine.record_write(stored(9, "c"), 13.5)
    assert mine.quiet_until == pytest.approx(14.6)


def test_a_successor_waits_for_a_holder_whose_quiet_time_ended():
    mine = lease("c")
    mine.learn(quiet(8, "b", 1200), 12.0)
    mine.record_write(stored(9, "c"), 13.5)
    assert mine.quiet_until == 12.0 + leases.TERM_SECONDS + LEASE_SECONDS


def test_a_restarted_holder_keeps_the_quiet_time_of_its_former_process():
    """Guards against orders soon after those of whom that process followed."""
    mine = lease("b")
    mine.learn(quiet(8, "b", 3000), 10.0)
    mine.record_write(stored(9, "b"), 10.5)
    assert mine.quiet_until == 13.0


def test_quiet_time_that_was_written_is_kept():
    """Guards against orders within a time that a successor counts on."""
    mine = lease("b")
    mine.learn(stored(7, "a"), 10.0)
    written = mine.quiet_seconds_at(10.4)
    mine.merge_peer(stored(7, "a"), 5.0, 10.4)
    mine.record_write(stored(8, "b"), 10.4, quiet_seconds=written)
    assert mine.quiet_until == pytest.approx(10.4 + written)


@given(strategies.randoms(use_true_random=False))
def test_orders_of_two_holders_are_never_close(chooser: random.Random):
    """Guards against a shorter wait that isn't one for every order."""
    now, revision, orders = 100.0, 0, []
    state = registrations.Absent()
    processes = [lease(name) for name in "abc"]
    for _ in range(200):
        now += chooser.choice([0.03, 0.3, 1.0, 2.0])
        number = chooser.randrange(len(processes))
        if chooser.random() < 0.1:
            processes[number] = lease("abc"[number])
        process = processes[number]
        match process.step(now):
            case leases.Step.READ:
                process.learn(state, now)
            case leases.Step.WRITE:
                if process.revision != revision:
                    process.learn(state, now)
                    continue
                seconds = process.quiet_seconds_at(now)
                revision += 1
                state = quiet(revision, process.holder, int(seconds * 1000))
                process.record_write(state, now, quiet_seconds=seconds)
            case leases.Step.ORDER:
                orders.append((now, process.holder))
    for (before, former), (after, later) in itertools.pairwise(orders):
        assert former == later or after - before >= LEASE_SECONDS - 0.001


def learn_by_read(mine, state):
    mine.mark_unknown()
    mine.learn(state, 30.2)


def learn_by_conflict(mine, state):
    mine.learn(state, 30.2)


def learn_by_peer(mine, state):
    mine.merge_peer(state, 30.1, 30.2)


@pytest.mark.parametrize(
    "learn", [learn_by_read, learn_by_conflict, learn_by_peer]
)
def test_a_lease_that_was_regained_unnoticed_gets_a_new_fence(learn):
    """Guards against orders with the fence of a tenure before another's."""
    mine = lease()
    mine.learn(registrations.Absent(), 0.0)
    mine.record_write(stored(5, "a"), 0.0)
    mine.learn(stored(7, "b"), 10.0)
    # Revision 8 was written by this process, whose answer was lost.
    learn(mine, stored(8, "a"))
    assert not mine.may_order(30.3)
    mine.record_write(stored(9, "a"), 30.3)
    assert mine.fence == 9


def test_an_unanswered_renewal_ends_no_term():
    """Guards against orders without a fence in the rest of a term."""
    mine = lease()
    mine.learn(registrations.Absent(), 0.0)
    mine.record_write(stored(5, "a"), 0.0)
    mine.mark_unknown()
    mine.learn(stored(6, "a"), 1.0)
    assert mine.may_order(1.1)
    assert mine.fence == 5


def test_an_acknowledgement_after_a_succession_gives_no_term():
    """Guards against a holder that forgets its successor."""
    mine = lease()
    mine.learn(registrations.Absent(), 0.0)
    # The store executes this process's write as revision 5 and answers late.
    mine.merge_peer(stored(6, "b"), 0.4, 0.5)
    mine.record_write(stored(5, "a"), 0.1)
    assert not mine.holds(0.6)
    assert (mine.revision, mine.held_by) == (6, "b")


class DrawnLease:
    """Processes that share a lease, with drawn faults, in virtual time.

    A write may be executed without an answer, at once or a while later, or
    get no answer and not be executed; a process may be turned away by the
    store, freeze, or restart. An answer may arrive late.

    Attributes:
        orders: the time, the holder and the fence of each order.
    """

    NAMES = "abc"
    STEP_SECONDS = 0.1

    def __init__(self, chooser):
        self.chooser = chooser
        self.now = 100.0
        self.revision = 0
        self.state = registrations.Absent()
        self.processes = [lease(name) for name in self.NAMES]
        self.idle_until = [0.0] * len(self.NAMES)
        self.turned_away_until = [0.0] * len(self.NAMES)
        self.late_writes = []
        self.late_answers = []
        self.orders = []

    def play(self, steps):
        for _ in range(steps):
            self.now += self.STEP_SECONDS
            self._apply_late()
            self._disturb(self.chooser.randrange(len(self.processes)))
            for number, process in enumerate(self.processes):
                # The holder acts at once, the others rarely.
                acts = process.holds(self.now) or self.chooser.random() < 0.05
                if acts and self.now >= self.idle_until[number]:
                    self._step(number)

    def _disturb(self, number):
        draw = self.chooser.random()
        if draw < 0.01:
            self.processes[number] = lease(self.NAMES[number])
        elif draw < 0.03:
            self.idle_until[number] = self.now + self.chooser.uniform(1, 6)
        elif draw < 0.06:
            away = self.chooser.uniform(1, 7)
            self.turned_away_until[number] = self.now + away
        elif draw < 0.10:
            self._gossip(number)

    def _gossip(self, number):
        """Tells one process what another one knows."""
        process = self.processes[number]
        peer = self.chooser.choice(self.processes)
        if peer.revision:
            known = quiet(
                peer.revision, peer.held_by, round(peer.quiet_seconds * 1000)
            )
            process.merge_peer(known, peer.learnt_at, self.now)

    def _step(self, number):
        process = self.processes[number]
        away = self.now < self.turned_away_until[number]
        match process.step(self.now):
            case leases.Step.READ if not away:
                process.learn(self.state, self.now)
            case leases.Step.WRITE if away:
                process.mark_unknown()
            case leases.Step.WRITE:
                self._write(number, process)
        if process.may_order(self.now):
            self.orders.append((self.now, process.holder, process.fence))

    def _write(self, number, process):
        seconds = process.quiet_seconds_at(self.now)
        write = process.revision, process.holder, round(seconds * 1000)
        draw = self.chooser.random()
        if draw < 0.1:
            self._execute(*write)
            process.mark_unknown()
        elif draw < 0.2:
            due = self.now + self.chooser.uniform(0.1, 3)
            self.late_writes.append((due, write))
            process.mark_unknown()
        elif draw < 0.25:
            process.mark_unknown()
        elif not self._execute(*write):
            process.learn(self.state, self.now)
        elif draw < 0.4:
            due = self.now + self.chooser.uniform(0.1, 2)
            answer = self.state, self.now, seconds
            self.late_answers.append((due, process, answer))
            self.idle_until[number] = due
        else:
            process.record_write(self.state, self.now, quiet_seconds=seconds)

    def _execute(self, expected, holder, quiet_ms):
        if expected != getattr(self.state, "revision", 0):
            return False
        self.revision += 1
        self.state = quiet(self.revision, holder, quiet_ms)
        return True

    def _apply_late(self):
        for due, write in self.late_writes:
            if due <= self.now:
                self._execute(*write)
        for due, process, (state, sent, seconds) in self.late_answers:
            if due <= self.now:
                process.record_write(state, sent, quiet_seconds=seconds)
        for waiting in (self.late_writes, self.late_answers):
            waiting[:] = [each for each in waiting if each[0] > self.now]


@pytest.mark.parametrize("seed", range(40))
def test_no_order_has_a_lower_fence_or_that_of_another_holder(seed):
    """Guards against a former tenure's fence after a write without answer."""
    drawn = DrawnLease(random.Random(seed))
    drawn.play(1500)
    holders = {}
    highest = 0
    for when, holder, fence in drawn.orders:
        assert holders.setdefault(fence, holder) == holder
        assert fence >= max(highest, 1), when
        highest = fence
    for (before, former, _), (after, later, _) in itertools.pairwise(
        drawn.orders
    ):
        assert former == later or after - before >= LEASE_SECONDS - 0.001


def in_era(era, revision, holder, *, written=None):
    """Returns a lease whose value names the era in which it was written."""
    value = {"holder": holder, "era": era if written is None else written}
    return registrations.Stored(
        name="orders", revision=revision, value=value, era=era
    )


def test_a_fencing_token_is_not_given_twice():
    """Guards against a repeated token after the store was restored."""
    mine = lease()
    mine.learn(in_era(1, 7, "a"), 0.0)
    mine.record_write(in_era(1, 8, "a"), 0.0)
    before = mine.fence
    mine.learn(in_era(2, 5, "a", written=1), 20.0)
    mine.record_write(in_era(2, 8, "a"), 20.0)
    assert mine.fence > before
    successor = lease("b")
    successor.learn(in_era(2, 8, "a"), 21.0)
    successor.record_write(in_era(2, 9, "b"), 30.0)
    assert successor.fence > mine.fence


def test_a_lower_revision_of_a_later_era_is_newer():
    """Guards against writes that expect a revision which the store lacks."""
    mine = lease()
    mine.learn(in_era(1, 70, "a"), 0.0)
    mine.learn(in_era(2, 5, "b", written=1), 10.0)
    assert (mine.revision, mine.held_by) == (5, "b")
    mine.learn(in_era(1, 71, "c"), 10.1)
    assert (mine.revision, mine.held_by) == (5, "b")


def test_after_a_restore_orders_wait_for_a_holder_that_was_forgotten():
    """Guards against orders beside those of a holder whose lease was lost."""
    for restored in (
        in_era(2, 5, "a", written=1),
        registrations.Absent(era=2),
    ):
        mine = lease()
        mine.learn(in_era(1, 70, "b"), 0.0)
        mine.learn(restored, 100.0)
        mine.record_write(in_era(2, 6, "a"), 100.1)
        quiet_until = 100.0 + leases.TERM_SECONDS + LEASE_SECONDS
        assert not mine.may_order(101.0)
        mine.record_write(in_era(2, 7, "a"), quiet_until)
        assert mine.may_order(quiet_until)


def test_a_holder_in_its_term_goes_on_over_a_restore():
    """Guards against a rollout that stands still although nobody else held."""
    mine = lease()
    mine.learn(in_era(1, 70, "a"), 0.0)
    mine.record_write(in_era(1, 71, "a"), 0.0)
    mine.learn(in_era(2, 5, "a", written=1), 1.0)
    assert mine.may_order(1.1)
    mine.record_write(in_era(2, 6, "a"), 1.2)
    assert mine.may_order(1.3)


def test_a_lease_that_was_written_in_this_era_needs_no_wait():
    """Guards against a rollout that waits 4.5 s after each restart."""
    mine = lease()
    mine.learn(in_era(2, 8, "a"), 50.0)
    mine.record_write(in_era(2, 9, "a"), 50.1)
    assert mine.may_order(50.2)


def test_a_write_that_matched_a_revision_of_another_era_gives_no_order():
    """Guards against a lease taken from a holder by a reused revision."""
    mine = lease()
    mine.learn(in_era(1, 70, "a"), 0.0)
    mine.record_write(in_era(2, 71, "a", written=1), 60.0)
    assert not mine.may_order(60.5)


def test_a_write_that_a_former_era_acknowledged_gives_no_term():
    """Guards against a term of which the store no longer knows."""
    mine = lease()
    mine.learn(in_era(2, 8, "b"), 0.0)
    mine.record_write(in_era(1, 90, "a"), 60.0)
    assert not mine.holds(60.1)
    assert mine.step(60.1) is leases.Step.READ


def test_a_quiet_time_of_another_writer_ends():
    """Guards against orders that nobody gives any more."""
    mine = lease("a")
    mine.learn(quiet(8, "b", 2**62), 10.0)
    most = leases.MAX_QUIET_WAITS * (leases.TERM_SECONDS + LEASE_SECONDS)
    mine.record_write(stored(9, "a"), 10.0 + most)
    assert mine.may_order(10.0 + most)
