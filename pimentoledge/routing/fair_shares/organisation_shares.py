"""Shares of services' capacity by organisation, over all routers."""

from collections.abc import Iterable
import math
import statistics

import attrs

from pimentoledge.routing import configurations
from pimentoledge.routing.fair_shares import served_rates
from pimentoledge.routing.fair_shares import service_usages
from pimentoledge.routing.fair_shares import share_counters
from pimentoledge.routing.fair_shares import standings

# Interval at which the level of shares is computed: the counters change by
# less than a tenth in this time, and it takes up to half a millisecond.
LEVEL_SECONDS = 0.25
# The counters of another router count for this long after its last report.
EXPIRY_SECONDS = 3.0
# Organisations in a report of some 20 bytes each, the largest first.
MAX_REPORTED = 64
# Organisations of a service with counters; the smallest are forgotten.
MAX_COUNTED = 1024
# For this long after a request had no place, capacity counts as scarce, and an
# organisation below its share that sent it as wanting capacity.
SHORTAGE_SECONDS = 1.0
# Organisations below their shares want capacity if they together receive more
# than this part of all service. At 0.02, one that sent a fiftieth lost its
# reserve whenever it was refused a few times.
MIN_BELOW_SHARE = 0.004

# Part of capacity kept for organisations below their shares, as a multiple of
# the square root of their part of all service: the requests of small ones vary
# by the square root of their number. A fixed reserve left an eighth of the
# capacity idle beside one small organisation that was served completely.
RESERVE_FACTOR = 0.25

# Service, organisation, mean tokens of memory (or units of slots), and prompt
# tokens per second.
Report = list[tuple[str, str, int, int]]


@attrs.define(kw_only=True)
class _ServiceShares:
    """The counters of one service and the level of shares.

    Attributes:
        counters: the counters by organisation.
        memory: tokens of memory of the servers, or None if unknown.
        prefill: prompt tokens per second that they prefill, or None if unknown.
        capacity: the capacity that dominant shares are parts of.
        level: what organisations are entitled to.
        level_at: time of the level.
        active: number of organisations that have received service.
        below: part of all service that those below their shares receive.
        short_until: until when capacity is scarce for requests refused.
        below_until: until when one below its share wants capacity.
        usage: use of the servers.
        usage_at: time of the usage.
    """

    counters: dict[str, share_counters.ShareCounter] = attrs.field(factory=dict)
    memory: float | None = None
    prefill: float | None = None
    capacity: share_counters.Capacity = share_counters.Capacity(
        memory=1.0, prefill=1.0
    )
    level: standings.ShareLevel = standings.ShareLevel()
    level_at: float = -1e9
    active: int = 0
    below: float = 0.0
    short_until: float = -1e9
    below_until: float = -1e9
    usage: service_usages.ServiceUsage = service_usages.ServiceUsage()
    usage_at: float = -1e9


class FairShares:
    """Counts what organisations receive, here and at other routers.

    Attributes:
        weights: weights of organisations with a limit; 1 for the others.
        served: how often organisations and kinds of requests are served here.
    """

    def __init__(self):
        self.weights: dict[str, float] = {}
        self.served = served_rates.ServedRates()
        self._services: dict[str, _ServiceShares] = {}
        self._reports: dict[str, tuple[float, Report]] = {}
        self._weights_from: object = None

    def note_started(
        self,
        service: str,
        organisation: str,
        work: share_counters.Work,
        now: float,
    ) -> None:
        """Adds a request that was sent to a server."""
        self._counter(service, organisation, now).start(work, now)

    def note_ended(
        self,
        service: str,
        organisation: str,
        work: share_counters.Work,
        now: float,
    ) -> None:
        """Removes a request that has ended; its prefill still counts."""
        self._counter(service, organisation, now).end(work, now)

    def note_shortage(
        self, service: str, organisation: str, now: float
    ) -> None:
        """Records that a request found no place; it may wait for one."""
        shares = self._service(service)
        shares.short_until = now + SHORTAGE_SECONDS
        self._update_level(shares, now)
        if self.received(service, organisation, now) <= shares.level.share:
            shares.below_until = now + SHORTAGE_SECONDS

    def received(self, service: str, organisation: str, now: float) -> float:
        """Returns an organisation's dominant share, divided by its weight."""
        shares = self._services.get(service)
        if shares is None:
            return 0.0
        self._update_level(shares, now)
        counter = shares.counters.get(organisation)
        if counter is None:
            return 0.0
        return counter.received(shares.capacity, now) / self._weight(
            organisation
        )

    def standing(
        self, service: str, organisation: str, now: float
    ) -> standings.Standing:
        """Returns how an organisation's service compares with its share."""
        shares = self._service(service)
        self._update_level(shares, now)
        received = self.received(service, organisation, now)
        if received <= shares.level.share:
            alone = shares.active == 0 or (shares.active == 1 and received)
            if alone and now >= shares.below_until:
                return standings.Standing.ALONE
            return standings.Standing.BELOW
        if shares.below > MIN_BELOW_SHARE or now < shares.below_until:
            return standings.Standing.ABOVE
        return standings.Standing.ALONE

    def reserve(self, service: str, now: float) -> float:
        """Returns the part of capacity to keep for those below their shares.

        All of it, 1.0, if one of them has found no place here recently.
        """
        shares = self._service(service)
        self._update_level(shares, now)
        if now < shares.below_until:
            return 1.0
        return RESERVE_FACTOR * math.sqrt(shares.below)

    def level(self, service: str, now: float) -> standings.ShareLevel:
        """Returns what organisations are entitled to."""
        shares = self._service(service)
        self._update_level(shares, now)
        return shares.level

    def is_short(self, service: str, now: float) -> bool:
        """Returns whether a request has found no place here recently."""
        shares = self._services.get(service)
        return shares is not None and now < shares.short_until

    def summary(self, now: float) -> Report:
        """Returns this router's counters for a report, the largest first.

        The entries are divided equally among services, and what one doesn't
        need is left to the others: parts of different capacities can't be
        compared.
        """
        found = []
        for service, shares in self._services.items():
            self._update_level(shares, now)
            capacity = shares.capacity
            entries = []
            for organisation, counter in shares.counters.items():
                counter.advance(now)
                memory, prefill = round(counter.memory), round(counter.prefill)
                if memory or prefill:
                    size = max(
                        memory / capacity.memory, prefill / capacity.prefill
                    )
                    entries.append(
                        (size, (service, organisation, memory, prefill))
                    )
            entries.sort(reverse=True)
            found += [
                (rank, -size, entry)
                for rank, (size, entry) in enumerate(entries[:MAX_REPORTED])
            ]
        found.sort()
        return [entry for _, _, entry in found[:MAX_REPORTED]]

    def merge(self, router: str, summary: Report, now: float) -> None:
        """Replaces the counters of a router, given its mailbox.

        An empty summary changes nothing: reports are sent more often than
        counters, and other builds send none.
        """
        if not summary:
            return
        self.forget(router)
        entries = [
            (service, organisation, max(0, memory), max(0, prefill))
            for service, organisation, memory, prefill in summary[:MAX_REPORTED]
            if memory > 0 or prefill > 0
        ]
        self._reports[router] = (now, entries)
        for service, organisation, memory, prefill in entries:
            counter = self._counter(service, organisation, now)
            counter.peer_memory += memory
            counter.peer_prefill += prefill

    def forget(self, router: str) -> None:
        """Removes the counters of a router."""
        _, entries = self._reports.pop(router, (0.0, []))
        for service, organisation, memory, prefill in entries:
            counter = self._services[service].counters[organisation]
            counter.peer_memory -= memory
            counter.peer_prefill -= prefill

    def set_organisations(
        self, organisations: dict[str, configurations.Organisation]
    ) -> None:
        """Sets the weights: each limit over the median of those in its unit.

        Limits in tokens and in requests can't be compared.
        """
        if organisations is self._weights_from:
            return
        self._weights_from = organisations
        by_unit: dict[configurations.Unit, list[float]] = {}
        limited = [
            each
            for each in organisations.values()
            if each.quota is not None and each.quota.per_second > 0
        ]
        for each in limited:
            by_unit.setdefault(each.quota.unit, []).append(
                each.quota.per_second
            )
        medians = {
            unit: statistics.median(values) for unit, values in by_unit.items()
        }
        self.weights = {
            each.name: each.quota.per_second / medians[each.quota.unit]
            for each in limited
        }

    def set_capacity(
        self, service: str, *, memory: float | None, prefill: float | None
    ) -> None:
        """Sets what a service's servers can give together.

        Args:
            service: the service.
            memory: tokens of memory, or units of slots without a model; None if
                unknown.
            prefill: prompt tokens per second, or None if unknown.
        """
        shares = self._service(service)
        shares.memory = memory or None
        shares.prefill = prefill or None

    def set_usage(
        self, service: str, usage: service_usages.ServiceUsage, now: float
    ) -> None:
        """Sets the use of a service's servers."""
        shares = self._service(service)
        shares.usage = usage
        shares.usage_at = now

    def usage(
        self, service: str, since: float
    ) -> service_usages.ServiceUsage | None:
        """Returns the use of a service's servers, or None if it is older."""
        shares = self._services.get(service)
        if shares is None or shares.usage_at < since:
            return None
        return shares.usage

    def _weight(self, organisation: str) -> float:
        return self.weights.get(organisation, 1.0)

    def _service(self, service: str) -> _ServiceShares:
        return self._services.setdefault(service, _ServiceShares())

    def _counter(
        self, service: str, organisation: str, now: float
    ) -> share_counters.ShareCounter:
        shares = self._service(service)
        counter = shares.counters.get(organisation)
        if counter is None:
            if len(shares.counters) >= MAX_COUNTED:
                self._update_level(shares, now)
            counter = share_counters.ShareCounter(at=now)
            shares.counters[organisation] = counter
        return counter

    def _update_level(self, shares: _ServiceShares, now: float) -> None:
        """Computes the level of shares anew if it is due."""
        if now - shares.level_at < LEVEL_SECONDS:
            return
        shares.level_at = now
        for router in [
            router
            for router, (received_at, _) in self._reports.items()
            if now - received_at > EXPIRY_SECONDS
        ]:
            self.forget(router)
        for counter in shares.counters.values():
            counter.advance(now)
        self._prune(shares)
        shares.capacity = _capacity(shares)
        received = [
            (counter.received(shares.capacity, now), self._weight(name))
            for name, counter in shares.counters.items()
        ]
        shares.level = standings.share_level(received)
        shares.active = sum(amount > 0 for amount, _ in received)
        below = sum(
            amount
            for amount, weight in received
            if amount <= shares.level.share * weight
        )
        total = sum(amount for amount, _ in received)
        shares.below = below / total if total else 0.0

    def _prune(self, shares: _ServiceShares) -> None:
        """Removes counters that have decayed, and the smallest of too many."""
        counters = shares.counters
        for name in [n for n, each in counters.items() if each.is_negligible()]:
            del counters[name]
        excess = len(counters) - MAX_COUNTED
        if excess <= 0:
            return
        unused = sorted(
            (each.memory + each.prefill, name)
            for name, each in counters.items()
            if not (each.held or each.peer_memory or each.peer_prefill)
        )
        for _, name in unused[:excess]:
            del counters[name]


def _capacity(shares: _ServiceShares) -> share_counters.Capacity:
    """Returns the capacity; where it is unknown, all that was received."""
    return share_counters.Capacity(
        memory=shares.memory
        or _positive(
            each.memory + each.peer_memory for each in shares.counters.values()
        ),
        prefill=shares.prefill
        or _positive(
            each.prefill + each.peer_prefill
            for each in shares.counters.values()
        ),
    )


def _positive(amounts: Iterable[float]) -> float:
    return sum(amounts) or 1.0
