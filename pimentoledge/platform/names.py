"""Names of the platform's headers, paths and kinds of objects.

Each is written only here. A comment explains a name that is unclear or
misleading.
"""

# Headers of requests and responses.
REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
# Id of the request that brought the first event of a stream that is resumed.
RESUMES = b"resumes"
SIGNATURE = b"server-stamp"
ORGANISATION = b"tenant"
EXPECTED_INCARNATION = b"expect-instance"
SERVER_LOAD = b"server-load"
NOT_RUN = b"not-run"
RETRY_AFTER = b"retry-after"
# "1" in every response of a server that is leaving.
SERVER_LEAVING = b"server-leaving"
# Requests a second that an overloaded server accepts from all routers.
SERVER_LIMIT = b"server-limit"
INCARNATION = b"instance-id"
# Number in every response of the store; rises when the store is restored.
STORE_ERA = b"store-era"
MODEL = b"model"
# Two numbers: tokens of the prompt, maximum of generated tokens.
TOKEN_USAGE = b"token-usage"
NAMESPACE = b"cache-salt"
URGENCY = b"request-priority"
KV_FETCH_FROM = b"kv-fetch"
KV_SAVE_TO = b"kv-save"
# A single integer in a response, despite the plural name.
WEIGHT_VERSIONS = b"weight-versions"
EXPECTED_WEIGHT_VERSION = b"expect-version"
PIN = b"pin-ms"
HOLD = b"hold"
KV_BACKUP = b"kv-backup"
KV_COPY_SOURCE = b"kv-from"
AUTHORIZATION = b"authorization"
BEARER_PREFIX = b"bearer "

# Apply to a single connection; never forwarded in either direction.
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
# Set only by the router; removed from clients' requests.
ROUTER_ONLY = frozenset(
    (
        AUTHORIZATION,
        DEADLINE,
        ORGANISATION,
        EXPECTED_INCARNATION,
        EXPECTED_WEIGHT_VERSION,
        NAMESPACE,
        URGENCY,
        KV_FETCH_FROM,
        KV_SAVE_TO,
        PIN,
        HOLD,
        KV_BACKUP,
        KV_COPY_SOURCE,
        LAST_EVENT_ID,
        b"accept-encoding",
    )
)

# Paths of calls.
READY_PATH = b"/-/ready"
ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"
OBJECTS_PATH = "/-/objects/"
# Query field of a read that may be some seconds old.
ALLOW_STALE = "allowStale"

# Kinds of objects in the store.
CONFIGURATION_KIND = "config"
# The object of that kind that holds the configuration in force.
CONFIGURATION_NAME = "main"
SERVER_KIND = "servers"
WEIGHT_VERSION_KIND = "versions"
