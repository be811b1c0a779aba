"""Checks a caller's request against its organisation's contract."""

import attrs
from returns import result

from pimentoledge import results
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.decisions import quarantine


@attrs.frozen(kw_only=True)
class Accepted:
    """A request that its organisation's contract permits.

    Attributes:
        contract: the organisation's contract.
        seconds: time limit of the request.
    """

    contract: declarations.Contract
    seconds: float


def _fail(code: results.Code, text: str = "") -> result.Failure:
    return result.Failure(results.Error(code=code, text=text))


def check(
    event: events.CallerRequest, view: configuration.Configuration
) -> result.Result[Accepted, results.Error]:
    """Checks API key, permissions, idempotency key and deadline.

    Also checks that the model, adapter or service exists.
    """
    contract = view.contract_by_key(event.key_digest)
    if contract is None and not view.is_complete():
        # The contract may not have been received yet: an entry that has just
        # started must not reject a valid key as unknown.
        return _fail(results.Code.CONFIGURATION_INCOMPLETE)
    if contract is None:
        return _fail(results.Code.BAD_KEY)
    if event.completion is not None:
        error = _check_model(event, contract, view)
    else:
        error = _check_service(event, contract, view)
    if error is not None:
        return result.Failure(error)
    seconds = event.seconds or contract.deadline_seconds
    if seconds > contract.max_deadline_seconds:
        text = f"the deadline is over {contract.max_deadline_seconds:g} seconds"
        return _fail(results.Code.BAD_FIELD, text)
    return result.Success(Accepted(contract=contract, seconds=seconds))


def _check_model(
    event: events.CallerRequest,
    contract: declarations.Contract,
    view: configuration.Configuration,
) -> results.Error | None:
    model = view.model(event.completion.model)
    if event.completion.model not in contract.models:
        code = results.Code.UNKNOWN_MODEL
        if model is not None:
            code = results.Code.NOT_PERMITTED
        return results.Error(code=code, text=f"{event.completion.model!r}")
    adapter = event.completion.adapter
    if model is None:
        return results.Error(code=results.Code.UNKNOWN_MODEL)
    if adapter and adapter not in model.adapters:
        text = f"no such adapter: {adapter!r}"
        return results.Error(code=results.Code.UNKNOWN_MODEL, text=text)
    return None


def _check_service(
    event: events.CallerRequest,
    contract: declarations.Contract,
    view: configuration.Configuration,
) -> results.Error | None:
    service = view.service(event.call.service)
    if service is None:
        return results.Error(code=results.Code.UNKNOWN_SERVICE)
    if service.name not in contract.services:
        return results.Error(code=results.Code.NOT_PERMITTED)
    event.call.repeatable = event.call.method in service.repeatable_methods
    if not event.call.repeatable and not event.idempotency_key:
        return results.Error(code=results.Code.KEY_NEEDED)
    return None


def fingerprint(organisation: str, event: events.CallerRequest) -> bytes:
    """Returns a digest of organisation and content, stable over resends."""
    completion = event.completion
    if completion is not None:
        parts = [completion.model, completion.adapter, completion.prompt]
        return quarantine.fingerprint_of(
            organisation, [each.encode() for each in parts]
        )
    call = event.call
    parts = [call.service, call.method, call.path, call.query]
    return quarantine.fingerprint_of(
        organisation, [*(each.encode() for each in parts), call.body]
    )
