"""What follows from an attempt: on elsewhere, pass on, refuse, or fail."""

import enum

import attrs

from pimentoledge import results
from pimentoledge.routing import configurations


class AttemptOutcome(enum.StrEnum):
    """How an attempt at one server ended without an answer to pass on."""

    # Nothing was sent.
    UNSENT = "unsent"
    # The server said that it did not run the request and never will.
    NOT_RUN = "not_run"
    # The server answered that it failed.
    FAILED = "failed"
    # It was sent; what became of it is unknown.
    BROKE = "broke"
    # It was sent, and the router gave it up before it was known to have begun.
    WITHDRAWN = "withdrawn"


@attrs.define(kw_only=True)
class AttemptHistory:
    """What was done for one request so far.

    Attributes:
        sends: how often it was sent.
        ran_on: servers that may have run it, by incarnation.
        refused_by: servers that didn't run it, by incarnation.
        unsent: how often no connection could be opened.
        pending: the server that has it now, by incarnation, or None.
        undone: how often it was sent and surely not run.
    """

    sends: int = 0
    ran_on: set[str] = attrs.field(factory=set)
    refused_by: set[str] = attrs.field(factory=set)
    unsent: int = 0
    pending: str | None = None
    undone: int = 0

    def runs(self) -> int:
        """Returns how often it may have run."""
        return self.sends - self.undone

    def sent(self, incarnation: str) -> None:
        """Notes that the request is being sent to a server."""
        self.sends += 1
        self.pending = incarnation

    def note_outcome(self, incarnation: str, outcome: AttemptOutcome) -> None:
        """Takes the end of an attempt."""
        never_ran = outcome in (AttemptOutcome.UNSENT, AttemptOutcome.NOT_RUN)
        if self.pending is not None and never_ran:
            self.undone += 1
        self.pending = None
        match outcome:
            case AttemptOutcome.UNSENT:
                self.unsent += 1
                self.refused_by.add(incarnation)
            case AttemptOutcome.NOT_RUN:
                self.refused_by.add(incarnation)
            case (
                AttemptOutcome.FAILED
                | AttemptOutcome.BROKE
                | AttemptOutcome.WITHDRAWN
            ):
                self.ran_on.add(incarnation)

    def excluded_servers(self) -> set[str]:
        """Returns the servers that it need not be sent to again."""
        return self.ran_on | self.refused_by


# Connections that fail cost no server anything, but time.
MOST_UNSENT = 4
# Refusals by servers count against the budget that all entries share.
MOST_SENDS = 4


def may_retry(history: AttemptHistory, route: configurations.Route) -> bool:
    """Returns whether a request may be sent to a further server.

    A request that may not be repeated must not be sent again once a server
    may have run it: a doubled job card bills a client twice.
    """
    if history.unsent >= MOST_UNSENT or history.sends >= MOST_SENDS:
        return False
    if not history.ran_on:
        return True
    return route.repeatable() and len(history.ran_on) < route.most_servers


def final_code(history: AttemptHistory) -> results.Code:
    """Returns the code of a request that is given up.

    Only one that no server may have run is refused with a promise.
    """
    if history.ran_on:
        return results.Code.SERVICE_FAILED
    return results.Code.OVERLOADED if history.sends else results.Code.NO_SERVER


def timeout_code(history: AttemptHistory) -> results.Code:
    """Returns the code of a request whose time is over.

    One that a server has now, or may have run before, is never promised as
    not run: its client would ask for it a second time.
    """
    if history.ran_on or history.pending is not None:
        return results.Code.DEADLINE_PASSED
    return results.Code.DEADLINE_UNMEETABLE
