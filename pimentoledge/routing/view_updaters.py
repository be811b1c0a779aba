"""Applies changed objects of the store to the cluster view."""

import collections
from collections.abc import Iterator
import contextlib

import logbook

from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configuration_histories
from pimentoledge.routing import configurations
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import wanted_weights

logger = logbook.Logger("takers")

# How long after its start a router lets requests begin on weights that may have
# been superseded at any earlier time, unless another router reports when they
# were superseded.
STARTUP_SECONDS = 3.0
# For how long a removed server is not used if a restored store contains its
# entry again. The entry of a server that has ended lapses after three
# intervals of some 1.2 s without a heartbeat.
RESTORED_ENTRY_SECONDS = 4.5
# Least change of a naming's time that is logged.
MOVED_SECONDS = 0.1
# The kinds of objects, as watchers name them.
CONFIGURATION, SERVERS, WEIGHTS = "configuration", "servers", "weights"
# Removed incarnations that are remembered.
MAX_REMOVED = 1000


class ViewUpdater:
    """Applies changed objects of the store to the cluster view.

    Attributes:
        view: the process's view of the cluster.
        lines: log of changes of the view.
        on_change: called when a change should be sent to the other routers.
        on_death: called with the incarnation of a server that was removed
            without having announced that it leaves.
        on_restart: called with the address of a server that restarted under the
            same id.
        on_server: called with the service of a server whose registration is
            new or changed.
        lapse_ends: returns until when the entry of a removed server may be
            written again.
        lapsed: servers whose entries lapsed and that are still used, with the
            time at which they are removed.
        withheld: registrations of removed servers that a restored store
            contains again, with the time at which they are used.
        undeclared: registrations of services that no configuration has named,
            by server. Another writer may have stored them.
        unreadable: names of the objects that can't be read, by kind.
        history: the newest contents of the configuration.
        in_force: the object with the configuration in force, or None.
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
        on_server=lambda service: None,
    ):
        self.view = view
        self.lines = lines
        self.on_change = on_change
        self.on_death = on_death
        self.lapse_ends = lapse_ends
        self.on_restart = on_restart
        self.on_server = on_server
        self.lapsed: dict[str, float] = {}
        self.withheld: dict[str, tuple[registrations.Registration, float]] = {}
        self.undeclared: dict[str, registrations.Registration] = {}
        self.unreadable: dict[str, set[str]] = {
            kind: set() for kind in (CONFIGURATION, SERVERS, WEIGHTS)
        }
        self.history = configuration_histories.ConfigurationHistory()
        self.in_force: registrations.Stored | None = None
        self._services: set[str] = set()
        self._routes = objects.RouteMemory()
        self._removed: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._weights_listed = False

    def apply_configuration(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Applies the configuration, if it is newer."""
        for each in changed:
            if each.name == names.CONFIGURATION_NAME:
                with self._contained(each.name):
                    self._apply_newer_configuration(each)

    @contextlib.contextmanager
    def _contained(self, name: str) -> Iterator[None]:
        """Logs an error in the handling of one object; the others go on."""
        try:
            yield
        except Exception:
            self.lines.write_defect(object=name)

    def _decode(self, kind: str, decode, each: registrations.Stored):
        """Returns a decoded object, or None if it can't be decoded.

        An invalid object must not prevent the use of others of its kind, so
        it is logged and skipped.
        """
        self.unreadable[kind].add(each.name)
        try:
            decoded = decode(each)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self.lines.write(
                "unreadable", object=each.name, why=repr(error)[:200]
            )
            return None
        except Exception:
            self.lines.write_defect(object=each.name)
            return None
        self.unreadable[kind].discard(each.name)
        return decoded

    def _apply_newer_configuration(self, each: registrations.Stored) -> None:
        version = self._decode(
            CONFIGURATION, objects.configuration_version, each
        )
        current = self.view.configuration
        if version is None or (
            current is not None and current.version >= version
        ):
            return
        began = clocks.now()
        update = self.history.prepare(each.value)
        each.value = update.content
        received = self._decode(CONFIGURATION, self._decode_configuration, each)
        if received is None:
            self.view.unreadable_version = version
            return
        self.history.commit(update)
        self.in_force = each
        self.view.configuration = received
        self.view.configured = clocks.now()
        self.view.servers.versions.configure(received, self.view.configured)
        self.lines.write(
            "configuration",
            version=received.version,
            revision=each.revision,
            built_ms=round(1000 * (self.view.configured - began), 1),
            **self._transfer_fields(began),
        )
        self._declare_services(received)
        self.on_change()

    def _declare_services(
        self, configuration: configurations.Configuration
    ) -> None:
        """Uses the servers of services that a configuration names first."""
        is_first = not self._services
        if configuration.service_names <= self._services:
            return
        self._services |= configuration.service_names
        for name, registration in list(self.undeclared.items()):
            if self._is_declared(registration):
                del self.undeclared[name]
                self._put_server(registration)
        if is_first:
            for backend in list(self.view.servers.by_incarnation.values()):
                self._check_declared(backend.registration)

    def _check_declared(self, registration: registrations.Registration) -> None:
        """Handles a server that was used before the first configuration."""
        if self._is_declared(registration):
            self.infer_named_weights(registration)
        else:
            self._hold_undeclared(registration)

    def _is_declared(self, registration: registrations.Registration) -> bool:
        return not self._services or registration.service in self._services

    def _decode_configuration(
        self, each: registrations.Stored
    ) -> configurations.Configuration:
        decoded = objects.decode_configuration(each, self._routes.decode)
        self._routes.turn()
        return decoded

    def _transfer_fields(self, now: float) -> dict[str, object]:
        """Returns how the configuration arrived, for its log line."""
        cache = self.view.caches_by_kind.get("configuration")
        if cache is None or cache.transfer is None:
            return {}
        return cache.transfer.fields(now)

    def apply_weights(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Applies the wanted versions of weights, if they are newer."""
        since, source = self._named_at()
        self._weights_listed = True
        for each in changed:
            with self._contained(each.name):
                self._apply_named_weights(each, since, source)

    def _apply_named_weights(
        self,
        each: registrations.Stored,
        since: float,
        source: wanted_weights.Source,
    ) -> None:
        named = self._decode(WEIGHTS, objects.decode_named_weights, each)
        if named is None:
            return
        is_bound = source is wanted_weights.Source.NOT_BEFORE
        known = self._named_since(named.model, named.version)
        if is_bound and known is not None:
            # The copy was older than what other routers have reported.
            return
        self.set_wanted_version(
            named.model, named.version, since, "store", source=source
        )

    def merge_peer_weights(
        self,
        model: str,
        named: wanted_weights.NamedVersion,
        earliest_known_at: float,
    ) -> None:
        """Records a version that another router has.

        If it is newer than all that this router knows, it was not named before
        these were last known to be all.

        Args:
            model: the model.
            named: the version.
            earliest_known_at: earliest time at which `named.known_at` may be,
                given that the message may have been delayed.
        """
        wanted = self.view.wanted.get(model)
        complete_at = self.view.known_at("weights")
        is_new = wanted is None or named.version > wanted.version
        if is_new and 0 < complete_at <= earliest_known_at:
            named = named.merge(
                wanted_weights.NamedVersion(
                    version=named.version,
                    since=complete_at,
                    source=wanted_weights.Source.NOT_BEFORE,
                    known_at=clocks.now(),
                )
            )
        self.set_wanted_version(
            model,
            named.version,
            named.since,
            "router",
            source=named.source,
            known_at=named.known_at,
        )

    def _named_at(self) -> tuple[float, wanted_weights.Source]:
        """Returns when weights read now were named, and the source of the time.

        Weights from a watch were named just now. Those found by a poll may have
        been named at any time since the kind was last known completely, and
        those of the first listing at any time before.
        """
        now = clocks.now()
        if not self._weights_listed:
            return self._assumed_named_at(), wanted_weights.Source.GUESSED
        change_age = self._change_age_seconds()
        if not change_age:
            return now, wanted_weights.Source.HEARD
        return now - change_age, wanted_weights.Source.NOT_BEFORE

    def _assumed_named_at(self) -> float:
        """Returns the assumed naming time of weights of unknown age.

        With an earlier time, runners that have yet to load the weights would
        get no requests in the first seconds. With a later one, requests would
        begin on superseded weights past the bound.
        """
        cache = self.view.caches_by_kind.get("weights")
        silent_at = cache.silent_at if cache is not None else 0.0
        allowed_until = max(self.view.started_at, silent_at) + STARTUP_SECONDS
        return allowed_until - self.view.bounds.weights_seconds

    def _change_age_seconds(self) -> float:
        """Returns the greatest possible age of the newest named weights."""
        cache = self.view.caches_by_kind.get("weights")
        return cache.change_age_seconds if cache is not None else 0.0

    def set_wanted_version(
        self,
        model: str,
        version: int,
        since: float,
        reporter: str,
        *,
        source: wanted_weights.Source,
        known_at: float | None = None,
    ) -> None:
        """Records a wanted version from the store, a router or a runner.

        Args:
            model: the model.
            version: the version of its weights.
            since: when it was named, in seconds of clocks.now.
            reporter: who reported it, for the log.
            source: source of that time.
            known_at: when some router had it; None for now.
        """
        before = self._named_since(model, version)
        is_new = self.view.set_wanted_version(
            model,
            version,
            since,
            source=source,
            known_at=clocks.now() if known_at is None else known_at,
        )
        if is_new:
            self.lines.write(
                "weights_named",
                model=model,
                version=version,
                teller=reporter,
                age=round(clocks.now() - since, 2),
                source=source.name,
            )
            self.on_change()
        self._log_moved_time(model, version, before, reporter, source)

    def _named_since(self, model: str, version: int) -> float | None:
        """Returns when a version was named, or None without a record of it."""
        wanted = self.view.wanted.get(model)
        return None if wanted is None else wanted.since_of(version)

    def _log_moved_time(
        self,
        model: str,
        version: int,
        before: float | None,
        reporter: str,
        source: wanted_weights.Source,
    ) -> None:
        """Logs that evidence has moved the time of a naming."""
        after = self._named_since(model, version)
        if before is None or after is None:
            return
        if abs(after - before) > MOVED_SECONDS:
            self.lines.write(
                "weights_time_moved",
                model=model,
                version=version,
                teller=reporter,
                source=source.name,
                by=round(after - before, 2),
                age=round(clocks.now() - after, 2),
            )

    def apply_servers(
        self, changed: list[registrations.Stored], removed: list[str]
    ) -> None:
        """Applies changed and removed registrations of backend servers."""
        for each in changed:
            with self._contained(each.name):
                self._apply_entry(each)
        ends = self.lapse_ends()
        for name in removed:
            with self._contained(name):
                self._apply_removal(name, ends)

    def _apply_entry(self, each: registrations.Stored) -> None:
        registration = self._decode(SERVERS, objects.decode_registration, each)
        self.lapsed.pop(each.name, None)
        if registration is None:
            # An unreadable entry may say that the server is leaving.
            self.undeclared.pop(each.name, None)
            self.withheld.pop(each.name, None)
            if each.name in self.view.servers.by_server:
                self._remove_server(each.name)
            return
        if not self._is_declared(registration):
            self._hold_undeclared(registration)
            return
        self.undeclared.pop(each.name, None)
        if self._was_removed(registration):
            self._withhold(registration)
            return
        self.withheld.pop(each.name, None)
        self._put_server(registration)

    def _apply_removal(self, name: str, ends: float) -> None:
        """Applies the removal of an entry that may be written until `ends`."""
        self.unreadable[SERVERS].discard(name)
        if self.undeclared.pop(name, None) is not None:
            return
        if self.withheld.pop(name, None) is not None:
            self.lines.write("server_gone", server=name)
        elif clocks.now() < ends:
            self.lapsed[name] = ends
            self.lines.write("server_lapsed", server=name)
        else:
            self._remove_server(name)

    def _hold_undeclared(
        self, registration: registrations.Registration
    ) -> None:
        """Keeps a server of an unknown service unused."""
        if registration.server in self.view.servers.by_server:
            self._remove_server(registration.server)
        if registration.server not in self.undeclared:
            self.lines.write(
                "server_undeclared",
                server=registration.server,
                service=registration.service,
            )
        self.undeclared[registration.server] = registration

    def _was_removed(self, registration: registrations.Registration) -> bool:
        """Returns whether an entry is there only because of a restore."""
        cache = self.view.caches_by_kind.get("servers")
        return (
            cache is not None
            and cache.restored
            and registration.incarnation in self._removed
        )

    def _withhold(self, registration: registrations.Registration) -> None:
        """Keeps a removed server unused, unless its entry stays."""
        until = clocks.now() + RESTORED_ENTRY_SECONDS
        self.withheld[registration.server] = (registration, until)
        self.lines.write("server_withheld", server=registration.incarnation)

    def _put_server(self, registration: registrations.Registration) -> None:
        former = self.view.servers.by_server.get(registration.server)
        present = self.view.servers.put(registration)
        self._removed.pop(registration.incarnation, None)
        if former not in (None, present):
            self._handle_restart(former)
        self.lines.write(
            "server",
            server=present.registration.incarnation,
            service=registration.service,
            leaving=registration.leaving,
            weights=registration.weights,
        )
        self.infer_named_weights(registration)
        self.on_server(registration.service)

    def infer_named_weights(
        self, registration: registrations.Registration
    ) -> None:
        """Infers wanted versions from the weights that a runner has loaded.

        They may have been named at any time since all named weights were last
        known. Models that the runner's service isn't declared to run say
        nothing about those of the configuration.
        """
        configuration = self.view.configuration
        for model, version in registration.weights.items():
            if configuration is None or not configuration.runs_model(
                registration.service, model
            ):
                continue
            wanted = self.view.wanted.get(model)
            if wanted is None or wanted.version < version:
                since = self.view.known_at("weights")
                source = wanted_weights.Source.NOT_BEFORE
                if not since:
                    since = self._assumed_named_at()
                    source = wanted_weights.Source.GUESSED
                self.set_wanted_version(
                    model, version, since, "runner", source=source
                )

    def _handle_restart(self, former: backends.Backend) -> None:
        """Handles the restart of a server under the same id.

        Connections to the former incarnation are dead. A request sent on one
        would be lost, and could not safely be retried.
        """
        self.on_restart(former.registration.address)
        if not former.announced_leaving():
            self.on_death(former.registration.incarnation)
        self.lines.write(
            "server_restarted", server=former.registration.incarnation
        )

    def _remove_server(self, name: str) -> None:
        removed = self.view.servers.remove(name)
        if removed is None:
            self.lines.write("server_gone", server=name)
            return
        self._removed[removed.registration.incarnation] = None
        while len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        if not removed.announced_leaving():
            self.on_death(removed.registration.incarnation)
        self.lines.write("server_gone", server=removed.registration.incarnation)

    def tick(self, now: float) -> None:
        """Handles servers whose entries did not change for some time.

        Removes lapsed ones, and uses those withheld.
        """
        for name, until in list(self.lapsed.items()):
            if now >= until:
                del self.lapsed[name]
                self._remove_server(name)
        for name, (registration, until) in list(self.withheld.items()):
            if now >= until:
                del self.withheld[name]
                self._put_server(registration)
