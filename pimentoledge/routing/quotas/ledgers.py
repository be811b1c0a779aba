"""Token buckets of an owner, filled by the rights that routers lend to it.

Limits belong to organisations, or to servers that advertise one.

Every router has a right to an equal part of each limit. The right is in one
ledger at a time: the router's own, or that of the owner it is lent to. A
ledger grants no more than its rights allow, so the sum over all ledgers never
exceeds the limit during any network partition. This is a bounded counter: a
CRDT whose replicas transfer rights to each other.
"""

import attrs
import xxhash

# Number of slots that organisations are hashed to. Each slot has one owner, so
# at most this many owners share the work, and a router lends its rights to no
# more routers than this.
SLOTS = 8
# Longest Retry-After sent to a refused client.
MAX_WAIT_SECONDS = 5.0
# A full pool that is unused for this long is dropped.
IDLE_SECONDS = 30.0
# Part of the tolerance that rights add as an allowance when they arrive at a
# ledger without history, so that a new owner can grant requests at once.
ALLOWANCE_SHARE = 1 / 3
# An allowance only counts for organisations with a request within this time:
# later the rights have earned more than the allowance.
ALLOWANCE_SECONDS = 2.0
# Part of the tolerance by which a request larger than a full pool may overdraw
# it. Without it, such a request could never run.
OVERDRAFT_SHARE = 1 / 6
# Part of the tolerance that a pool holds in addition to the burst. Prompts
# arrive in clusters, and one may be half of a small organisation's burst:
# requests within a window's limit must not be refused for arriving together.
HEADROOM_SHARE = 2 / 5
# A pool counts as full from this part of its capacity.
FULL_SHARE = 0.999


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """By how much the sum over all routers may exceed a limit.

    Attributes:
        window_seconds: length of the window in which usage is measured.
        over: permitted excess, as a part of what a limit allows in a window.
        slack: additional permitted excess, in the unit of the limits.
        longest_wait_seconds: longest wait returned with a refusal.
        rights_wait_seconds: wait returned with a refusal if only further
            rights can make room.
    """

    window_seconds: float = 8.0
    over: float = 0.0
    slack: float = 0.0
    longest_wait_seconds: float = MAX_WAIT_SECONDS
    rights_wait_seconds: float = MAX_WAIT_SECONDS

    def top(self, limit: "Limit") -> float:
        """Returns the capacity of a pool that has all rights."""
        return limit.burst + HEADROOM_SHARE * self.tolerance(limit)

    def tolerance(self, limit: "Limit") -> float:
        """Returns the permitted excess over a limit in one window."""
        allowed = limit.per_second * self.window_seconds + limit.burst
        return self.over * allowed + self.slack


# Bounds of the limits that servers advertise, in requests. A window may exceed
# a limit by half of it plus 5 requests; what these bounds leave of that is for
# requests in flight while a limit or an owner changes.
SERVER_BOUNDS = QuotaBounds(
    window_seconds=4.0,
    over=0.5,
    slack=3.0,
    longest_wait_seconds=10.0,
    rights_wait_seconds=2.0,
)
# Prefix of the names of servers' limits. No organisation's name contains a line
# break, because it is sent in a header.
SERVER_PREFIX = "\n"


@attrs.frozen(kw_only=True)
class Limit:
    """One limit, of an organisation or of a server.

    Attributes:
        version: version of the configuration that defines it; for a server's
            limit, the time at which it was received, in ms of clocks.now.
        per_second: its rate, in its unit.
        burst: amount that may be used at once.
        bounds: by how much it may be exceeded; None for the ledger's bounds.
    """

    version: int
    per_second: float
    burst: float
    bounds: QuotaBounds | None = None


def longest_window(bounds: QuotaBounds) -> float:
    """Returns the longest window of all limits, in seconds.

    Args:
        bounds: bounds of the organisations' limits.
    """
    return max(bounds.window_seconds, SERVER_BOUNDS.window_seconds)


def server_limit(per_second: float, received_at: float) -> Limit:
    """Returns the limit that a server advertised.

    Args:
        per_second: requests a second.
        received_at: when it was received, in seconds of clocks.now.
    """
    return Limit(
        version=int(1000 * received_at),
        per_second=per_second,
        burst=0.0,
        bounds=SERVER_BOUNDS,
    )


@attrs.frozen(kw_only=True)
class Decision:
    """A ledger's decision on a request.

    Attributes:
        granted: whether it may run.
        wait_seconds: if refused, time until there is room for it; None if
            there never will be.
        left: level of the pool before the request, in the limit's unit.
        share: part of all rights that the ledger has.
    """

    granted: bool
    wait_seconds: float | None = None
    left: float = 0.0
    share: float = 0.0


@attrs.define(kw_only=True)
class RightsLease:
    """A lease of a router's rights to a ledger.

    Attributes:
        share: part of each limit.
        until: when the lease expires.
    """

    share: float
    until: float


@attrs.define(kw_only=True)
class Allowance:
    """An initial credit that a router's rights add to a slot once.

    Attributes:
        share: part of the whole allowance.
        at: when it was added.
        lapsed: whether it is too old for pools that have not counted it.
    """

    share: float
    at: float
    lapsed: bool = False


@attrs.define(kw_only=True)
class QuotaPool:
    """Token bucket of one organisation's limit in a ledger.

    Attributes:
        limit: the newest version known.
        level: tokens left, in the limit's unit; below zero after a request
            that was larger than the pool.
        earned: the slot's `earned` that is included in `level`.
        brought: the slot's `brought` that is included in `level`.
        promised_until: refills before this time are promised to refused
            clients, by the waits that they received.
        used_at: time of the last request for it.
    """

    limit: Limit
    level: float
    earned: float
    brought: float
    promised_until: float = 0.0
    used_at: float = 0.0


class Slot:
    """The rights of one slot and the pools that they fill.

    Attributes:
        bounds: by how much a limit may be exceeded.
        leases: leased rights by router.
        share: sum of the shares of all leases.
        earned: integral of `share` over time, in share-seconds.
        brought: sum of the shares of all allowances added so far.
        lapsed: the part of `brought` whose allowances have lapsed.
        allowances: allowances of the last window by router.
        pools: pools by organisation.
    """

    def __init__(self, *, bounds: QuotaBounds):
        self.bounds = bounds
        self.leases: dict[str, RightsLease] = {}
        self.share = 0.0
        self.earned = 0.0
        self.brought = 0.0
        self.lapsed = 0.0
        self.allowances: dict[str, Allowance] = {}
        self.pools: dict[str, QuotaPool] = {}
        self._counted_at = 0.0
        # Lower bound of the expiry times; renewed leases may expire later.
        self._lapses_at = float("inf")
        # Share before its last change, and the share-seconds earned with it:
        # the initial level of a new pool includes these.
        self._before_change = (0.0, 0.0)
        self._earned_at_change = 0.0

    @property
    def window_seconds(self) -> float:
        """The longest window of all limits."""
        return longest_window(self.bounds)

    def advance(self, now: float) -> None:
        """Accumulates `earned` up to `now`."""
        self.earned += self.share * max(0.0, now - self._counted_at)
        self._counted_at = max(now, self._counted_at)

    def put(
        self, router: str, lease: RightsLease, *, allowance: bool, now: float
    ) -> None:
        """Adds or replaces a router's lease."""
        self.advance(now)
        if allowance:
            self.add_allowance(router, lease.share, now)
        previous = self.leases.get(router)
        self.leases[router] = lease
        self._lapses_at = min(self._lapses_at, lease.until)
        if previous is None or previous.share != lease.share:
            self._update_share()

    def add_allowance(self, router: str, share: float, now: float) -> None:
        """Adds a router's allowance, unless it added one in this window.

        A message may be repeated, and a restarted router has no record of the
        allowances of its former process.
        """
        previous = self.allowances.get(router)
        if previous is not None and now - previous.at < self.window_seconds:
            return
        if previous is not None:
            self._lapse(previous)
        self.allowances[router] = Allowance(share=share, at=now)
        self.brought += share

    def withdraw_allowance(self, router: str) -> None:
        """Removes a router's allowance, which no pool has counted."""
        allowance = self.allowances.pop(router, None)
        if allowance is not None and not allowance.lapsed:
            self.brought -= allowance.share

    def _lapse(self, allowance: Allowance) -> None:
        if not allowance.lapsed:
            allowance.lapsed = True
            self.lapsed += allowance.share

    def _lapse_old(self, now: float) -> None:
        for router, each in list(self.allowances.items()):
            if now - each.at >= ALLOWANCE_SECONDS:
                self._lapse(each)
            in_window = now - each.at < self.window_seconds
            if each.lapsed and not in_window:
                del self.allowances[router]

    def remove(self, router: str, now: float) -> None:
        """Removes a router's rights and their part of the pools' levels."""
        if router not in self.leases:
            return
        self.advance(now)
        self._refill_all()
        removed = self.leases.pop(router)
        kept = 1 - removed.share / self.share if self.share else 0.0
        for pool in self.pools.values():
            if pool.level > 0:
                pool.level *= max(0.0, kept)
        self._update_share()

    def expire_leases(self, now: float) -> None:
        """Removes expired leases."""
        if now < self._lapses_at:
            return
        for router in [
            name for name, each in self.leases.items() if now >= each.until
        ]:
            self.remove(router, now)
        self._lapses_at = min(
            (each.until for each in self.leases.values()), default=float("inf")
        )

    def expire(self, now: float) -> None:
        """Removes expired leases and allowances, and idle pools."""
        self.expire_leases(now)
        self.advance(now)
        self._lapse_old(now)
        for name, pool in list(self.pools.items()):
            if now - pool.used_at < IDLE_SECONDS:
                continue
            self._refill(pool)
            if self.is_full(pool):
                del self.pools[name]

    def _refill_all(self) -> None:
        for pool in self.pools.values():
            self._refill(pool)

    def _update_share(self) -> None:
        share = sum(each.share for each in self.leases.values())
        earned = self.earned - self._earned_at_change
        if share < self.share:
            earned *= share / self.share
        self._before_change = (min(share, self.share), earned)
        self._earned_at_change = self.earned
        self.share = share

    def _refill(self, pool: QuotaPool) -> None:
        """Adds what the rights have earned since the last refill.

        A level above the capacity, reached by an allowance, is kept.
        """
        rate = pool.limit.per_second
        refill = rate * (self.earned - pool.earned)
        pool.earned = self.earned
        self.add(pool, refill)

    def add(self, pool: QuotaPool, tokens: float) -> None:
        """Adds tokens to a pool, up to its capacity."""
        top = self.top(pool)
        pool.level = max(pool.level, min(pool.level + tokens, top))

    def bounds_of(self, limit: Limit) -> QuotaBounds:
        """Returns by how much a limit may be exceeded."""
        return limit.bounds or self.bounds

    def top(self, pool: QuotaPool) -> float:
        """Returns the capacity of a pool with the slot's rights."""
        return self.bounds_of(pool.limit).top(pool.limit) * self.share

    def is_full(self, pool: QuotaPool) -> bool:
        """Returns whether a pool is at its capacity."""
        return pool.level >= FULL_SHARE * self.top(pool)

    def pool(self, organisation: str, limit: Limit, now: float) -> QuotaPool:
        """Returns an organisation's pool, refilled up to `now`."""
        self.advance(now)
        pool = self.pools.get(organisation)
        if pool is None:
            pool = QuotaPool(
                limit=limit,
                level=self._initial_level(limit),
                earned=self.earned,
                brought=0.0,
            )
            self.pools[organisation] = pool
        self._refill(pool)
        if limit.version > pool.limit.version:
            pool.limit = limit
            pool.level = min(pool.level, self.top(pool))
        self._add_new_allowances(pool)
        pool.used_at = now
        return pool

    def _add_new_allowances(self, pool: QuotaPool) -> None:
        """Adds the allowances since the last request for a pool."""
        share = self.brought - max(pool.brought, self.lapsed)
        tolerance = self.bounds_of(pool.limit).tolerance(pool.limit)
        allowance = ALLOWANCE_SHARE * tolerance
        pool.level += allowance * min(1.0, max(0.0, share))
        pool.brought = self.brought

    def _initial_level(self, limit: Limit) -> float:
        """Returns the level of a new pool: nothing of it has been used here."""
        share, earned = self._before_change
        top, rate = self.bounds_of(limit).top(limit), limit.per_second
        before = min(top * share, rate * earned)
        since = rate * (self.earned - self._earned_at_change)
        return min(top * self.share, before + since)


class Ledger:
    """All slots of one router.

    Attributes:
        bounds: by how much a limit may be exceeded.
        slots: slots by number.
    """

    def __init__(self, *, bounds: QuotaBounds):
        self.bounds = bounds
        self.slots = [Slot(bounds=bounds) for _ in range(SLOTS)]

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replaces the bounds of all slots."""
        self.bounds = bounds
        for each in self.slots:
            each.bounds = bounds

    def acquire(
        self, organisation: str, limit: Limit, cost: float, now: float
    ) -> Decision:
        """Decides on a request, and counts it if it may run."""
        slot = self.slots[slot_of(organisation)]
        slot.expire_leases(now)
        pool = slot.pool(organisation, limit, now)
        left = pool.level
        if self._has_room(slot, pool, cost):
            pool.level -= cost
            return Decision(granted=True, left=left, share=slot.share)
        return Decision(
            granted=False,
            wait_seconds=self._wait_seconds(slot, pool, cost, now),
            left=left,
            share=slot.share,
        )

    def _has_room(self, slot: Slot, pool: QuotaPool, cost: float) -> bool:
        if pool.level >= cost:
            return True
        return slot.is_full(pool) and cost <= self._largest_request(slot, pool)

    def _largest_request(self, slot: Slot, pool: QuotaPool) -> float:
        """Returns the largest cost that a full pool grants."""
        tolerance = slot.bounds_of(pool.limit).tolerance(pool.limit)
        overdraft = OVERDRAFT_SHARE * tolerance * slot.share
        return slot.top(pool) + overdraft

    def _wait_seconds(
        self, slot: Slot, pool: QuotaPool, cost: float, now: float
    ) -> float | None:
        """Returns how long until a refused request fits, or None if never.

        Successive refusals get successive times, so that the refused clients
        do not return at once.
        """
        bounds = slot.bounds_of(pool.limit)
        longest = bounds.longest_wait_seconds
        rate = pool.limit.per_second * slot.share
        if cost > self._largest_request(slot, pool):
            # Only further rights can make room for it.
            return None if slot.share >= 1 else bounds.rights_wait_seconds
        if not rate:
            return longest
        start = now + (min(cost, slot.top(pool)) - pool.level) / rate
        if pool.promised_until > now:
            start = max(start, pool.promised_until + cost / rate)
        start = min(start, now + longest)
        pool.promised_until = start
        return start - now

    def give_back(self, organisation: str, cost: float, now: float) -> None:
        """Refunds the cost of a granted request that never ran."""
        slot = self.slots[slot_of(organisation)]
        pool = slot.pools.get(organisation)
        if pool is None:
            return
        slot.advance(now)
        slot.add(pool, cost)

    def expire(self, now: float) -> None:
        """Removes everything that has expired."""
        for each in self.slots:
            each.expire(now)

    def remove(self, router: str, now: float) -> None:
        """Removes all rights of a router."""
        for each in self.slots:
            each.remove(router, now)


def slot_of(organisation: str) -> int:
    """Returns the slot that an organisation is hashed to."""
    return xxhash.xxh3_64_intdigest(organisation.encode()) % SLOTS
