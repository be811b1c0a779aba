"""The platform's spellings, each once.

Where a name says little or misleads, a comment says what it holds.
"""

# Headers of requests and answers.
REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"server-stamp"
ORGANISATION = b"tenant"
INCARNATION_ONLY = b"expect-instance"
SERVER_LOAD = b"server-load"
NOT_RUN = b"not-run"
RETRY_AFTER = b"retry-after"
# "1" in all answers of a server that leaves.
SERVER_LEAVING = b"server-leaving"
# Requests a second that a server in need takes of all machines together.
SERVER_LIMIT = b"server-limit"
INCARNATION = b"instance-id"
MODEL = b"model"
# Two numbers: tokens of the prompt, most tokens of the answer.
TOKEN_USAGE = b"token-usage"
NAMESPACE = b"cache-salt"
URGENCY = b"request-priority"
FETCH = b"kv-fetch"
SAVE = b"kv-save"
# One integer in an answer's head, though the name is a plural.
WEIGHT_VERSIONS = b"weight-versions"
WEIGHTS_ONLY = b"expect-version"
PIN = b"pin-ms"
HOLD = b"hold"
BACKUP = b"kv-backup"
FROM_COPY = b"kv-from"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"bearer "

# Connections only; never passed on in either direction.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Only the system may set these; a client's are dropped.
SYSTEM_ONLY = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        ORGANISATION,
        INCARNATION_ONLY,
        WEIGHTS_ONLY,
        NAMESPACE,
        URGENCY,
        FETCH,
        SAVE,
        PIN,
        HOLD,
        BACKUP,
        FROM_COPY,
        LAST_EVENT_ID,
        b"accept-encoding",
    )
)

# Calls.
READY_PATH = b"/-/ready"
ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"
OBJECTS_PATH = "/-/objects/"

# Kinds of objects in the store.
CONFIGURATION_KIND = "config"
# The one object of that kind that is in force.
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
WEIGHT_VERSION_KIND = "versions"
