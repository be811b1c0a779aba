"""Messages between routers about limits of organisations and servers."""

import attrs

from pimentoledge.nodes import numbers


@attrs.define(kw_only=True)
class LeaseRights:
    """Leases the sender's rights of some slots to the receiver.

    The message lists all slots whose rights the receiver has from then on.

    Attributes:
        number: increases with each message of one process to this receiver.
        life: identifies the sender's process among its restarts.
        echo_ms: the receiver's clock reading in its newest answer, or 0; the
            lease expires `term_ms` after it.
        term_ms: length of the lease.
        share: the sender's part of every limit.
        slots: slots that are lent.
        fresh: slots, lent or about to be, that get the sender's part of the
            allowance. Repeated until a message is answered; counts once in a
            window.
        unanswered: number of messages to the receiver, including this one,
            since the newest that it answered.
    """

    number: numbers.Number
    life: numbers.Identifier
    echo_ms: numbers.Number
    term_ms: numbers.Number
    share: numbers.Real
    slots: list[numbers.Number]
    fresh: list[numbers.Number]
    unanswered: numbers.Number = 1


@attrs.define(kw_only=True)
class RightsLeased:
    """Answers LeaseRights.

    Attributes:
        number: number of the message that it answers.
        clock_ms: the sender's clock reading.
        leaving: whether the sender is shutting down and has released all
            rights of other routers.
    """

    number: numbers.Number
    clock_ms: numbers.Number
    leaving: bool = False


@attrs.define(kw_only=True)
class Acquire:
    """Requests the cost of a request from the owner of a slot.

    Attributes:
        number: number of the acquire.
        organisation: organisation of the request, or the name of a server's
            limit.
        cost: cost in the unit of the limit.
        version: version of the configuration that defines the limit.
        per_second: the limit's rate.
        burst: the limit's burst.
        limit_age_ms: age of a server's limit; -1 for an organisation's.
    """

    number: numbers.Number
    organisation: str
    cost: numbers.Real
    version: numbers.Identifier
    per_second: numbers.Real
    burst: numbers.Real
    limit_age_ms: numbers.Number = -1


@attrs.define(kw_only=True)
class Acquired:
    """Answers Acquire.

    Attributes:
        number: number of the acquire.
        granted: whether the request may run.
        wait_ms: if refused, time until there is room for it; -1 if never.
        left: level of the pool before the request, in the limit's unit.
        share: part of all rights that the owner has.
    """

    number: numbers.Number
    granted: bool
    wait_ms: numbers.Number
    left: numbers.Real
    share: numbers.Real


@attrs.define(kw_only=True)
class GiveBack:
    """Refunds the cost of a granted request that never ran.

    Attributes:
        organisation: organisation of the request, or the name of a server's
            limit.
        cost: the cost that was acquired.
    """

    organisation: str
    cost: numbers.Real
