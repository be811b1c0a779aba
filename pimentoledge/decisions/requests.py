"""Builds the placement input, the dispatch and the log lines of a request."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.decisions import placement
from pimentoledge.decisions import prefixes
from pimentoledge.decisions import retries
from pimentoledge.decisions import streams
from pimentoledge.decisions import tickets
from pimentoledge.nodes import messages

# Assumed prompt bytes per token, until the engine reports the token count.
TOKEN_BYTES = 4
# Maximum number of candidates in a log line.
LOGGED_CANDIDATES = 4


def prompt_blocks(
    event: events.CallerRequest, organisation: str, block_bytes: int
) -> list[bytes]:
    """Returns the chained block digests of a request's prompt."""
    completion = event.completion
    if completion is None:
        return []
    salt = prefixes.salt(
        organisation=organisation,
        model=completion.model,
        adapter=completion.adapter,
        # During an upgrade two weights versions serve at the same time, and a
        # request may run on either. A hint belongs to one engine life with
        # one version, which keeps the versions apart. The agent salts the
        # engine's cache keys with the loaded version.
        weights="",
    )
    return prefixes.chain(
        salt=salt, text=completion.prompt.encode(), block_bytes=block_bytes
    )


def prompt_tokens(ticket: tickets.Ticket) -> int:
    """Returns the estimated length of a request's prompt in tokens."""
    completion = ticket.event.completion
    if completion is None:
        return 0
    return len(completion.prompt.encode()) // TOKEN_BYTES


def placement_request(
    ticket: tickets.Ticket, serves: str, block_bytes: int, now: float
) -> placement.PlacementRequest:
    """Returns the placement input for a request."""
    completion = ticket.event.completion
    return placement.PlacementRequest(
        request=ticket.event.request,
        organisation=ticket.contract.organisation,
        model=serves,
        adapter=completion.adapter if completion is not None else "",
        blocks=ticket.blocks,
        block_tokens=block_bytes // TOKEN_BYTES,
        prompt_tokens=prompt_tokens(ticket),
        priority=ticket.priority(),
        seconds_left=ticket.deadline - now,
        avoid=frozenset(ticket.attempt_state.avoid),
    )


def dispatch(
    ticket: tickets.Ticket,
    attempt: streams.Attempt,
    choice: placement.Choice,
    version: int,
    now: float,
) -> messages.Dispatch:
    """Returns the message that requests an agent to run an attempt.

    Args:
        ticket: state of the request.
        attempt: the new attempt.
        choice: the chosen server and the state assumed for it.
        version: the entry's configuration version.
        now: current time.
    """
    event = ticket.event
    completion = event.completion
    if completion is not None:
        completion.continued = ticket.stream.continued()
        completion.continued_tokens = ticket.stream.continued_tokens()
    return messages.Dispatch(
        request=event.request,
        attempt=attempt.number,
        organisation=ticket.contract.organisation,
        priority=ticket.priority(),
        share=ticket.contract.share,
        seconds_left=ticket.deadline - now,
        server=choice.server,
        incarnation=choice.incarnation,
        weights=choice.weights if completion is not None else "",
        configuration=version,
        expected_depth=choice.expected_depth,
        prompt_tokens=prompt_tokens(ticket),
        fingerprint=ticket.fingerprint,
        crashes=ticket.crashes,
        key=event.idempotency_key,
        sequence=attempt.sequence,
        completion=completion,
        call=event.call,
        trace=event.trace,
    )


def log_route(
    ticket: tickets.Ticket, choice: placement.Choice
) -> actions.LogDecision:
    """Returns the log line for a placement."""
    considered = choice.candidates[:LOGGED_CANDIDATES]
    fields: dict[str, object] = {
        "request": ticket.event.request,
        "organisation": ticket.contract.organisation,
        "attempt": ticket.stream.attempt + 1,
        "choice": choice.server,
        "reason": choice.reason,
        "expected_depth": choice.expected_depth,
        "candidates": {each.server: round(each.cost, 4) for each in considered},
        "considered": len(choice.candidates),
    }
    return actions.LogDecision(kind="route", fields=fields)


def log_poison(ticket: tickets.Ticket) -> actions.LogDecision:
    """Returns the log line for a request refused as poison."""
    fields: dict[str, object] = {
        "request": ticket.event.request,
        "organisation": ticket.contract.organisation,
        "fingerprint": ticket.fingerprint.hex(),
        "verdict": "refused",
    }
    return actions.LogDecision(kind="poison", fields=fields)


def log_step(
    ticket: tickets.Ticket,
    failure: retries.Failure,
    step: retries.Retry | retries.GiveUp,
) -> actions.LogDecision:
    """Returns the log line for the retry or end after a failed attempt."""
    fields: dict[str, object] = {
        "request": ticket.event.request,
        "attempt": ticket.stream.attempt,
        "server": ticket.server,
        "failure": failure.code.name,
    }
    match step:
        case retries.Retry():
            fields["step"] = "retry"
            fields["delay"] = step.delay
        case retries.GiveUp():
            fields["step"] = "give_up"
            fields["reason"] = step.error.code.name
    return actions.LogDecision(kind="retry", fields=fields)
