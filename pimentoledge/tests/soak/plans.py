"""Plans of faults: which fault is injected when, generated from a seed."""

import random

import attrs

ROUTER_KINDS = ("term", "stop", "kill")
# With an odd count, an outage of the store affects one router only.
STORE_KINDS = ("store_silent", "store_refuses", "store_slow", "watches_cut")
SERVER_KINDS = (
    "server_leaves",
    "server_crashes",
    "server_restarts",
    "server_refuses",
    "server_loses",
    "server_slow",
    "stream_cut",
)
CHANGE_KINDS = ("version", "versions", "key", "route")
# A server announces in its answers, and not in the store, that it leaves.
ANSWER_KINDS = ("answers_leave",)
# A runner refuses requests with a Retry-After header.
BACKOFF_KINDS = ("rest",)
# A runner drops its orders, and so keeps its weights, for some seconds.
ORDER_KINDS = ("orders_lost",)
# Newer weights are named while the store doesn't answer one router.
SILENT_VERSION_KINDS = ("version_in_silence",)
# A server announces a limit in its answers, and possibly another one later.
LIMIT_KINDS = ("limit",)
# Another router starts, with clients of its own.
JOIN_KINDS = ("join",)
# The connections between routers and a server are delayed, lose answers, lose
# all data or are reset. With these kinds, routers reach servers via proxies.
LINK_KINDS = ("link_slow", "link_mute", "link_silent", "link_resets")
# The store drops its history of changes, or applies writes without answering.
HISTORY_KINDS = ("store_forgets", "store_loses")
# The store is unavailable, and then restored from a copy some seconds old.
RESTORE_KINDS = ("store_restored",)
# A client sends content that crashes servers again and again, by any router.
CRASH_KINDS = ("content_crashes",)
# A client sends requests that share one prompt part, which crashes servers.
PART_CRASH_KINDS = ("part_crashes",)
# All routers are killed at the same moment.
HERD_KINDS = ("kill_all",)
# Most servers refuse most requests for some seconds.
SHED_KINDS = ("shed",)
# A server's VM becomes slow, as its responses report, so load control applies.
SLOWDOWN_KINDS = ("server_slowed",)
# A server sends headers without an end until the router closes.
FLOOD_KINDS = ("server_floods",)
# A server answers requests again, late, and fails others with status 500.
REPETITION_KINDS = ("server_answers_twice",)
# The clients of a router can't be reached for some seconds.
CLIENT_KINDS = ("clients_cut",)
# Another writer puts entries that name no usable server beside the servers.
ENTRY_KINDS = ("foreign_entries",)
# The store turns away the router that gave the newest order while newer weights
# are named, or loses the answers to writes of the lease. They are played only
# where a run names them, so that the plans of all kinds keep their seeds.
HOLDER_KINDS = ("holder_refused", "lease_loses")
KINDS = (
    *ROUTER_KINDS,
    *STORE_KINDS,
    *SERVER_KINDS,
    *CHANGE_KINDS,
    *ANSWER_KINDS,
    *BACKOFF_KINDS,
    *ORDER_KINDS,
    *SILENT_VERSION_KINDS,
    *LIMIT_KINDS,
    *JOIN_KINDS,
    *LINK_KINDS,
    *HISTORY_KINDS,
    *RESTORE_KINDS,
    *CRASH_KINDS,
    *HERD_KINDS,
    *PART_CRASH_KINDS,
    *SHED_KINDS,
    *SLOWDOWN_KINDS,
    *FLOOD_KINDS,
    *REPETITION_KINDS,
    *CLIENT_KINDS,
    *ENTRY_KINDS,
)

FIRST_FAULT_SECONDS = 1.0
# Bounds on the gap between two faults. The upper bound is drawn for each run,
# so that some runs have undisturbed periods.
MIN_GAP_SECONDS = 0.2
MAX_GAP_SECONDS = (1.0, 2.0, 4.0)
# Gap between two faults of a series.
SERIES_GAP_SECONDS = (0.05, 0.5)
SERIES_PROBABILITY = 0.3
DURATION_SECONDS = (0.5, 3.0)
MAX_COUNT = 4
TARGETS = 1 << 16


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    Attributes:
        at: when it begins, in seconds from the first request.
        kind: one of KINDS.
        target: number that selects one of the possible targets.
        seconds: its duration, for kinds that have one.
        count: number of affected requests, for kinds that affect requests.
    """

    at: float
    kind: str
    target: int
    seconds: float
    count: int


def plan_faults(
    *, seed: int, seconds: float, kinds: tuple[str, ...]
) -> list[Fault]:
    """Returns the faults of a run, in order of their begin.

    Args:
        seed: seed of the random generator.
        seconds: time before which all faults begin.
        kinds: kinds to choose from.
    """
    generator = random.Random(seed)
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    max_gap = generator.choice(MAX_GAP_SECONDS)
    while at < seconds:
        faults.append(
            Fault(
                at=at,
                kind=generator.choice(kinds),
                target=generator.randrange(TARGETS),
                seconds=generator.uniform(*DURATION_SECONDS),
                count=generator.randint(1, MAX_COUNT),
            )
        )
        at += generator.uniform(MIN_GAP_SECONDS, max_gap)
        while generator.random() < SERIES_PROBABILITY and at < seconds:
            faults.append(attrs.evolve(faults[-1], at=at))
            at += generator.uniform(*SERIES_GAP_SECONDS)
    return faults
