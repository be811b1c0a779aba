"""One entry's account of the quota that it has for one organisation."""

import math

import attrs

from pimentoledge.decisions import declarations


@attrs.define(kw_only=True)
class Account:
    """Tokens and slots of one organisation at this entry.

    Times are monotonic seconds.

    Attributes:
        contract: newest contract seen at this entry.
        owner: mailbox of the entry that owns the limits.
        tokens: lent tokens not yet spent.
        tokens_until: when `tokens` expire.
        slots: concurrent requests that the owner allows at this entry.
        slots_until: when the lease of `slots` expires.
        own_level: tokens left in this entry's own share.
        own_refilled_at: time up to which `own_level` was refilled.
        debt: requests admitted from the own share and not yet reported to
            the owner.
        running: start time by request id.
        waiting: arrival time by request id, in order of arrival.
        rate_denied_until: time before which the owner has no token to lend.
        slots_denied_until: time before which requests without a lent slot
            are refused, as the owner's last answer granted too few.
        next_retry_at: earliest retry time for the next refused caller;
            earlier times are already assigned to other callers.
        scarce: whether the owner has no slot left.
        number: number of the last QuotaRequest.
        requested_at: when the last QuotaRequest was sent; None once it is
            answered.
        needed_slots: slots that the last QuotaRequest needed for running and
            waiting requests.
        arrival_seconds: moving average of the time between requests.
        hold_seconds: moving average of a request's running time.
        used_at: when the last request arrived.
    """

    contract: declarations.Contract
    owner: str
    tokens: int = 0
    tokens_until: float = 0.0
    slots: int = 0
    slots_until: float = 0.0
    own_level: float = 0.0
    own_refilled_at: float = 0.0
    debt: int = 0
    running: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[str, float] = attrs.field(factory=dict)
    rate_denied_until: float = 0.0
    slots_denied_until: float = 0.0
    next_retry_at: float = 0.0
    scarce: bool = False
    number: int = 0
    requested_at: float | None = None
    needed_slots: int = 0
    arrival_seconds: float = 1.0
    hold_seconds: float = 1.0
    used_at: float = 0.0

    def chunk(self, seconds: float) -> int:
        """Returns how many tokens to borrow for `seconds` of demand."""
        wanted = seconds / max(self.arrival_seconds, 1e-6)
        most = max(1.0, self.contract.burst / 2)
        return math.ceil(max(1.0, min(wanted, most)))
