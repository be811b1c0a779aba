"""Turns objects of the store, as they come, into beliefs."""

import logbook

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.routing import backends
from pimentoledge.routing import beliefs
from pimentoledge.routing import clocks
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations

logger = logbook.Logger("takers")

# Weights that a process meets at its start are taken to have been named this
# part of the bound ago, unless another router knows: too old would refuse
# requests, too young break the bound.
UNKNOWN_AGE_SHARE = 0.5


class Takers:
    """Turns objects of the store into beliefs.

    Attributes:
        believed: what the process believes.
        lines: where changes of belief are written.
        news: called when something changed that other routers should hear.
        died: called with a server that is gone without having left.
        restarted: called with the address of a server that has started again
            under its id.
        lapse_ends: returns until when a server that is gone may come back.
        lapsed: servers that are gone from the store and still used, with the
            time at which they are gone for good.
    """

    def __init__(
        self,
        *,
        believed: beliefs.Beliefs,
        lines: log_lines.Lines,
        news=lambda: None,
        died=lambda incarnation: None,
        lapse_ends=lambda: 0.0,
        restarted=lambda address: None,
    ):
        self.believed = believed
        self.lines = lines
        self.news = news
        self.died = died
        self.lapse_ends = lapse_ends
        self.restarted = restarted
        self.lapsed: dict[str, float] = {}
        self._weights_listed = False

    def configuration(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes the configuration, if it is newer."""
        for each in changed:
            if each.name == names.CONFIGURATION:
                self._configure(each)

    def _decoded(self, decode, each: registrations.Stored):
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

    def _configure(self, each: registrations.Stored) -> None:
        fresh = self._decoded(objects.configuration, each)
        if fresh is None:
            return
        held = self.believed.configuration
        if held is not None and held.version >= fresh.version:
            return
        self.believed.configuration = fresh
        self.believed.configured = clocks.now()
        self.lines.write(
            "configuration", version=fresh.version, revision=each.revision
        )
        self.news()

    def weights(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes named weights, if they are newer."""
        since = self._named_since()
        self._weights_listed = True
        for each in changed:
            named = self._decoded(objects.named_weights, each)
            if named is None:
                continue
            self.want(named.model, named.version, since, "store")

    def _named_since(self) -> float:
        """Returns since when weights read now may have been named.

        What a process lists at its start may be old; what comes later is new,
        also the first version that is ever named of a model. Taken for half of
        the bound old, it shut out all runners that had yet to load 4.5 s after
        it was named, of 10.5 s: three of nine were left on a day on which the
        lease could not be written for 5 s.
        """
        now = clocks.now()
        if self._weights_listed:
            return now
        return now - UNKNOWN_AGE_SHARE * self.believed.bounds.weights_seconds

    def want(self, model: str, version: int, since: float, source: str) -> None:
        """Takes a named version, from the store or another router."""
        if self.believed.want(model, version, since):
            self.lines.write(
                "weights_named", model=model, version=version, source=source
            )
            self.news()

    def servers(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Takes registrations of backend servers."""
        for each in changed:
            registration = self._decoded(objects.registration, each)
            if registration is None:
                # It may have left, for all that this says.
                if each.name in self.believed.servers.by_server:
                    self._gone(each.name)
                continue
            self.lapsed.pop(each.name, None)
            former = self.believed.servers.by_server.get(each.name)
            present = self.believed.servers.put(registration)
            if former not in (None, present):
                self._started_again(former)
            self.lines.write(
                "server",
                server=present.registration.incarnation,
                service=registration.service,
                leaving=registration.leaving,
                weights=registration.weights,
            )
        ends = self.lapse_ends()
        for name in removed:
            if clocks.now() < ends:
                self.lapsed[name] = ends
                self.lines.write("server_lapsed", server=name)
            else:
                self._gone(name)

    def _started_again(self, former: backends.Backend) -> None:
        """Takes that a server has begun another life under its id.

        Its connections ended with the life before. A request sent on one
        would be lost with it, and could not be sent again.
        """
        self.restarted(former.registration.address)
        if not former.says_it_leaves():
            self.died(former.registration.incarnation)
        self.lines.write(
            "server_restarted", server=former.registration.incarnation
        )

    def _gone(self, name: str) -> None:
        gone = self.believed.servers.remove(name)
        if gone is None:
            self.lines.write("server_gone", server=name)
            return
        if not gone.says_it_leaves():
            self.died(gone.registration.incarnation)
        self.lines.write("server_gone", server=gone.registration.incarnation)

    def tick(self, now: float) -> None:
        """Takes away servers that lapsed and did not come back."""
        for name, until in list(self.lapsed.items()):
            if now >= until:
                del self.lapsed[name]
                self._gone(name)
