"""Rules for retrying a request after a failed attempt."""

import enum

import attrs

from pimentoledge import results
from pimentoledge.routing import configurations


class AttemptOutcome(enum.StrEnum):
    """How an attempt at one server ended without a response to relay."""

    # Nothing was sent.
    UNSENT = "unsent"
    # The server reported that it did not run the request and never will.
    NOT_RUN = "not_run"
    # The server reported a failure.
    FAILED = "failed"
    # The request was sent; its outcome is unknown.
    BROKE = "broke"
    # The request was sent; the router cancelled it before it got a response.
    WITHDRAWN = "withdrawn"


@attrs.define(kw_only=True)
class AttemptHistory:
    """The attempts of one request so far.

    Attributes:
        sends: how often the request was sent.
        ran_on: incarnations of servers that may have run it.
        refused_by: incarnations of servers that didn't run it.
        unsent: number of attempts that ended before the request was sent.
        pending: incarnation of the server that has it now, or None.
        undone: how often it was sent and certainly not run.
    """

    sends: int = 0
    ran_on: set[str] = attrs.field(factory=set)
    refused_by: set[str] = attrs.field(factory=set)
    unsent: int = 0
    pending: str | None = None
    undone: int = 0

    def runs(self) -> int:
        """Returns how often the request may have run."""
        return self.sends - self.undone

    def sent(self, incarnation: str) -> None:
        """Records that the request is being sent to a server."""
        self.sends += 1
        self.pending = incarnation

    def note_outcome(self, incarnation: str, outcome: AttemptOutcome) -> None:
        """Records the outcome of an attempt."""
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
        """Returns the servers that further attempts leave out."""
        return self.ran_on | self.refused_by


# Failed connections cause no load on servers, but cost time.
MAX_UNSENT = 4
# Limits retries after refusals, which count against the retry budget that all
# routers share.
MAX_SENDS = 4


def may_retry(history: AttemptHistory, route: configurations.Route) -> bool:
    """Returns whether a request may be sent to a further server.

    A request that is not repeatable must not be sent again once a server may
    have run it: a duplicated order, for example, bills a customer twice.
    """
    if history.unsent >= MAX_UNSENT or history.sends >= MAX_SENDS:
        return False
    if not history.ran_on:
        return True
    return route.repeatable() and len(history.ran_on) < route.most_servers


def final_code(history: AttemptHistory) -> results.Code:
    """Returns the code of a request that is not retried any more.

    The client is assured that the request did not run only if no server may
    have run it.
    """
    if history.ran_on:
        return results.Code.SERVICE_FAILED
    return results.Code.OVERLOADED if history.sends else results.Code.NO_SERVER


def quarantine_code(history: AttemptHistory) -> results.Code:
    """Returns the code of a request whose content was quarantined meanwhile."""
    if history.ran_on:
        return results.Code.SERVICE_FAILED
    return results.Code.CRASHES


def timeout_code(history: AttemptHistory) -> results.Code:
    """Returns the code of a request whose deadline has passed.

    A request that is at a server now, or that one may have run before, is
    never reported as not run: the client would send it again.
    """
    if history.ran_on or history.pending is not None:
        return results.Code.DEADLINE_PASSED
    return results.Code.DEADLINE_UNMEETABLE
