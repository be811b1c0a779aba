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
MAX_LIST_LENGTH = 256
MAX_DEADLINE_SECONDS = 86400.0
MAX_OUTCOME_SECONDS = 7 * 86400.0
MAX_PER_SECOND = 1e6
MAX_SLOTS = 65536


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
            found = _contract_faults(declaration)
        case declarations.BackendServer():
            found = _server_faults(declaration)
        case declarations.Model():
            found = _model_faults(declaration)
        case declarations.Service():
            found = _service_faults(declaration)
        case declarations.EntryNode():
            found = _entry_faults(declaration)
        case declarations.Operator():
            found = _operator_faults(declaration)
    return [each for each in found if each is not None]


def _contract_faults(it: declarations.Contract) -> abc.Iterator[Fault | None]:
    yield _check_pattern("organisation", it.organisation, NAME, "a name")
    yield _check_list("key_digests", it.key_digests, DIGEST, "64 hex digits")
    yield _check_list("models", it.models, NAME, "names")
    yield _check_list("services", it.services, NAME, "names")
    yield _check_range("share", it.share, 0.001, 1000)
    rate = it.requests_per_second
    yield _check_range("requests_per_second", rate, 0, MAX_PER_SECOND)
    yield _check_range("burst", it.burst, 1, MAX_PER_SECOND)
    yield _check_range("concurrency", it.concurrency, 0, MAX_PER_SECOND)
    longest = it.max_deadline_seconds
    yield _check_range(
        "max_deadline_seconds", longest, 0.001, MAX_DEADLINE_SECONDS
    )
    yield _check_range("deadline_seconds", it.deadline_seconds, 0.001, longest)


def _server_faults(
    it: declarations.BackendServer,
) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", it.name, NAME, "a name")
    yield _check_pattern("serves", it.serves, NAME, "a name")
    yield _check_pattern("agent", it.agent, MAILBOX, "tcp://IP:PORT")
    if it.data_centre:
        yield _check_pattern("data_centre", it.data_centre, NAME, "a name")
    yield _check_range("slots", it.slots, 1, MAX_SLOTS)
    yield _check_pattern("role", it.role, ROLE, "both, prefill or decode")


def _model_faults(it: declarations.Model) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", it.name, NAME, "a name")
    yield _check_pattern("weights", it.weights, NAME, "a name")
    yield _check_list("adapters", it.adapters, NAME, "names")
    yield _check_range("concurrent_loads", it.concurrent_loads, 1, MAX_SLOTS)


def _service_faults(it: declarations.Service) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", it.name, NAME, "a name")
    methods = it.repeatable_methods
    yield _check_list("repeatable_methods", methods, METHOD, "HTTP methods")
    yield _check_range(
        "outcome_seconds", it.outcome_seconds, 0, MAX_OUTCOME_SECONDS
    )


def _entry_faults(it: declarations.EntryNode) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", it.name, NAME, "a name")
    yield _check_pattern("mailbox", it.mailbox, MAILBOX, "tcp://IP:PORT")
    if it.data_centre:
        yield _check_pattern("data_centre", it.data_centre, NAME, "a name")


def _operator_faults(it: declarations.Operator) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", it.name, NAME, "a name")
    yield _check_list("key_digests", it.key_digests, DIGEST, "64 hex digits")


def _check_pattern(
    param: str, value: str, pattern: re.Pattern[str], what: str
) -> Fault | None:
    if pattern.fullmatch(value):
        return None
    return Fault(param=param, text=f"{value!r} must be {what}")


def _check_list(
    param: str, values: list[str], pattern: re.Pattern[str], what: str
) -> Fault | None:
    if len(values) > MAX_LIST_LENGTH:
        return Fault(param=param, text=f"at most {MAX_LIST_LENGTH} allowed")
    if len(set(values)) < len(values):
        return Fault(param=param, text="one is given twice")
    for index, value in enumerate(values):
        if not pattern.fullmatch(value):
            text = f"{value!r} must be one of a list of {what}"
            return Fault(param=f"{param}[{index}]", text=text)
    return None


def _check_range(
    param: str, value: float, low: float, high: float
) -> Fault | None:
    # Written so that a NaN, for which every comparison is false, is refused.
    if low <= value <= high:
        return None
    return Fault(param=param, text=f"{value:g} must be {low:g} to {high:g}")
