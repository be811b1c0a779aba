"""Tests of organisations' limits over many routers: grants and refusals."""

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from benches import quota_ways
from benches import quotas
from pimentoledge.routing import router_responses
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.quotas import messages

LIMIT = ledgers.Limit(version=1, per_second=1000.0, burst=1000.0)
BOUNDS = ledgers.QuotaBounds(window_seconds=8.0, over=0.1, slack=600.0)
TOP = BOUNDS.top(LIMIT)
# Largest part of the requests below the limits that may be refused in runs
# without faults.
MOST_BELOW = 0.003


def simulate(case, *, routers=22, seed=1, seconds=24.0, **more):
    world = quotas.World(
        limiter_class=quota_ways.LIMITERS["lent rights"],
        routers=routers,
        case=case,
        seed=seed,
        **more,
    )
    return world.run(seconds=seconds)


@pytest.mark.parametrize("routers", [3, 22, 68])
def test_requests_below_the_limits_are_not_refused(routers):
    """Guards against refusals below a limit when all load is below limits."""
    result = simulate(quotas.CASES["calm"], routers=routers, seconds=12.0)
    assert result.refused_below_limit < MOST_BELOW
    assert result.worst_ratio < 1


@pytest.mark.parametrize("name", ["hot", "hot-one"])
def test_a_hot_organisation_gets_its_limit_and_no_more(name):
    """Guards against an organisation that gets 2.1 times its limit."""
    result = simulate(quotas.CASES[name])
    assert result.refused_below_limit < MOST_BELOW
    assert result.worst_ratio < 1


@pytest.mark.parametrize(
    "name",
    [
        "hot-alone",
        "hot-halves",
        "hot-one-way",
        "hot-kills",
        "hot-owner-dies",
        "hot-rolling",
    ],
)
def test_no_fault_lets_more_run_than_the_limit(name):
    """Guards against a limit that is used twice.

    Both sides of a network partition, or a router before and after its restart,
    may use it.
    """
    assert simulate(quotas.CASES[name]).worst_ratio < 1


def test_a_lowered_limit_binds_a_window_later():
    """Guards against an owner that continues with the older configuration."""
    world = quotas.World(
        limiter_class=quota_ways.LIMITERS["lent rights"],
        routers=22,
        case=quotas.CASES["hot-lowered"],
    )
    world.run(seconds=26.0)
    first = world.organisations[0]
    third = attrs.evolve(
        first, per_second=first.per_second / 3, burst=first.burst / 3
    )
    binds = 4.0 + 12.0 + quotas.WINDOW_SECONDS
    later = [
        each for each in world.executed[first.name] if each.executed_at > binds
    ]
    assert later
    assert quotas.worst_window_ratio(third, later) < 1


def test_an_owner_that_dies_costs_its_organisations_little():
    """Guards against refusals of a limit until its owner is back."""
    result = simulate(quotas.CASES["owner-dies"])
    assert result.refused_below_limit < 0.05


def test_rights_of_routers_that_were_killed_are_not_spent_twice():
    """Guards against full buckets after restarts, twice within a window."""
    case = attrs.evolve(
        quotas.CASES["hot-kills"], kill_all_at=(9.0, 11.5, 14.0, 16.5)
    )
    assert simulate(case).worst_ratio < 1


@settings(max_examples=15, deadline=None)
@given(
    seed=strategies.integers(0, 10**6),
    routers=strategies.sampled_from([3, 8, 22]),
    hot=strategies.floats(1.0, 12.0),
    share=strategies.floats(0.1, 0.7),
    begins=strategies.floats(4.0, 9.0),
    lasts=strategies.floats(0.3, 9.0),
    alone=strategies.booleans(),
    one_way=strategies.booleans(),
    kills=strategies.lists(strategies.floats(5.0, 16.0), max_size=2),
    lowered=strategies.sampled_from([0.0, 9.0]),
)
def test_the_sum_over_routers_stays_below_the_limit(
    seed, routers, hot, share, begins, lasts, alone, one_way, kills, lowered
):
    """Guards against rights added by any sequence of faults and changes."""
    case = quotas.Case(
        name="drawn",
        hot_load=(hot, 3.0, 18.0),
        partition=(share, begins, begins + lasts),
        isolated=alone,
        one_way=one_way,
        kill_all_at=tuple(kills),
        lowered_at=lowered,
    )
    result = simulate(case, routers=routers, seed=seed, seconds=18.0)
    assert result.worst_ratio < 1


class TestLedger:
    """An owner's ledger."""

    def ledger(self, shares=(1.0,), filled=True):
        ledger = ledgers.Ledger(bounds=BOUNDS)
        for number, share in enumerate(shares):
            lease = ledgers.RightsLease(share=share, until=1e9)
            for slot in ledger.slots:
                slot.put(f"r{number}", lease, allowance=False, now=0.0)
        if filled:
            ledger.expire(10.0)
        return ledger

    def spend(self, ledger, now, cost=100.0, name="acme"):
        """Acquires until a refusal; returns how much was granted."""
        granted = 0.0
        while ledger.acquire(name, LIMIT, cost, now).granted:
            granted += cost
        return granted

    def test_new_rights_have_earned_nothing(self):
        """Guards against full pools at a new owner."""
        ledger = self.ledger(filled=False)
        assert not ledger.acquire("acme", LIMIT, 100.0, 0.0).granted
        assert self.spend(ledger, 0.5) == pytest.approx(500.0, abs=100)

    def test_a_pool_fills_to_its_top_and_no_further(self):
        ledger = self.ledger()
        assert self.spend(ledger, 10.0) == pytest.approx(TOP, abs=100)
        assert self.spend(ledger, 60.0) == pytest.approx(TOP, abs=100)

    def test_part_of_the_rights_earns_that_part(self):
        ledger = self.ledger(shares=(0.25,))
        assert self.spend(ledger, 10.0, 10.0) == pytest.approx(TOP / 4, abs=20)

    def test_removed_rights_take_their_part_of_the_level(self):
        """Guards against the same tokens at an owner and its former lender."""
        ledger = self.ledger(shares=(0.5, 0.5))
        ledger.acquire("acme", LIMIT, 1.0, 10.0)
        ledger.remove("r1", 10.0)
        assert self.spend(ledger, 10.0, 10.0) <= TOP / 2

    def test_an_unused_allowance_lapses(self):
        """Guards against a whole allowance that is counted much later."""
        ledger = self.ledger(shares=())
        slot = ledger.slots[ledgers.slot_of("acme")]
        lease = ledgers.RightsLease(share=1.0, until=5.0)
        slot.put("r0", lease, allowance=True, now=0.0)
        ledger.expire(5.0)
        part = ledgers.RightsLease(share=0.1, until=1e9)
        slot.put("r0", part, allowance=False, now=5.0)
        ledger.expire(40.0)
        assert self.spend(ledger, 40.0, 10.0) <= TOP / 10

    def test_rights_expire(self):
        ledger = ledgers.Ledger(bounds=BOUNDS)
        lease = ledgers.RightsLease(share=1.0, until=5.0)
        for slot in ledger.slots:
            slot.put("r0", lease, allowance=False, now=0.0)
        ledger.expire(5.0)
        assert not ledger.acquire("acme", LIMIT, 1.0, 6.0).granted

    def test_expired_rights_grant_nothing_before_a_tick(self):
        """Guards against a router that uses expired rights after a pause."""
        ledger = ledgers.Ledger(bounds=BOUNDS)
        for name, until in (("r0", 5.0), ("r1", 5.0), ("r1", 20.0)):
            lease = ledgers.RightsLease(share=0.5, until=until)
            for slot in ledger.slots:
                slot.put(name, lease, allowance=False, now=0.0)
        assert ledger.acquire("acme", LIMIT, 0.0, 4.9).share == 1.0
        assert ledger.acquire("acme", LIMIT, 0.0, 5.1).share == 0.5
        assert ledger.acquire("acme", LIMIT, 0.0, 20.1).share == 0.0

    def test_a_request_larger_than_the_pool_runs_when_it_is_full(self):
        """Guards against a prompt that can never run."""
        ledger = self.ledger()
        assert ledger.acquire("acme", LIMIT, TOP + 200, 10.0).granted
        assert not ledger.acquire("acme", LIMIT, 10.0, 10.1).granted
        refused = ledger.acquire("acme", LIMIT, TOP + 200, 10.1)
        until_full = (TOP + 100) / LIMIT.per_second
        promised = 0.11 + 10.0 / LIMIT.per_second
        assert until_full <= refused.wait_seconds < until_full + 2 * promised

    def test_a_request_larger_than_any_pool_gets_no_wait(self):
        ledger = self.ledger()
        decision = ledger.acquire("acme", LIMIT, 10 * TOP, 10.0)
        assert not decision.granted
        assert decision.wait_seconds is None

    def test_a_request_too_large_for_part_of_the_rights_waits_for_more(self):
        """Guards against a refusal with too short a wait."""
        ledger = self.ledger(shares=(0.6,))
        refused = ledger.acquire("acme", LIMIT, 0.95 * TOP, 10.0)
        assert not refused.granted
        assert refused.wait_seconds == BOUNDS.longest_wait_seconds

    def test_a_request_that_never_ran_is_refunded(self):
        ledger = self.ledger()
        spent = self.spend(ledger, 10.0)
        ledger.give_back("acme", 300.0, 10.0)
        assert self.spend(ledger, 10.0) == 300.0
        ledger.give_back("acme", 10 * spent, 10.0)
        assert self.spend(ledger, 10.0) <= TOP

    def test_refused_clients_get_successive_waits(self):
        """Guards against all refused clients coming back at once."""
        ledger = self.ledger()
        self.spend(ledger, 10.0)
        waits = [
            ledger.acquire("acme", LIMIT, 200.0, 10.0).wait_seconds
            for _ in range(4)
        ]
        apart = 200.0 / LIMIT.per_second
        for one, next_one in zip(waits, waits[1:], strict=False):
            assert next_one - one == pytest.approx(apart)

    def test_a_client_that_returns_after_the_wait_finds_room(self):
        """Guards against a Retry-After before there is room."""
        ledger = self.ledger()
        self.spend(ledger, 10.0)
        wait = ledger.acquire("acme", LIMIT, 500.0, 10.0).wait_seconds
        assert ledger.acquire("acme", LIMIT, 500.0, 10.0 + wait).granted

    def test_an_older_limit_does_not_replace_a_newer_one(self):
        """Guards against a router with an older configuration."""
        ledger = self.ledger()
        ledger.acquire("acme", attrs.evolve(LIMIT, version=3), 1.0, 10.0)
        higher = attrs.evolve(LIMIT, version=2, burst=1e6, per_second=1e6)
        assert not ledger.acquire("acme", higher, 5000.0, 60.0).granted

    def test_other_organisations_are_not_affected(self):
        ledger = self.ledger()
        self.spend(ledger, 10.0, name="acme")
        assert self.spend(ledger, 10.0, name="zebra") > 0


class TestLimiters:
    """Two or three routers whose messages the test delivers."""

    def build(self, count=2):
        self.mail = []
        self.now = 100.0
        self.limiters = {}
        self.share = 1 / count
        self.names = [f"tcp://r{number}" for number in range(count)]
        # Isolated routers, which have no contact to others.
        self.isolated = set()
        for name in self.names:
            self.start(name)
        self.dead = set()

    def start(self, name, life=1):
        """Starts a router without any state."""
        self.limiters[name] = limiters.Limiter(
            own=name,
            life=life,
            bounds=BOUNDS,
            share=lambda now: self.share,
            routers=lambda now: self.known(name),
            send=lambda to, message: self.mail.append((name, to, message)),
        )

    def known(self, name):
        """Returns the other routers that a router considers alive."""
        if name in self.isolated:
            return []
        return [
            each
            for each in self.names
            if each != name and each not in self.isolated
        ]

    def run(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            for name, each in self.limiters.items():
                if name not in self.dead:
                    each.tick(self.now)
            self.deliver()

    def deliver(self):
        while self.mail:
            sender, to, message = self.mail.pop(0)
            if not {to, sender} & (self.dead | self.isolated):
                self.limiters[to].handle(sender, message, self.now)

    def acquire(self, name, cost=100.0, limit=LIMIT):
        results = []
        number = self.limiters[name].acquire(
            "acme", limit, cost, self.now, results.append
        )
        return results, number

    @pytest.mark.parametrize(
        "lost", [messages.LeaseRights, messages.RightsLeased]
    )
    def test_connections_on_which_rights_get_lost_are_reopened(self, lost):
        """Guards against owners left unused due to a silent connection."""
        self.build(2)
        renewed = set()
        for name, each in self.limiters.items():
            each.renew = lambda to, now, name=name: renewed.add((name, to))
        self.run(3.0)
        assert not renewed
        for each in self.limiters.values():
            handle = each.handle
            each.handle = lambda sender, message, now, handle=handle: (
                None
                if isinstance(message, lost)
                else handle(sender, message, now)
            )
        self.run(8.0)
        lenders = {name for name, _ in renewed}
        assert lenders
        if lost is messages.RightsLeased:
            # The receiver, whose answers get lost, also reopens it.
            assert {(to, name) for name, to in renewed} == renewed

    def left(self, name):
        """Returns the level of the limit's pool at an owner."""
        decision = self.limiters[name].ledger.acquire(
            "acme", LIMIT, 0.0, self.now
        )
        return decision.left

    def spend(self, name):
        """Uses the allowance that rights add to a full pool."""
        self.limiters[name].ledger.acquire("acme", LIMIT, 900.0, self.now)

    def owner(self):
        slot = ledgers.slot_of("acme")
        for name, each in self.limiters.items():
            if each.ledger.slots[slot].share == pytest.approx(1.0):
                return name
        return None

    def other(self):
        return next(each for each in self.limiters if each != self.owner())

    def test_all_rights_of_a_slot_are_lent_to_one_owner(self):
        self.build(3)
        self.run(2.0)
        assert self.owner()

    def test_each_router_brings_its_part_of_the_allowance_once(self):
        """Guards against an allowance that a new owner gets twice."""
        self.build(3)
        self.run(3.0)
        slot = self.limiters[self.owner()].ledger.slots[ledgers.slot_of("acme")]
        assert slot.brought <= 1.001

    def test_an_owner_whose_answer_came_late_is_chosen_again(self):
        """Guards against rights split for 2 s after a connection is slow."""
        self.build()
        for _ in range(20):
            self.now += 0.05
            for each in self.limiters.values():
                each.tick(self.now)
        self.deliver()
        self.run(0.6)
        assert self.owner()

    def brought(self):
        """Returns the sum of the allowances in all ledgers."""
        slot = ledgers.slot_of("acme")
        return sum(
            each.ledger.slots[slot].brought for each in self.limiters.values()
        )

    def test_an_owner_that_shuts_down_passes_no_allowance_on(self):
        """Guards against one allowance for each of two owners."""
        self.build(3)
        self.run(3.0)
        before = self.brought()
        self.limiters[self.owner()].leave(self.now)
        self.run(3.0)
        assert self.brought() == pytest.approx(before)

    def test_the_next_owner_of_a_dead_one_gets_no_second_allowance(self):
        """Guards against a new allowance each time an owner dies."""
        self.build(3)
        self.run(3.0)
        before = self.brought()
        self.dead.add(self.owner())
        self.run(4.0)
        assert self.brought() == pytest.approx(before)

    def test_a_restarted_owner_gets_no_second_allowance_of_others(self):
        """Guards against new allowances of all when an owner restarts."""
        self.build(3)
        self.run(1.0)
        owner = self.owner()
        before = self.brought()
        lost = self.limiters[owner].ledger.slots[ledgers.slot_of("acme")]
        self.dead.add(owner)
        self.run(2.0)
        self.dead.clear()
        self.start(owner, life=2)
        self.run(4.0)
        assert self.owner() == owner
        assert self.brought() <= before - lost.brought + self.share + 0.001

    def test_a_router_that_restarts_brings_an_owner_no_second_allowance(self):
        """Guards against a new allowance each time a lender restarts."""
        self.build(3)
        self.run(3.0)
        other = self.other()
        before = self.brought()
        self.start(other, life=2)
        self.run(3.0)
        assert self.brought() == pytest.approx(before)

    def test_a_router_that_comes_back_brings_no_second_allowance(self):
        """Guards against a new allowance after each short partition."""
        self.build(3)
        self.run(3.0)
        before = self.brought()
        self.isolated.add(self.other())
        self.run(2.0)
        self.isolated.clear()
        self.run(2.0)
        assert self.brought() == pytest.approx(before)

    def test_an_allowance_that_moves_is_not_kept_by_the_lender(self):
        """Guards against one allowance both at the lender and at the owner."""
        self.build(3)
        self.isolated.update(self.names)
        self.run(1.0)
        self.isolated.clear()
        self.run(3.0)
        assert self.brought() <= 1.001

    def test_a_changed_number_of_routers_brings_no_allowance(self):
        """Guards against an allowance for rights that already had one."""
        self.build(3)
        self.run(20.0)
        before = self.brought()
        self.share = 1 / 4
        self.run(1.0)
        assert self.brought() == pytest.approx(before)

    def test_an_allowance_whose_message_was_lost_is_brought_again(self):
        """Guards against an owner that starts without an allowance."""
        self.build(3)
        for each in self.limiters.values():
            each.tick(self.now)
        self.mail.clear()
        self.run(3.0)
        assert self.brought() == pytest.approx(1.0)

    def test_an_answer_that_comes_too_late_is_given_back(self):
        """Guards against tokens lost by a late grant of a slow owner."""
        self.build()
        self.run(3.0)
        owner, other = self.owner(), self.other()
        self.spend(owner)
        self.acquire(other)
        held, self.mail = self.mail, []
        self.run(0.4)
        before = self.left(owner)
        self.mail = held
        self.deliver()
        assert self.left(owner) == pytest.approx(before)

    def test_a_client_that_left_gives_back_what_it_was_granted(self):
        """Guards against tokens lost by requests that were never sent."""
        self.build()
        self.run(3.0)
        owner, other = self.owner(), self.other()
        self.spend(owner)
        before = self.left(owner)
        results, number = self.acquire(other)
        self.limiters[other].cancel(number)
        self.deliver()
        assert not results
        assert self.left(owner) == before

    def test_a_router_that_retries_after_the_wait_of_an_owner_is_granted(self):
        """Guards against a wait that ends before there is room.

        The owner sends its wait in whole milliseconds. If it is rounded down,
        a router that retries exactly after it comes up to 1 ms too early, is
        refused again, and gets a second wait.
        """
        self.build()
        self.run(3.0)
        other = self.other()
        limit = ledgers.server_limit(3.0, self.now)
        decision = ledgers.Decision(granted=True)
        while decision.granted:
            results, _ = self.acquire(other, cost=1.0, limit=limit)
            self.deliver()
            [decision] = [each.decision for each in results]
        self.now += decision.wait_seconds
        results, _ = self.acquire(other, cost=1.0, limit=limit)
        self.deliver()
        [decision] = [each.decision for each in results]
        assert decision.granted

    def test_a_silent_owner_delays_a_request_briefly(self):
        """Guards against requests that wait for a dead owner."""
        self.build()
        self.run(3.0)
        other = self.other()
        self.dead.add(self.owner())
        results, _ = self.acquire(other, cost=10.0)
        self.run(2 * limiters.ANSWER_SECONDS + 0.1)
        assert results

    def test_a_silent_owner_is_replaced_by_the_next_owner(self):
        """Guards against refusals until the leases of a dead owner expire."""
        self.build(3)
        self.run(10.0)
        owner = self.owner()
        others = [each for each in self.limiters if each != owner]
        self.dead.add(owner)
        results, _ = self.acquire(others[0], cost=50.0)
        self.run(limiters.ANSWER_SECONDS + 0.11)
        assert [each.decision.granted for each in results] == [True]
        assert results[0].owner in others

    def test_a_router_that_has_just_started_uses_the_owner_at_once(self):
        """Guards against refusals just after a router starts."""
        self.build(3)
        self.run(10.0)
        owner, other = self.owner(), self.other()
        fresh = limiters.Limiter(
            own=other,
            life=2,
            bounds=BOUNDS,
            share=lambda now: 0.0,
            routers=lambda now: [owner],
            send=lambda to, message: self.mail.append((other, to, message)),
        )
        self.limiters[other] = fresh
        results, _ = self.acquire(other, cost=50.0)
        self.deliver()
        assert [each.decision.granted for each in results] == [True]

    def test_an_answer_to_an_earlier_process_is_not_taken(self):
        """Guards against a grant for a cost that another request had."""
        self.build(3)
        self.run(10.0)
        other = self.other()
        # Both processes start anew, so that each sends its first acquire.
        self.start(other)
        self.acquire(other, cost=1.0)
        while self.mail[0][1] != other:
            sender, to, message = self.mail.pop(0)
            self.limiters[to].handle(sender, message, self.now)
        self.start(other, life=2)
        results, _ = self.acquire(other, cost=50.0)
        sender, to, message = self.mail.pop(0)
        assert isinstance(message, messages.Acquired)
        self.limiters[to].handle(sender, message, self.now)
        assert not results
        self.deliver()
        assert len(results) == 1

    def test_an_owner_that_shuts_down_is_replaced_at_once(self):
        """Guards against limits without an owner during a rolling restart."""
        self.build()
        self.run(3.0)
        owner, other = self.owner(), self.other()
        self.limiters[owner].leave(self.now)
        self.deliver()
        assert self.limiters[other].rights.locations[
            ledgers.slot_of("acme")
        ].owner in (other, owner)
        self.run(0.3)
        results, _ = self.acquire(other, cost=10.0)
        self.deliver()
        assert results

    def test_an_owner_that_shuts_down_grants_by_no_rights_of_others(self):
        """Guards against rights used by both an owner and their lender.

        The lender takes them back when the owner shuts down.
        """
        self.build(3)
        self.run(10.0)
        owner, other = self.owner(), self.other()
        self.limiters[owner].leave(self.now)
        self.mail.clear()
        slot = self.limiters[owner].ledger.slots[ledgers.slot_of("acme")]
        assert slot.share <= 1 / 3
        results, _ = self.acquire(other, cost=900.0)
        self.deliver()
        assert not any(
            each.decision.granted and each.owner == owner for each in results
        )

    def test_rights_lent_by_an_old_message_are_not_used(self):
        """Guards against a message that a partition delayed for seconds."""
        self.build()
        self.run(3.0)
        owner, other = self.owner(), self.other()
        self.limiters[other].tick(self.now + 0.3)
        held, self.mail = self.mail, []
        self.now += 5.0
        self.limiters[owner].ledger.expire(self.now)
        self.mail = held
        self.deliver()
        slot = self.limiters[owner].ledger.slots[ledgers.slot_of("acme")]
        assert other not in slot.leases


def test_the_longest_wait_is_spread():
    """Guards against clients that return together after the longest wait."""
    longest = ledgers.MAX_WAIT_SECONDS
    waits = {router_responses.limit_retry_seconds(longest) for _ in range(20)}
    assert len(waits) > 10
    assert router_responses.limit_retry_seconds(0.7) == 0.7
    assert router_responses.limit_retry_seconds(None) is None
