"""What one entry holds of one organisation's limits."""

import math

import attrs

from pimentoledge.decisions import declarations


@attrs.define(kw_only=True)
class Account:
    """What this entry holds of one organisation's limits.

    Attributes:
        contract: newest contract seen here.
        owner: mailbox of the entry that owns the limits.
        tokens: tokens lent and not yet spent.
        tokens_until: when they lapse.
        slots: concurrent requests that the owner allows here.
        slots_until: when that lapses.
        own_level: tokens of the own share.
        own_at: time up to which `own_level` counts.
        debt: requests let in from the own share and not yet reported.
        running: start time by request id.
        waiting: time of arrival by request id, in that order.
        rate_denied_until: the owner has said that there is no token before.
        slots_denied_until: the same for slots.
        promised_until: a caller refused earlier was told to come back then.
        scarce: whether the owner has no slot left.
        number: that of the last Borrow.
        asked_at: when it was sent; None when it is answered.
        needed: slots that it needed for what ran and waited.
        arrival_seconds: moving average of the time between requests.
        hold_seconds: moving average of the time that a request runs.
        used_at: when the last request came.
    """

    contract: declarations.Contract
    owner: str
    tokens: int = 0
    tokens_until: float = 0.0
    slots: int = 0
    slots_until: float = 0.0
    own_level: float = 0.0
    own_at: float = 0.0
    debt: int = 0
    running: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[str, float] = attrs.field(factory=dict)
    rate_denied_until: float = 0.0
    slots_denied_until: float = 0.0
    promised_until: float = 0.0
    scarce: bool = False
    number: int = 0
    asked_at: float | None = None
    needed: int = 0
    arrival_seconds: float = 1.0
    hold_seconds: float = 1.0
    used_at: float = 0.0

    def chunk(self, seconds: float) -> int:
        """Returns how many tokens to borrow ahead."""
        wanted = seconds / max(self.arrival_seconds, 1e-6)
        most = max(1.0, self.contract.burst / 2)
        return math.ceil(max(1.0, min(wanted, most)))
