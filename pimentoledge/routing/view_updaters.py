"""Turns objects of the store, as they come, into beliefs."""

import logbook

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import wanted_weights

logger = logbook.Logger("takers")

# For so long after its start a router lets requests begin on weights that may
# have been superseded at any time before, unless another router knows since
# when.
STARTUP_SECONDS = 3.0


class ViewUpdater:
    """Turns objects of the store into beliefs.

    Attributes:
        view: what the process believes.
        lines: where changes of belief are written.
        on_change: called when something changed that other routers should hear.
        on_death: called with a server that is gone without having left.
        on_restart: called with the address of a server that has started again
            under its id.
        lapse_ends: returns until when a server that is gone may come back.
        lapsed: servers that are gone from the store and still used, with the
            time at which they are gone for good.
    """

    def __init__(
        self,
        *,
        view: cluster_views.ClusterView,
        lines: log_lines.Lines,
        on_change=lambda: None,
        on_death=lambda incarnation: None,
        lapse_ends=lambda: 0.0,
        on_restart=lambda address: None,
    ):
        self.view = view
        self.lines = lines
        self.on_change = on_change
        self.on_death = on_death
        self.lapse_ends = lapse_ends
        self.on_restart = on_restart
        self.lapsed: dict[str, float] = {}
        self._weights_listed = False

    def apply_configuration(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes the configuration, if it is newer."""
        for each in changed:
            if each.name == names.CONFIGURATION:
                self._apply_newer_configuration(each)

    def _decode(self, decode, each: registrations.Stored):
        """Returns an object decoded, or None if it can't be.

        One bad object must not hide the others of its kind; what was known
        before stays in force.
        """
        try:
            return decode(each)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.lines.write(
                "unreadable", object=each.name, why=repr(error)[:200]
            )
            return None

    def _apply_newer_configuration(self, each: registrations.Stored) -> None:
        fresh = self._decode(objects.configuration, each)
        if fresh is None:
            return
        held = self.view.configuration
        if held is not None and held.version >= fresh.version:
            return
        self.view.configuration = fresh
        self.view.configured = clocks.now()
        self.lines.write(
            "configuration", version=fresh.version, revision=each.revision
        )
        self.on_change()

    def apply_weights(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes named weights, if they are newer."""
        since, source = self._named_at()
        self._weights_listed = True
        for each in changed:
            named = self._decode(objects.named_weights, each)
            if named is None:
                continue
            self.want(named.model, named.version, since, "store", source=source)

    def _named_at(self) -> tuple[float, wanted_weights.Source]:
        """Returns since when weights read now are named, and how that is known.

        What a wait brings is new. What a look finds may have been named at any
        time since the kind was last known to be whole, and what is listed at
        the start at any time.
        """
        now = clocks.now()
        if not self._weights_listed:
            return self._assumed_named_at(), wanted_weights.Source.GUESSED
        unseen_seconds = self._change_age_seconds()
        if not unseen_seconds:
            return now, wanted_weights.Source.HEARD
        return now - unseen_seconds, wanted_weights.Source.NOT_BEFORE

    def _assumed_named_at(self) -> float:
        """Returns since when weights of unknown age count as named.

        Taken for older, runners that have yet to load would serve nobody in
        the first seconds; taken for younger, the bound would be passed.
        """
        copied = self.view.caches_by_kind.get("weights")
        silent_at = copied.silent_at if copied is not None else 0.0
        over = max(self.view.born, silent_at) + STARTUP_SECONDS
        return over - self.view.bounds.weights_seconds

    def _change_age_seconds(self) -> float:
        """Returns how long ago at most the store's newest naming came about."""
        copied = self.view.caches_by_kind.get("weights")
        return copied.change_age_seconds if copied is not None else 0.0

    def want(
        self,
        model: str,
        version: int,
        since: float,
        teller: str,
        *,
        source: wanted_weights.Source,
    ) -> None:
        """Takes a named version, from the store, a router or a runner."""
        if self.view.want(model, version, since, source=source):
            self.lines.write(
                "weights_named",
                model=model,
                version=version,
                teller=teller,
                age=round(clocks.now() - since, 2),
                source=source.name,
            )
            self.on_change()

    def apply_servers(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes registrations of backend servers."""
        for each in changed:
            registration = self._decode(objects.registration, each)
            if registration is None:
                # It may have left, for all that this says.
                if each.name in self.view.servers.by_server:
                    self._remove_server(each.name)
                continue
            self.lapsed.pop(each.name, None)
            former = self.view.servers.by_server.get(each.name)
            present = self.view.servers.put(registration)
            if former not in (None, present):
                self._handle_restart(former)
            self.lines.write(
                "server",
                server=present.registration.incarnation,
                service=registration.service,
                leaving=registration.leaving,
                weights=registration.weights,
            )
            self._infer_named_weights(registration)
        ends = self.lapse_ends()
        for name in removed:
            if clocks.now() < ends:
                self.lapsed[name] = ends
                self.lines.write("server_lapsed", server=name)
            else:
                self._remove_server(name)

    def _infer_named_weights(self, shown: registrations.Registration) -> None:
        """Takes a runner's weights as proof that their version was named.

        It may have been at any time since named weights were known to be
        whole.
        """
        for model, version in shown.weights.items():
            wanted = self.view.wanted.get(model)
            if wanted is None or wanted.version < version:
                since = self.view.known_at("weights")
                source = wanted_weights.Source.NOT_BEFORE
                if not since:
                    since = self._assumed_named_at()
                    source = wanted_weights.Source.GUESSED
                self.want(model, version, since, "runner", source=source)

    def _handle_restart(self, former: backends.Backend) -> None:
        """Takes that a server has begun another life under its id.

        Its connections ended with the life before. A request sent on one
        would be lost with it, and could not be sent again.
        """
        self.on_restart(former.registration.address)
        if not former.announced_leaving():
            self.on_death(former.registration.incarnation)
        self.lines.write(
            "server_restarted", server=former.registration.incarnation
        )

    def _remove_server(self, name: str) -> None:
        gone = self.view.servers.remove(name)
        if gone is None:
            self.lines.write("server_gone", server=name)
            return
        if not gone.announced_leaving():
            self.on_death(gone.registration.incarnation)
        self.lines.write("server_gone", server=gone.registration.incarnation)

    def tick(self, now: float) -> None:
        """Takes away servers that lapsed and did not come back."""
        for name, until in list(self.lapsed.items()):
            if now >= until:
                del self.lapsed[name]
                self._remove_server(name)
