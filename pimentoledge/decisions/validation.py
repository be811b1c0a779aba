"""Validates the values of declarations beyond the types of their fields.

The rules apply to declarations that an operator sends and to those that a
node loads. A later release may therefore loosen a rule but never tighten it:
a node of the new release would drop what one of the old release accepted.
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
    """An invalid value of a field.

    Attributes:
        param: the field's name.
        text: human-readable reason.
    """

    param: str
    text: str


def faults(declaration: declarations.Declaration) -> list[Fault]:
    """Returns the invalid values of a declaration; empty if it is valid."""
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


def _contract_faults(
    contract: declarations.Contract,
) -> abc.Iterator[Fault | None]:
    yield _check_pattern("organisation", contract.organisation, NAME, "a name")
    yield _check_list(
        "key_digests", contract.key_digests, DIGEST, "64 hex digits"
    )
    yield _check_list("models", contract.models, NAME, "names")
    yield _check_list("services", contract.services, NAME, "names")
    yield _check_range("share", contract.share, 0.001, 1000)
    rate = contract.requests_per_second
    yield _check_range("requests_per_second", rate, 0, MAX_PER_SECOND)
    yield _check_range("burst", contract.burst, 1, MAX_PER_SECOND)
    yield _check_range("concurrency", contract.concurrency, 0, MAX_PER_SECOND)
    longest = contract.max_deadline_seconds
    yield _check_range(
        "max_deadline_seconds", longest, 0.001, MAX_DEADLINE_SECONDS
    )
    yield _check_range(
        "deadline_seconds", contract.deadline_seconds, 0.001, longest
    )


def _server_faults(
    server: declarations.BackendServer,
) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", server.name, NAME, "a name")
    yield _check_pattern("serves", server.serves, NAME, "a name")
    yield _check_pattern("agent", server.agent, MAILBOX, "tcp://IP:PORT")
    if server.data_centre:
        yield _check_pattern("data_centre", server.data_centre, NAME, "a name")
    yield _check_range("slots", server.slots, 1, MAX_SLOTS)
    yield _check_pattern("role", server.role, ROLE, "both, prefill or decode")


def _model_faults(model: declarations.Model) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", model.name, NAME, "a name")
    yield _check_pattern("weights", model.weights, NAME, "a name")
    yield _check_list("adapters", model.adapters, NAME, "names")
    yield _check_range("concurrent_loads", model.concurrent_loads, 1, MAX_SLOTS)


def _service_faults(
    service: declarations.Service,
) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", service.name, NAME, "a name")
    methods = service.repeatable_methods
    yield _check_list("repeatable_methods", methods, METHOD, "HTTP methods")
    yield _check_range(
        "outcome_seconds", service.outcome_seconds, 0, MAX_OUTCOME_SECONDS
    )


def _entry_faults(entry: declarations.EntryNode) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", entry.name, NAME, "a name")
    yield _check_pattern("mailbox", entry.mailbox, MAILBOX, "tcp://IP:PORT")
    if entry.data_centre:
        yield _check_pattern("data_centre", entry.data_centre, NAME, "a name")


def _operator_faults(
    operator: declarations.Operator,
) -> abc.Iterator[Fault | None]:
    yield _check_pattern("name", operator.name, NAME, "a name")
    yield _check_list(
        "key_digests", operator.key_digests, DIGEST, "64 hex digits"
    )


def _check_pattern(
    param: str, value: str, pattern: re.Pattern[str], expected: str
) -> Fault | None:
    if pattern.fullmatch(value):
        return None
    return Fault(param=param, text=f"{value!r} must be {expected}")


def _check_list(
    param: str, values: list[str], pattern: re.Pattern[str], expected: str
) -> Fault | None:
    if len(values) > MAX_LIST_LENGTH:
        return Fault(param=param, text=f"at most {MAX_LIST_LENGTH} allowed")
    if len(set(values)) < len(values):
        return Fault(param=param, text="one is given twice")
    for index, value in enumerate(values):
        if not pattern.fullmatch(value):
            text = f"{value!r} must be one of a list of {expected}"
            return Fault(param=f"{param}[{index}]", text=text)
    return None


def _check_range(
    param: str, value: float, low: float, high: float
) -> Fault | None:
    # Every comparison with NaN is false, so this form also rejects NaN.
    if low <= value <= high:
        return None
    return Fault(param=param, text=f"{value:g} must be {low:g} to {high:g}")
