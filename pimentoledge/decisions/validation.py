"""Which values a declaration may have, beside the types of its fields.

The rules hold for what an operator sends and for what a node takes into
force, so a rule may be loosened in a later release but never tightened: a
node of the new release would drop what one of the old release accepted.
"""

from collections import abc
import re

import attrs

from pimentoledge.decisions import declarations

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ROLE = re.compile(r"both|prefill|decode")
MAILBOX = re.compile(r"tcp://\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
DIGEST = re.compile(r"[0-9a-f]{64}")
METHOD = re.compile(r"[A-Z]{1,16}")
MOST_LISTED = 256
LONGEST_DEADLINE = 86400.0
LONGEST_OUTCOME = 7 * 86400.0
MOST_PER_SECOND = 1e6
MOST_SLOTS = 65536


@attrs.frozen(kw_only=True)
class Fault:
    """A field that may not have the value it has.

    Attributes:
        param: the field's name.
        text: what is wrong with it, for a person.
    """

    param: str
    text: str


def faults(declaration: declarations.Declaration) -> list[Fault]:
    """Returns what is wrong with the values of a declaration."""
    match declaration:
        case declarations.Contract():
            found = _contract(declaration)
        case declarations.BackendServer():
            found = _server(declaration)
        case declarations.Model():
            found = _model(declaration)
        case declarations.Service():
            found = _service(declaration)
        case declarations.EntryNode():
            found = _entry(declaration)
        case declarations.Operator():
            found = _operator(declaration)
    return [each for each in found if each is not None]


def _contract(it: declarations.Contract) -> abc.Iterator[Fault | None]:
    yield _matches("organisation", it.organisation, NAME, "a name")
    yield _listed("key_digests", it.key_digests, DIGEST, "64 hex digits")
    yield _listed("models", it.models, NAME, "names")
    yield _listed("services", it.services, NAME, "names")
    yield _within("share", it.share, 0.001, 1000)
    rate = it.requests_per_second
    yield _within("requests_per_second", rate, 0, MOST_PER_SECOND)
    yield _within("burst", it.burst, 1, MOST_PER_SECOND)
    yield _within("concurrency", it.concurrency, 0, MOST_PER_SECOND)
    longest = it.max_deadline_seconds
    yield _within("max_deadline_seconds", longest, 0.001, LONGEST_DEADLINE)
    yield _within("deadline_seconds", it.deadline_seconds, 0.001, longest)


def _server(it: declarations.BackendServer) -> abc.Iterator[Fault | None]:
    yield _matches("name", it.name, NAME, "a name")
    yield _matches("serves", it.serves, NAME, "a name")
    yield _matches("agent", it.agent, MAILBOX, "tcp://IP:PORT")
    if it.data_centre:
        yield _matches("data_centre", it.data_centre, NAME, "a name")
    yield _within("slots", it.slots, 1, MOST_SLOTS)
    yield _matches("role", it.role, ROLE, "both, prefill or decode")


def _model(it: declarations.Model) -> abc.Iterator[Fault | None]:
    yield _matches("name", it.name, NAME, "a name")
    yield _matches("weights", it.weights, NAME, "a name")
    yield _listed("adapters", it.adapters, NAME, "names")
    yield _within("concurrent_loads", it.concurrent_loads, 1, MOST_SLOTS)


def _service(it: declarations.Service) -> abc.Iterator[Fault | None]:
    yield _matches("name", it.name, NAME, "a name")
    methods = it.repeatable_methods
    yield _listed("repeatable_methods", methods, METHOD, "HTTP methods")
    yield _within("outcome_seconds", it.outcome_seconds, 0, LONGEST_OUTCOME)


def _entry(it: declarations.EntryNode) -> abc.Iterator[Fault | None]:
    yield _matches("name", it.name, NAME, "a name")
    yield _matches("mailbox", it.mailbox, MAILBOX, "tcp://IP:PORT")
    if it.data_centre:
        yield _matches("data_centre", it.data_centre, NAME, "a name")


def _operator(it: declarations.Operator) -> abc.Iterator[Fault | None]:
    yield _matches("name", it.name, NAME, "a name")
    yield _listed("key_digests", it.key_digests, DIGEST, "64 hex digits")


def _matches(
    param: str, value: str, pattern: re.Pattern[str], what: str
) -> Fault | None:
    if pattern.fullmatch(value):
        return None
    return Fault(param=param, text=f"{value!r} must be {what}")


def _listed(
    param: str, values: list[str], pattern: re.Pattern[str], what: str
) -> Fault | None:
    if len(values) > MOST_LISTED:
        return Fault(param=param, text=f"at most {MOST_LISTED} allowed")
    if len(set(values)) < len(values):
        return Fault(param=param, text="one is given twice")
    for index, value in enumerate(values):
        if not pattern.fullmatch(value):
            text = f"{value!r} must be one of a list of {what}"
            return Fault(param=f"{param}[{index}]", text=text)
    return None


def _within(param: str, value: float, low: float, high: float) -> Fault | None:
    # Written so that a NaN, for which every comparison is false, is refused.
    if low <= value <= high:
        return None
    return Fault(param=param, text=f"{value:g} must be {low:g} to {high:g}")
