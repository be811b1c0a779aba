"""Which software versions have served, as far as all changes are known."""

from collections.abc import Iterable

from pimentoledge.routing import configurations
from pimentoledge.routing import object_caches
from pimentoledge.routing import registrations

# For how long versions and routes are remembered; longer than any stream lasts
# and its client waits.
REMEMBERED_SECONDS = 3600.0


class VersionHistory:
    """The software that served each service, and when routes changed.

    A stream that no router has a record of may have begun at any server that
    was registered in its life, also at one that has left, and by any router.
    So what isn't known without a gap counts as unknown.
    """

    def __init__(self):
        self._serving: dict[str, tuple[str, str]] = {}
        self._ended: dict[tuple[str, str], float] = {}
        self._hosts: dict[str, float] = {}
        self._configuration: configurations.Configuration | None = None
        self._configured_since: float | None = None

    def put(self, registration: registrations.Registration, now: float) -> None:
        """Records that a server is registered."""
        self.remove(registration.server, now)
        self._serving[registration.server] = (
            registration.service,
            registration.stream_software,
        )

    def remove(self, server: str, now: float) -> None:
        """Records that a server is not registered any more."""
        served = self._serving.pop(server, None)
        if served is not None:
            self._ended[served] = now

    def configure(
        self, configuration: configurations.Configuration, now: float
    ) -> None:
        """Records which hosts have other routes than before."""
        before, self._configuration = self._configuration, configuration
        if before is None:
            self._configured_since = now
            return
        for host in before.routes.keys() | configuration.routes.keys():
            former = before.routes.get(host, {})
            current = configuration.routes.get(host, {})
            if former != current and _services(former) != _services(current):
                self._hosts[host] = now

    def expire(self, now: float) -> None:
        """Forgets what ended long ago."""
        for times in (self._ended, self._hosts):
            for key, when in list(times.items()):
                if now - when > REMEMBERED_SECONDS:
                    del times[key]

    def known_since(
        self, host: str, copy: object_caches.ObjectCache | None
    ) -> float | None:
        """Returns since when all changes that concern a host are known.

        Args:
            host: the host of a route.
            copy: the copy of the registrations. A listing doesn't show what
                was registered and removed before it.

        Returns:
            the time in seconds of clocks.now, or None if they aren't known.
        """
        if copy is None or not copy.listed_at or self._configured_since is None:
            return None
        return max(
            copy.listed_at,
            self._configured_since,
            self._hosts.get(host, self._configured_since),
        )

    def only(self, services: Iterable[str], since: float) -> str | None:
        """Returns the only software that has served since a time, or None.

        Args:
            services: the services of a route.
            since: the time, in seconds of clocks.now.
        """
        named = set(services)
        found = {
            software
            for service, software in self._serving.values()
            if service in named
        } | {
            software
            for (service, software), ended in self._ended.items()
            if service in named and ended >= since
        }
        return found.pop() if len(found) == 1 else None


def _services(
    routes: dict[str, configurations.Route],
) -> dict[str, frozenset[str]]:
    return {
        prefix: frozenset(share.service for share in route.shares)
        for prefix, route in routes.items()
    }
