"""Rollout of weights: which runner loads which version, and when.

A pure state machine: it returns the orders that are due for a view of the
cluster and a time. Only the holder of the lease runs it.
"""

import enum

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views

# Part of a model's runners that load at the same time. Reading weights is
# slower with more of them, and the others serve all requests meanwhile: of 9
# runners, 2 or 3 at once give better results than 4 or 9.
CONCURRENT_LOAD_SHARE = 0.4
# How long a load counts as in progress if the runner does not report earlier
# that it has the weights.
LOAD_SECONDS = 1.5
# Delay until the next order to a runner that refused or did not answer.
RETRY_SECONDS = 0.3


class OrderVerdict(enum.StrEnum):
    """A runner's verdict on an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    OUT_OF_STEP = "out_of_step"
    FENCED = "fenced"
    WRONG_SERVER = "wrong_server"
    REFUSED = "refused"
    # Nothing was sent.
    UNREACHED = "unreached"
    # The runner may have taken the order, or may execute it seconds later.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class RunnerReport:
    """A runner's report of its state.

    Attributes:
        weights: version of each of its models.
        loading: whether it is executing an order.
        orders_taken: number of orders that it has taken since its start.
        born: when its process started, or None; see Registration.
        leaving: whether it is draining.
    """

    weights: dict[str, int]
    loading: bool
    orders_taken: int
    born: int | None = None
    leaving: bool = False


@attrs.frozen(kw_only=True)
class LoadOrder:
    """An order to load weights.

    Attributes:
        model: the model to load.
        version: the version of its weights.
        fence: the holder's fencing token.
        orders_taken: the order is executed only if the runner has taken exactly
            this many orders before, so that an order that is delayed past a
            newer one does not bring older weights back.
    """

    model: str
    version: int
    fence: int
    orders_taken: int


@attrs.define(kw_only=True)
class Progress:
    """Progress of one runner in the rollout.

    Attributes:
        ends: when a load that was ordered counts as failed.
        not_before: when the next call to it is allowed.
        orders_taken: number of orders that it has taken, or None if unknown.
        calling: whether a call to it is in flight.
    """

    ends: float = 0.0
    not_before: float = 0.0
    orders_taken: int | None = None
    calling: bool = False


@attrs.frozen(kw_only=True)
class DueLoad:
    """An order that is due.

    Attributes:
        backend: the runner that gets the order.
        model: the model to load.
        version: the version of its weights.
    """

    backend: backends.Backend
    model: str
    version: int


class Rollout:
    """Brings runners to the wanted weights, a few at a time.

    Attributes:
        view: the router's view of the cluster.
        progress: progress of runners by incarnation.
    """

    def __init__(self, *, view: cluster_views.ClusterView):
        self.view = view
        self.progress: dict[str, Progress] = {}

    def behind(self, model: str) -> list[backends.Backend]:
        """Returns the runners of a model with older weights than wanted."""
        wanted = self.view.wanted[model].version
        return [
            each
            for each in self.view.servers.by_incarnation.values()
            if not each.is_leaving()
            and each.registration.weights.get(model, wanted) < wanted
        ]

    def needed(self) -> bool:
        """Returns whether any runner has older weights than wanted."""
        return any(self.behind(model) for model in self.view.wanted)

    def due(self, now: float) -> list[DueLoad]:
        """Returns the orders to give now."""
        self._forget_gone()
        orders = []
        for model, wanted in self.view.wanted.items():
            behind = self.behind(model)
            loading = [each for each in behind if self._is_loading(each, now)]
            free_loads = self._free_loads(model, loading, now)
            waiting = [
                each
                for each in behind
                if each not in loading and self._may_order(each, now)
            ]
            chosen = self._idle(model, waiting, now)
            rest = [each for each in waiting if each not in chosen]
            for group in self._by_age(model, rest):
                taken = loading + chosen
                chosen += _spread(group, taken, free_loads - len(chosen), now)
            orders += [
                DueLoad(backend=each, model=model, version=wanted.version)
                for each in chosen
            ]
        return orders

    def _idle(
        self, model: str, waiting: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Returns the runners on which no request may start any more.

        They serve no requests until they have loaded, so their loads do not
        count against the number of concurrent loads.
        """
        return [
            each
            for each in waiting
            if not self.view.may_begin(
                model, each.registration.weights[model], now
            )
        ]

    def _by_age(
        self, model: str, waiting: list[backends.Backend]
    ) -> list[list[backends.Backend]]:
        """Returns the runners grouped by their version, oldest first."""
        by_version: dict[int, list[backends.Backend]] = {}
        for each in waiting:
            version = each.registration.weights[model]
            by_version.setdefault(version, []).append(each)
        return [by_version[version] for version in sorted(by_version)]

    def _forget_gone(self) -> None:
        known = self.view.servers.by_incarnation
        for incarnation in list(self.progress):
            if incarnation not in known:
                del self.progress[incarnation]

    def _free_loads(
        self, model: str, loading: list[backends.Backend], now: float
    ) -> int:
        """Returns how many more runners of a model may load now.

        An unreachable runner counts as loading, because it serves no requests
        either. If a third of the runners is down and a share of all runners
        loads in addition, only a third serves all requests, and half of the
        new streams are late. At least one load is always allowed, so that the
        rollout ends.
        """
        runners = [
            each
            for each in self.view.servers.by_incarnation.values()
            if model in each.registration.weights and not each.ended
        ]
        down = [
            each
            for each in runners
            if each not in loading and each.is_unreachable(now)
        ]
        free_loads = (
            int(len(runners) * CONCURRENT_LOAD_SHARE) - len(loading) - len(down)
        )
        return free_loads if loading else max(1, free_loads)

    def progress_of(self, backend: backends.Backend) -> Progress:
        """Returns the progress of a runner."""
        incarnation = backend.registration.incarnation
        return self.progress.setdefault(incarnation, Progress())

    def _is_loading(self, backend: backends.Backend, now: float) -> bool:
        progress = self.progress_of(backend)
        return progress.calling or now < progress.ends

    def _may_order(self, backend: backends.Backend, now: float) -> bool:
        progress = self.progress_of(backend)
        if backend.is_unreachable(now) or backend.is_unavailable(now):
            return False
        return not progress.calling and now >= progress.not_before

    def note_verdict(
        self, due: DueLoad, verdict: OrderVerdict, now: float
    ) -> None:
        """Records a runner's verdict on an order."""
        progress = self.progress_of(due.backend)
        progress.calling = False
        progress.not_before = now + RETRY_SECONDS
        match verdict:
            case OrderVerdict.TAKEN:
                progress.ends = now + LOAD_SECONDS
                if progress.orders_taken is not None:
                    progress.orders_taken += 1
            case OrderVerdict.HOLDS:
                # The store's notification that the runner has the weights has
                # not arrived yet.
                due.backend.note_weights(
                    due.backend.registration.weights | {due.model: due.version}
                )
            case OrderVerdict.WRONG_SERVER:
                due.backend.ended = True
            case (
                OrderVerdict.UNREACHED
                | OrderVerdict.REFUSED
                | OrderVerdict.FENCED
            ):
                pass
            case OrderVerdict.OUT_OF_STEP | OrderVerdict.UNKNOWN:
                progress.orders_taken = None


def _spread(
    waiting: list[backends.Backend],
    loading: list[backends.Backend],
    free_loads: int,
    now: float,
) -> list[backends.Backend]:
    """Returns up to `free_loads` runners.

    They are from as many data centres as possible, so each data centre keeps
    runners that serve it. The least busy runners are first, so that weights
    change during as few requests as possible.
    """
    taken: dict[str, int] = {}
    for each in loading:
        place = each.registration.data_centre
        taken[place] = taken.get(place, 0) + 1
    chosen: list[backends.Backend] = []
    rest = sorted(waiting, key=lambda each: each.estimated_requests(now))
    while rest and len(chosen) < free_loads:
        best = min(
            rest, key=lambda each: taken.get(each.registration.data_centre, 0)
        )
        rest.remove(best)
        chosen.append(best)
        place = best.registration.data_centre
        taken[place] = taken.get(place, 0) + 1
    return chosen
