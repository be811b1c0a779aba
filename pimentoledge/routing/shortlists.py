"""Draws the servers of which one is chosen for a request.

The cost of each server depends on all that is known of it, so evaluating every
server of a large service would take most of a request's processor time. Of a
few random servers the best is nearly as good as the best of all (power of two
choices), if those that have the prompt cached are among them.
"""

from collections.abc import Iterator
import random

import attrs

from pimentoledge.routing import backends

# A service with up to so many servers is evaluated completely.
MAX_EVALUATED = 32
# Servers drawn of each kind otherwise.
HOLDERS = 8
NEAR = 16
ANY = 8
# The same if none of these has room.
MORE = 96


@attrs.frozen(kw_only=True)
class Prompt:
    """The prompt of a request, as far as it is cached.

    Attributes:
        namespace: cache namespace of its parts, or None.
        parts: its shared parts.
    """

    namespace: str | None = None
    parts: tuple = ()


def draws(
    servers: backends.Backends,
    *,
    service: str,
    data_centre: str,
    prompt: Prompt,
    software: str | None = None,
) -> Iterator[list[backends.Backend]]:
    """Yields the servers to choose from, then more if none of these has room.

    See `draw` for the other arguments.

    Args:
        servers: all servers.
        service: the service.
        data_centre: the router's own data centre.
        prompt: the request's prompt.
        software: the only software version to choose from, or None. It may be
            rare, so its servers are drawn from alone.
    """
    if software is not None:
        yield _sample(of_software(servers, service, software), MORE)
        return
    for more in (False, True):
        yield draw(
            servers,
            service=service,
            data_centre=data_centre,
            prompt=prompt,
            more=more,
        )
        if len(servers.of_service(service)) <= MAX_EVALUATED:
            return


def of_software(
    servers: backends.Backends, service: str, software: str
) -> list[backends.Backend]:
    """Returns the servers of a service with a software version."""
    return [
        each
        for each in servers.of_service(service)
        if each.registration.stream_software == software
    ]


def draw(
    servers: backends.Backends,
    *,
    service: str,
    data_centre: str,
    prompt: Prompt,
    more: bool = False,
) -> list[backends.Backend]:
    """Returns the servers of a service to choose from.

    Args:
        servers: all servers.
        service: the service.
        data_centre: the router's own data centre.
        prompt: the request's prompt.
        more: whether the servers drawn before had no room.
    """
    declared = servers.of_service(service)
    if len(declared) <= MAX_EVALUATED:
        return declared
    if more:
        return _sample(declared, MORE)
    drawn = dict.fromkeys(_sample(servers.of_place(service, data_centre), NEAR))
    drawn |= dict.fromkeys(_sample(declared, ANY))
    if prompt.namespace is not None:
        drawn |= dict.fromkeys(
            each
            for each in servers.holders_of(
                prompt.namespace, prompt.parts, HOLDERS
            )
            if each.registration.service == service
        )
    return list(drawn)


def _sample(
    listed: list[backends.Backend], number: int
) -> list[backends.Backend]:
    return random.sample(listed, min(number, len(listed)))
