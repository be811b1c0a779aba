"""Numbers in messages between processes, with the range that is accepted.

What a process receives it adds to its clock and sends on, so a number near the
end of its type would make a message that can't be encoded.
"""

from typing import Annotated

import msgspec

# Any signed integer of 64 bits: revisions, versions, tokens, ids. Nothing is
# added to these.
Identifier = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# Times in ms, counts and amounts.
_MAX_NUMBER = 2**53
Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
# Finite amounts that need not be whole.
_MAX_REAL = 1e15
Real = Annotated[float, msgspec.Meta(ge=-_MAX_REAL, le=_MAX_REAL)]
# Longest time that is sent, so that it stays in range when others add to it.
_MAX_MILLISECONDS = 2**52


def milliseconds(seconds: float) -> int:
    """Returns a time in whole ms, bounded to the range of messages."""
    whole = int(seconds * 1000)
    return max(-_MAX_MILLISECONDS, min(_MAX_MILLISECONDS, whole))
