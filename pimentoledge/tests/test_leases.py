"""Tests of the lease: orders of two holders must not be close in time."""

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
    mine.learn(None, 0.0)
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
    mine.merge_peer(7, "a", 40.0)
    mine.record_write(stored(8, "b"), 100.2)
    assert mine.may_order(100.3)


def test_a_holder_that_was_succeeded_gives_no_more_orders():
    mine = lease()
    mine.learn(None, 0.0)
    mine.record_write(stored(5, "a"), 0.0)
    mine.merge_peer(6, "b", 0.2)
    assert not mine.may_order(0.3)
    # A late report of an older revision changes nothing.
    mine.merge_peer(5, "a", 0.4)
    assert mine.held_by == "b"


def test_a_write_of_unknown_outcome_gives_no_term():
    mine = lease()
    mine.learn(None, 0.0)
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
