"""Which of two records of an object of the store is kept.

Positions order the records that the store gives out, but a restored store gives
out older content at later positions. What is known to be newer by its content
is kept then.
"""

from collections.abc import Callable

import attrs

from pimentoledge.routing import registrations

# Returns the content to keep of an earlier and a later record of one object, at
# the position of the later one.
Merge = Callable[
    [registrations.Stored, registrations.Stored], registrations.Stored
]


def keep_later(
    earlier: registrations.Stored, later: registrations.Stored
) -> registrations.Stored:
    """Returns the later record."""
    return later


def by_version(
    version_of: Callable[[registrations.Stored], int],
) -> Merge:
    """Returns a merge that keeps the content with the higher version.

    Args:
        version_of: returns the version in an object's content; raises
            ValueError.
    """

    def merge(
        earlier: registrations.Stored, later: registrations.Stored
    ) -> registrations.Stored:
        try:
            if version_of(earlier) <= version_of(later):
                return later
        except ValueError:
            # An unreadable object is logged where it is applied.
            return later
        return _at_position_of(later, earlier)

    return merge


def registrations_merge(
    decode: Callable[[registrations.Stored], registrations.Registration],
    heartbeats_of: Callable[[registrations.Stored], int],
) -> Merge:
    """Returns a merge for the entries of backend servers.

    Of one incarnation, the entry with more heartbeats is newer. Of entries that
    heartbeats don't order, none takes back that the server leaves.

    Args:
        decode: decodes an entry; raises ValueError.
        heartbeats_of: returns the number of heartbeats that an entry counts;
            raises ValueError.
    """

    def merge(
        earlier: registrations.Stored, later: registrations.Stored
    ) -> registrations.Stored:
        try:
            before, after = decode(earlier), decode(later)
            heartbeats = heartbeats_of(later) - heartbeats_of(earlier)
        except ValueError:
            # An unreadable object is logged where it is applied.
            return later
        if after.is_older_than(before):
            return _at_position_of(later, earlier)
        if before.incarnation != after.incarnation or heartbeats > 0:
            return later
        if heartbeats < 0:
            return _at_position_of(later, earlier)
        return attrs.evolve(later, leaving=before.leaving or after.leaving)

    return merge


def _at_position_of(
    later: registrations.Stored, kept: registrations.Stored
) -> registrations.Stored:
    return attrs.evolve(kept, era=later.era, revision=later.revision)
