"""Which content or prompt part is to blame for the deaths of servers.

When a server dies, everything that it ran is lost with it, so what sound
requests share collects crashes too. A crash is blamed on the suspect that
explains the most crashes, and then counts against no other: a greedy set cover.
"""

from collections.abc import Iterable

import attrs

# Least number and least sum of weights of unexplained crashes, of the content
# of a request and of a prompt part, which other requests share.
MIN_CONTENT_CRASHES = 2
MIN_CONTENT_WEIGHT = 1.5
MIN_PART_CRASHES = 3
MIN_PART_WEIGHT = 3.0


@attrs.frozen(kw_only=True)
class Evidence:
    """The crashes that count against one suspect.

    Attributes:
        key: the suspect.
        depth: place of a part in the prompt, 1 for the first; 0 for the whole
            content of a request.
        crashes: weight of each crash, 1 at most, by incarnation of the server.
        succeeded_at: when the suspect last succeeded.
    """

    key: str
    depth: int
    crashes: dict[str, float]
    succeeded_at: float

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


def explain(suspects: Iterable[Evidence]) -> dict[str, dict[str, float]]:
    """Returns the crashes that each suspect to blame explains, by suspect.

    Of suspects with equally many crashes the narrowest is blamed, since the
    fewest sound requests share it: a content before a part, then what has not
    succeeded for longest, then what stands later in the prompt.
    """
    candidates = list(suspects)
    explained: set[str] = set()
    blamed: dict[str, dict[str, float]] = {}
    while candidates:
        best = max(candidates, key=lambda each: _rank(each, explained))
        candidates.remove(best)
        crashes = best.without(explained)
        if best.is_enough(crashes):
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
