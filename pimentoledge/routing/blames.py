"""Which content or prompt part is to blame for the deaths of servers.

When a server dies, everything that it ran is lost with it, so what sound
requests share collects crashes too. A crash is blamed on the suspect that
explains the most crashes, and then counts against no other: a greedy set cover.
What has succeeded shortly before comes last: until then it was sound.
"""

from collections.abc import Iterable
import enum

import attrs

# Least number and least sum of weights of unexplained crashes, of the content
# of a request and of a prompt part, which other requests share.
MIN_CONTENT_CRASHES = 2
MIN_CONTENT_WEIGHT = 1.5
MIN_PART_CRASHES = 3
MIN_PART_WEIGHT = 3.0


# Least number of unexplained crashes of what has enough in all: servers that
# several suspects crash at the same moment leave few to each of them.
MIN_OWN_CRASHES = 2
# Weight of a crash of a part that a part with less trust may have caused.
RIVAL_WEIGHT = 0.625


class Trust(enum.IntEnum):
    """What speaks for a part before the first crash that counts against it."""

    # No success for long.
    NONE = 0
    # A success would not be known: no router remembers that time.
    UNKNOWN = 1
    # It succeeded shortly before.
    RECENT = 2


@attrs.frozen(kw_only=True)
class Evidence:
    """The crashes that count against one suspect.

    Attributes:
        key: the suspect.
        depth: place of a part in the prompt, 1 for the first; 0 for the whole
            content of a request.
        crashes: weight of each crash, 1 at most, by incarnation of the server.
        succeeded_at: when the suspect last succeeded.
        trust: what spoke for it before; NONE for content.
    """

    key: str
    depth: int
    crashes: dict[str, float]
    succeeded_at: float
    trust: Trust = Trust.NONE

    def without(self, explained: set[str]) -> dict[str, float]:
        """Returns the crashes that nothing else explains."""
        return {
            incarnation: weight
            for incarnation, weight in self.crashes.items()
            if incarnation not in explained
        }

    def is_enough(self, crashes: dict[str, float]) -> bool:
        """Returns whether so many unexplained crashes convict the suspect."""
        weight = sum(crashes.values())
        if self.depth:
            return (
                len(crashes) >= MIN_PART_CRASHES and weight >= MIN_PART_WEIGHT
            )
        return (
            len(crashes) >= MIN_CONTENT_CRASHES and weight >= MIN_CONTENT_WEIGHT
        )

    def is_to_blame(self, crashes: dict[str, float]) -> bool:
        """Returns whether the suspect is to blame for unexplained crashes."""
        if self.is_enough(crashes):
            return True
        return (
            self.trust is not Trust.RECENT
            and len(crashes) >= MIN_OWN_CRASHES
            and self.is_enough(self.crashes)
        )


def precedes(rival: tuple[Trust, int], suspect: tuple[Trust, int]) -> bool:
    """Returns whether a part is blamed before another one.

    Where nothing is known, the part that stands later in the prompt is, since
    fewer sound requests share it.

    Args:
        rival: trust and depth of a part.
        suspect: those of another one.
    """
    return _order(*rival) < _order(*suspect)


def _order(trust: Trust, depth: int) -> tuple[Trust, int]:
    return trust, -depth if trust is Trust.UNKNOWN else 0


def explain(suspects: Iterable[Evidence]) -> dict[str, dict[str, float]]:
    """Returns the crashes that each suspect to blame explains, by suspect.

    Parts with less trust are blamed first. Content competes with each part: all
    that a part crashes is some request's content, too.
    """
    contents: list[Evidence] = []
    parts: dict[tuple[Trust, int], list[Evidence]] = {}
    for each in suspects:
        if each.depth:
            order = _order(each.trust, each.depth)
            parts.setdefault(order, []).append(each)
        else:
            contents.append(each)
    explained: set[str] = set()
    blamed_parts: dict[str, dict[str, float]] = {}
    blamed: dict[str, dict[str, float]] = _cover(contents, explained)
    for order in sorted(parts):
        blamed = _cover(contents + parts[order], explained)
        for each in parts[order]:
            if each.key in blamed:
                blamed_parts[each.key] = blamed[each.key]
                explained |= blamed[each.key].keys()
    return blamed_parts | blamed


def _cover(
    suspects: list[Evidence], explained: set[str]
) -> dict[str, dict[str, float]]:
    """Returns what suspects explain of the crashes not explained so far.

    Of suspects with equally many crashes the narrowest is blamed, since the
    fewest sound requests share it: a content before a part, then what has not
    succeeded for longest, then what stands later in the prompt.
    """
    candidates = list(suspects)
    explained = set(explained)
    blamed: dict[str, dict[str, float]] = {}
    while candidates:
        best = max(candidates, key=lambda each: _rank(each, explained))
        candidates.remove(best)
        crashes = best.without(explained)
        if best.is_to_blame(crashes):
            blamed[best.key] = crashes
            explained |= crashes.keys()
    return blamed


def _rank(
    evidence: Evidence, explained: set[str]
) -> tuple[int, bool, float, int, str]:
    return (
        len(evidence.without(explained)),
        not evidence.depth,
        -evidence.succeeded_at,
        evidence.depth,
        evidence.key,
    )
