"""Numbered result codes, shared by every process and shown to callers.

docs/result-codes.md is generated from MEANINGS; a test compares them.
"""

import enum

import attrs


class Ran(enum.StrEnum):
    """Whether a call ran, as reported in its answer."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "outcome_unknown"


class Code(enum.IntEnum):
    """Result codes, grouped by thousands by who can act on them."""

    OK = 0
    # 1xxx: the request itself.
    BAD_JSON = 1001
    BODY_TOO_LARGE = 1002
    BAD_FIELD = 1003
    UNKNOWN_MODEL = 1004
    UNKNOWN_SERVICE = 1005
    BAD_KEY = 1006
    NOT_PERMITTED = 1007
    KEY_NEEDED = 1008
    NOT_FOUND = 1009
    METHOD_NOT_ALLOWED = 1010
    # 2xxx: limits and load.
    RATE_LIMITED = 2001
    CONCURRENCY_LIMITED = 2002
    DEADLINE_UNMEETABLE = 2003
    OVERLOADED = 2004
    SHUTTING_DOWN = 2005
    CRASHES = 2006
    LIMIT_UNKNOWN = 2007
    STREAM_UNKNOWN = 2008
    STREAM_VERSION_GONE = 2009
    # 3xxx: routing; refusals by agents, and requests that an entry can't place.
    NO_SERVER = 3001
    STALE_INCARNATION = 3002
    STALE_WEIGHTS = 3003
    SERVER_LEAVING = 3004
    SERVER_DOWN = 3005
    WRONG_SERVER = 3006
    AGENT_UNREACHABLE = 3007
    STALE_CONFIGURATION = 3008
    ADAPTER_NOT_LOADED = 3009
    SUSPECT_BUSY = 3010
    CONFIGURATION_INCOMPLETE = 3011
    SERVER_LOADING = 3012
    # 4xxx: the call was started.
    ENGINE_DIED = 4001
    DEADLINE_PASSED = 4002
    POISON = 4003
    STREAM_BROKEN = 4004
    SERVICE_FAILED = 4005
    CALLER_GONE = 4006
    # 5xxx: calls that may not be repeated.
    CLAIM_RUNNING = 5001
    OUTCOME_UNKNOWN = 5002
    CLAIM_STORE_DOWN = 5003
    KEY_REUSED = 5004
    ANSWER_NOT_KEPT = 5005
    CLAIMS_FULL = 5006
    ALREADY_SENT = 5007
    # 6xxx: operators and the platform's store.
    INVALID_DECLARATION = 6001
    VERSION_CONFLICT = 6002
    NOT_ACCEPTED = 6003
    OPERATOR_KEY = 6004
    OPERATOR_ROLE = 6005
    ABSENT = 6006
    PRECONDITION_NEEDED = 6007
    UNCONFIRMED = 6008
    PLATFORM_DOWN = 6009
    # 7xxx: settings and startup.
    BAD_SETTING = 7001
    # 9xxx: defects.
    INTERNAL = 9001


@attrs.frozen(kw_only=True)
class Meaning:
    """What a code means to a caller.

    Attributes:
        status: HTTP status.
        ran: whether the call ran, unless the error overrides it.
        text: default message.
    """

    status: int
    ran: Ran
    text: str


def _row(status: int, ran: Ran, text: str) -> Meaning:
    return Meaning(status=status, ran=ran, text=text)


_NOT_RUN = Ran.NOT_RUN
_RAN = Ran.RAN
_UNKNOWN = Ran.UNKNOWN

MEANINGS: dict[Code, Meaning] = {
    Code.OK: _row(200, _RAN, "done"),
    Code.BAD_JSON: _row(400, _NOT_RUN, "the body is not valid JSON"),
    Code.BODY_TOO_LARGE: _row(413, _NOT_RUN, "the body is too large"),
    Code.BAD_FIELD: _row(400, _NOT_RUN, "a field is missing or out of range"),
    Code.UNKNOWN_MODEL: _row(404, _NOT_RUN, "no such model"),
    Code.UNKNOWN_SERVICE: _row(404, _NOT_RUN, "no such service"),
    Code.BAD_KEY: _row(401, _NOT_RUN, "the API key is missing or unknown"),
    Code.NOT_PERMITTED: _row(
        403, _NOT_RUN, "the contract does not permit this"
    ),
    Code.KEY_NEEDED: _row(
        400, _NOT_RUN, "a call that may not be repeated needs Idempotency-Key"
    ),
    Code.NOT_FOUND: _row(404, _NOT_RUN, "no such path"),
    Code.METHOD_NOT_ALLOWED: _row(405, _NOT_RUN, "method not allowed"),
    Code.RATE_LIMITED: _row(429, _NOT_RUN, "the contract's rate is used up"),
    Code.CONCURRENCY_LIMITED: _row(
        429, _NOT_RUN, "the contract's concurrent requests are used up"
    ),
    Code.DEADLINE_UNMEETABLE: _row(
        503, _NOT_RUN, "the deadline cannot be met by any server"
    ),
    Code.OVERLOADED: _row(503, _NOT_RUN, "all servers are full"),
    Code.SHUTTING_DOWN: _row(503, _NOT_RUN, "this process is shutting down"),
    Code.CRASHES: _row(
        503, _NOT_RUN, "requests with this content crashed servers; not run"
    ),
    Code.LIMIT_UNKNOWN: _row(
        503, _NOT_RUN, "what the contract's rate has left cannot be told now"
    ),
    Code.STREAM_UNKNOWN: _row(
        503,
        _NOT_RUN,
        "the software version that began this stream is not known here",
    ),
    Code.STREAM_VERSION_GONE: _row(
        503, _NOT_RUN, "no server has the software version of this stream"
    ),
    Code.NO_SERVER: _row(503, _NOT_RUN, "no server can take this call now"),
    Code.STALE_INCARNATION: _row(503, _NOT_RUN, "the engine has restarted"),
    Code.STALE_WEIGHTS: _row(503, _NOT_RUN, "the weights have changed"),
    Code.SERVER_LEAVING: _row(503, _NOT_RUN, "the server is leaving"),
    Code.SERVER_DOWN: _row(503, _NOT_RUN, "the server is down"),
    Code.WRONG_SERVER: _row(503, _NOT_RUN, "another server has this address"),
    Code.AGENT_UNREACHABLE: _row(503, _NOT_RUN, "the agent cannot be reached"),
    Code.STALE_CONFIGURATION: _row(
        503, _NOT_RUN, "the configuration has changed"
    ),
    Code.ADAPTER_NOT_LOADED: _row(503, _NOT_RUN, "the adapter is not loaded"),
    Code.SUSPECT_BUSY: _row(503, _NOT_RUN, "another suspect request runs here"),
    Code.CONFIGURATION_INCOMPLETE: _row(
        503, _NOT_RUN, "this entry is starting and lacks the configuration"
    ),
    Code.SERVER_LOADING: _row(503, _NOT_RUN, "the server is loading weights"),
    Code.ENGINE_DIED: _row(502, _RAN, "the engine died while it ran this"),
    Code.DEADLINE_PASSED: _row(504, _UNKNOWN, "the deadline has passed"),
    Code.POISON: _row(
        422, _RAN, "this request ran and crashed the engines that ran it"
    ),
    Code.STREAM_BROKEN: _row(
        502, _RAN, "the stream broke and could not be continued"
    ),
    Code.SERVICE_FAILED: _row(502, _UNKNOWN, "the service gave no answer"),
    Code.CALLER_GONE: _row(499, _RAN, "the caller went away"),
    Code.CLAIM_RUNNING: _row(
        409, _UNKNOWN, "a call with this key is in progress"
    ),
    Code.OUTCOME_UNKNOWN: _row(
        409, _UNKNOWN, "a call with this key may have run; it is not repeated"
    ),
    Code.CLAIM_STORE_DOWN: _row(
        503,
        _NOT_RUN,
        "the claim cannot be made durable now; this request was not run, an"
        " earlier one with its key may have",
    ),
    Code.KEY_REUSED: _row(
        422, _NOT_RUN, "this key was used before with another request"
    ),
    Code.ANSWER_NOT_KEPT: _row(
        409, _RAN, "the call with this key ran; its answer is not kept"
    ),
    Code.CLAIMS_FULL: _row(
        503, _NOT_RUN, "too many keys are remembered; this request was not run"
    ),
    Code.ALREADY_SENT: _row(
        502,
        _UNKNOWN,
        "a request with this id is in progress or may have run; it is not"
        " sent again",
    ),
    Code.INVALID_DECLARATION: _row(
        400, _NOT_RUN, "the declaration is not valid"
    ),
    Code.VERSION_CONFLICT: _row(
        412, _NOT_RUN, "the object has a newer version than the one you read"
    ),
    Code.NOT_ACCEPTED: _row(
        503, _NOT_RUN, "the platform's store did not take this; not accepted"
    ),
    Code.OPERATOR_KEY: _row(401, _NOT_RUN, "the operator key is unknown"),
    Code.OPERATOR_ROLE: _row(403, _NOT_RUN, "the operator's role forbids this"),
    Code.ABSENT: _row(404, _NOT_RUN, "no such object"),
    Code.PRECONDITION_NEEDED: _row(
        428, _NOT_RUN, "If-Match or If-None-Match is needed"
    ),
    Code.UNCONFIRMED: _row(
        504, _UNKNOWN, "the store's answer was lost; read the object again"
    ),
    Code.PLATFORM_DOWN: _row(
        503, _NOT_RUN, "the platform's service gave no answer"
    ),
    Code.BAD_SETTING: _row(500, _NOT_RUN, "a setting is not valid"),
    Code.INTERNAL: _row(500, _UNKNOWN, "a defect of pimentoledge"),
}


_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}
_FIRST_SERVER_STATUS = 500


@attrs.frozen(kw_only=True)
class Error:
    """An error, as it is passed on and shown to callers.

    Attributes:
        code: result code.
        text: message for people; empty for the code's default message.
        ran: whether the call ran, if it differs from the code's default.
        retry_after: seconds after which to retry; 0 for no advice.
    """

    code: Code
    text: str = ""
    ran: Ran | None = None
    retry_after: float = 0.0

    def message(self) -> str:
        """Returns the text, or the code's default message without one."""
        return self.text or MEANINGS[self.code].text

    def status(self) -> int:
        """Returns the HTTP status."""
        return MEANINGS[self.code].status

    def outcome(self) -> Ran:
        """Returns whether the call ran."""
        return self.ran or MEANINGS[self.code].ran

    def fields(self, param: str | None = None) -> dict[str, object]:
        """Returns the error object that every interface returns.

        It is the OpenAI error object, extended by the number of the result
        code, whether the call ran, and when to retry.

        Args:
            param: name of the invalid field, if any.
        """
        return {
            "message": self.message(),
            "type": error_type(self.status()),
            "param": param,
            "code": self.code.name,
            "number": int(self.code),
            "outcome": str(self.outcome()),
            "retry_after": self.retry_after,
        }


def error_type(status: int) -> str:
    """Returns the type of the OpenAI error object for an HTTP status."""
    if status >= _FIRST_SERVER_STATUS:
        return "server_error"
    return _ERROR_TYPES.get(status, "invalid_request_error")
