"""Which runner is told to load which weights, and when.

A pure state machine: it takes what is believed and the time, and returns what
to do. Only the holder of the lease runs it.
"""

import enum

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cluster_views

# Part of a model's runners that load at one time: reading weights slows down
# with more of them, and the others carry all requests meanwhile. Measured
# rounds with 2, 3, 4 and 9 of 9 favoured 2 and 3.
CONCURRENT_LOAD_SHARE = 0.4
# A load is believed to be under way so long, until the runner says that it
# has the weights.
LOAD_SECONDS = 1.5
# A runner that refused or did not answer is asked again after this.
RETRY_SECONDS = 0.3


class OrderVerdict(enum.StrEnum):
    """What a runner made of an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    OUT_OF_STEP = "out_of_step"
    FENCED = "fenced"
    WRONG_SERVER = "wrong_server"
    REFUSED = "refused"
    # Nothing was sent.
    UNREACHED = "unreached"
    # It may have been taken, or may be carried out seconds later.
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class RunnerReport:
    """What a runner reports.

    Attributes:
        weights: version of each of its models.
        loading: whether an order is being carried out.
        orders_taken: orders that it has taken since its start.
        born: when its present life began, or None; see Registration.
        leaving: whether it leaves.
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
        model: which model.
        version: which version.
        fence: the holder's fencing token.
        orders_taken: it is carried out only if the runner has taken so many
            orders before: an order that comes late, after a newer one, must
            not bring older weights back.
    """

    model: str
    version: int
    fence: int
    orders_taken: int


@attrs.define(kw_only=True)
class Progress:
    """How far one runner is.

    Attributes:
        ends: when a load that was ordered counts as failed.
        not_before: when it may be asked or told again.
        orders_taken: orders that it has taken, or None if not known.
        calling: whether a call to it is under way.
    """

    ends: float = 0.0
    not_before: float = 0.0
    orders_taken: int | None = None
    calling: bool = False


@attrs.frozen(kw_only=True)
class DueLoad:
    """A runner that is to be told now.

    Attributes:
        backend: which runner.
        model: which model.
        version: which version.
    """

    backend: backends.Backend
    model: str
    version: int


class Rollout:
    """Brings runners to the wanted weights, a few at a time.

    Attributes:
        view: what the process believes.
        progress: by incarnation.
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
        """Returns the runners to tell now."""
        self._forget_gone()
        found = []
        for model, wanted in self.view.wanted.items():
            behind = self.behind(model)
            loading = [each for each in behind if self._is_loading(each, now)]
            room = self._free_loads(model, loading, now)
            waiting = [
                each
                for each in behind
                if each not in loading and self._may_order(each, now)
            ]
            chosen = self._idle(model, waiting, now)
            rest = [each for each in waiting if each not in chosen]
            for group in self._by_age(model, rest):
                taken = loading + chosen
                chosen += _spread(group, taken, room - len(chosen), now)
            found += [
                DueLoad(backend=each, model=model, version=wanted.version)
                for each in chosen
            ]
        return found

    def _idle(
        self, model: str, waiting: list[backends.Backend], now: float
    ) -> list[backends.Backend]:
        """Returns the runners on which no request may begin any more.

        They serve nobody until they have loaded, so others need not wait.
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
        """Returns the runners by the version they have, the oldest first."""
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

        A runner that can't be reached serves as little as one that loads.
        Where a third was down and a share of all of them was told to load
        besides, a third was left for all requests, and half of the streams
        begun then came late. One is always let through: a rollout must end.
        """
        runners = [
            each
            for each in self.view.servers.by_incarnation.values()
            if model in each.registration.weights and not each.over
        ]
        down = [
            each
            for each in runners
            if each not in loading and each.is_unreachable(now)
        ]
        room = (
            int(len(runners) * CONCURRENT_LOAD_SHARE) - len(loading) - len(down)
        )
        return room if loading else max(1, room)

    def progress_of(self, backend: backends.Backend) -> Progress:
        """Returns how far a runner is."""
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
        """Takes a runner's word on an order."""
        progress = self.progress_of(due.backend)
        progress.calling = False
        progress.not_before = now + RETRY_SECONDS
        match verdict:
            case OrderVerdict.TAKEN:
                progress.ends = now + LOAD_SECONDS
                progress.orders_taken += 1
            case OrderVerdict.HOLDS:
                # The store has not told yet that the runner has them.
                progress.ends = now + RETRY_SECONDS
            case OrderVerdict.WRONG_SERVER:
                due.backend.over = True
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
    room: int,
    now: float,
) -> list[backends.Backend]:
    """Returns up to `room` runners, from as many data centres as can be.

    Each data centre keeps runners that serve it meanwhile; the least busy
    runners go first, as fewest runs change weights under way.
    """
    taken: dict[str, int] = {}
    for each in loading:
        place = each.registration.data_centre
        taken[place] = taken.get(place, 0) + 1
    chosen: list[backends.Backend] = []
    rest = sorted(waiting, key=lambda each: each.estimated_requests(now))
    while rest and len(chosen) < room:
        best = min(
            rest, key=lambda each: taken.get(each.registration.data_centre, 0)
        )
        rest.remove(best)
        chosen.append(best)
        place = best.registration.data_centre
        taken[place] = taken.get(place, 0) + 1
    return chosen
