"""Crowds of clients that don't behave, at a router process."""

import contextlib
import http.client
import itertools
import json
import time

import attrs
import pytest

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.tests import crowds
from pimentoledge.tests import planted_processes
from pimentoledge.tests import router_world

PROGRAM = """
import resource, sys
from pimentoledge.routing import daemons
resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors}, {descriptors}))
sys.exit(daemons.main())
"""
# The smallest VM of the users' installations has so much, in MB.
MEMORY_MB = 128
DESCRIPTORS = 2000
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4_000_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
LARGE = LIMITS["maxBodyBytes"]
CHUNKED = "Transfer-Encoding: chunked"
# For servers, the store, other routers and files.
RESERVED_DESCRIPTORS = 30
LATE_SECONDS = 1.0
_numbers = itertools.count(1)


def head(*fields, path="/notices/", key=stand_in_platforms.KEY):
    """Returns the head of a request with the given header lines."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {stand_in_platforms.HOST}",
        f"Authorization: Bearer {key}",
        f"Request-Id: c-{next(_numbers)}",
        "Deadline-Ms: 60000",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def length(size):
    return f"Content-Length: {size}"


def short_chunked(size, step):
    """A body in chunks that stops just short of its end."""
    yield head(CHUNKED)
    yield from crowds.chunks(size - 8 - step, step)


def short_body(size):
    """A body with a length that stops just short of its end."""
    yield head(length(size))
    yield from crowds.repeated(b"x", size - 8)


def late_body(size):
    """A body that follows its head once all clients have sent theirs."""
    due = time.monotonic() + LATE_SECONDS
    yield head(length(size))
    time.sleep(max(0.0, due - time.monotonic()))
    yield from crowds.repeated(b"x", size - 8)


def after_chunk(first, unit, size=32_000_000):
    """A chunked body that goes on after one chunk with `unit`, without end."""
    yield head(CHUNKED) + crowds.chunk(1) + first
    yield from crowds.repeated(unit, size)


def unfinished_head(unit, size):
    yield head()[:-2]
    yield from crowds.repeated(unit, size)


def pipelined(count, request):
    """One request, then many at once behind it."""
    yield head(length(4)) + b"body" + request * count


def pipelined_bodies(count, size):
    for _ in range(count):
        yield head(length(size))
        yield from crowds.repeated(b"x", size)


TINY_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# Number of clients, and what each of them sends.
CROWDS = {
    "large bodies in chunks of 2 bytes": (
        12,
        lambda: short_chunked(1_000_000, 2),
    ),
    "large bodies in chunks of 1 byte": (
        40,
        lambda: short_chunked(1_000_000, 1),
    ),
    "large bodies in large chunks": (60, lambda: short_chunked(LARGE, 65536)),
    "large bodies with a length": (60, lambda: short_body(LARGE)),
    "small bodies in chunks of 2 bytes": (
        400,
        lambda: short_chunked(20_000, 2),
    ),
    "bodies of one read": (1500, lambda: short_body(60_000)),
    "bodies whose reading is paused": (1000, lambda: short_body(300_000)),
    "bodies after all heads": (1000, lambda: late_body(300_000)),
    "a trailer's name": (12, lambda: after_chunk(b"0\r\n", b"a")),
    "a trailer's value": (12, lambda: after_chunk(b"0\r\na: ", b"a")),
    "unfinished heads": (800, lambda: unfinished_head(b"a:\r\n", 12_000)),
    "unfinished lines": (
        1500,
        lambda: unfinished_head(b"a: " + b"b" * 15_000, 15_003),
    ),
    "pipelined requests": (150, lambda: pipelined(1900, TINY_REQUEST)),
    "pipelined bodies": (30, lambda: pipelined_bodies(6, LARGE)),
    "refused bodies": (60, lambda: refused_body(LARGE)),
}


def refused_body(size):
    """A body that stops short of its end, by a client without a valid key."""
    yield head(length(size), key="unknown")
    yield from crowds.repeated(b"x", size - 8)


@attrs.define
class RouterUnderTest:
    """A router process before a stand-in platform."""

    process: object
    address: str
    ready_address: str
    metrics_address: str

    def answers(self):
        """Returns whether an ordinary request is answered, if repeated."""
        return crowds.is_answered(self._request)

    def _request(self):
        return crowds.status_of(
            self.address,
            "POST",
            "/notices/",
            body=b"c" * 5000,
            fields=_fields(),
        )


def _fields():
    return {
        "Host": stand_in_platforms.HOST,
        "Authorization": f"Bearer {stand_in_platforms.KEY}",
        "Request-Id": f"o-{next(_numbers)}",
        "Deadline-Ms": "2500",
    }


@contextlib.contextmanager
def started(folder, *, descriptors=DESCRIPTORS, work_seconds=0.0, **limits):
    """Starts a platform and a router that serves it."""
    platform = stand_in_platforms.StandInPlatform()
    platform.start(plain=2, runners=0)
    for server in platform.servers.values():
        server.work_seconds = work_seconds
    spec = router_world.configuration(
        2, limits=LIMITS | limits, kv_address=platform.kv_server.address
    )
    platform.store.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, spec)
    addresses = [f"127.0.0.1:{router_world.free_port()}" for _ in range(3)]
    try:
        with planted_processes.start(
            PROGRAM.format(descriptors=descriptors),
            platform.store.address,
            folder,
            guard_seconds=150.0,
            listen=addresses[0],
            ready_listen=addresses[1],
            metrics_listen=addresses[2],
            memory_mb=MEMORY_MB,
        ) as process:
            planted_processes.read_in_background(process)
            router = RouterUnderTest(process, *addresses)
            assert router.answers()
            yield router
    finally:
        platform.close()


@contextlib.contextmanager
def measured(router):
    """Measures what the router takes; checks it and the process at the end."""
    ports = [
        int(each.rpartition(":")[2])
        for each in (
            router.address,
            router.ready_address,
            router.metrics_address,
        )
    ]
    usage = crowds.Usage(process=router.process.pid, ports=ports)
    usage.start()
    try:
        yield usage
    finally:
        usage.close()
    print(json.dumps({"MB": usage.memory / 1e6, "fds": usage.descriptors}))
    assert router.process.poll() is None
    assert usage.memory < MEMORY_MB * crowds.BYTES_PER_MB


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_a_router_within_its_memory(name, tmp_path):
    """Guards against clients whose requests fill the memory of the VM."""
    count, pieces = CROWDS[name]
    members = [pieces() for _ in range(count)]
    with started(tmp_path) as router, measured(router) as usage:
        with crowds.crowd_at(router.address, members, usage):
            assert router.answers()
        assert router.answers()


ENDED = {
    "large chunks": lambda: short_chunked(LARGE, 65536),
    "small chunks": lambda: short_chunked(LARGE, 8192),
    "a length": lambda: short_body(LARGE),
}
ENDED_CLIENTS = 100
ENDED_CROWDS = 6


@pytest.mark.parametrize("name", ENDED)
def test_ended_connections_leave_a_router_within_its_memory(name, tmp_path):
    """Guards against bodies that stay in memory after their connections."""
    limits = {"headerTimeoutMs": 500, "idleTimeoutMs": 500}
    with (
        started(tmp_path, **limits) as router,
        measured(router) as usage,
    ):
        for _ in range(ENDED_CROWDS):
            members = [ENDED[name]() for _ in range(ENDED_CLIENTS)]
            with crowds.crowd_at(router.address, members, usage) as crowd:
                assert crowd.closed()
                assert router.answers()
        assert router.answers()


def complete_body(size):
    yield head(length(size))
    yield from crowds.repeated(b"x", size)


def complete_head(unit, size):
    yield head(length(0))[:-2]
    yield from crowds.repeated(unit, size)
    yield b"\r\n"


def pipelined_rest(size):
    """One request, then many behind it that aren't read before it ends."""
    yield head(length(4)) + b"body"
    yield from crowds.repeated(TINY_REQUEST, size)


IN_PROGRESS = {
    "requests behind them": (1000, lambda: pipelined_rest(300_000)),
    "bodies": (1500, lambda: complete_body(60_000)),
    "heads": (800, lambda: complete_head(b"a:\r\n", 12_000)),
}


@pytest.mark.parametrize("name", IN_PROGRESS)
def test_requests_in_progress_leave_a_router_within_its_memory(name, tmp_path):
    """Guards against complete requests that fill the memory of the VM."""
    count, pieces = IN_PROGRESS[name]
    members = [pieces() for _ in range(count)]
    with (
        started(tmp_path, work_seconds=1.5) as router,
        measured(router) as usage,
    ):
        with crowds.crowd_at(router.address, members, usage):
            pass
        assert router.answers()


ENDLESS = {
    "a chunk's extension": (b"1;", b"e"),
    "zeros of a chunk's size": (b"0", b"0"),
    "a trailer's name": (b"0\r\n", b"a"),
    "a trailer's value": (b"0\r\na: ", b"a"),
    "trailers": (b"0\r\n", b"a: b\r\n"),
}
ENDLESS_BYTES = 64_000_000


@pytest.mark.parametrize("name", ENDLESS)
def test_framing_without_end_is_refused(name, tmp_path):
    """Guards against bytes outside of bodies that are read without end."""
    first, unit = ENDLESS[name]
    pieces = [after_chunk(first, unit, ENDLESS_BYTES) for _ in range(4)]
    with started(tmp_path) as router, measured(router) as usage:
        with crowds.crowd_at(router.address, pieces, usage) as crowd:
            assert crowd.closed() == crowd.count
        assert router.answers()


@pytest.mark.parametrize(
    "listener", ["address", "ready_address", "metrics_address"]
)
def test_silent_clients_leave_descriptors_free(listener, tmp_path):
    """Guards against silent clients that take every descriptor."""
    descriptors = 300
    with (
        started(tmp_path, descriptors=descriptors) as router,
        measured(router) as usage,
    ):
        address = getattr(router, listener)
        silent = [iter(()) for _ in range(400)]
        with crowds.crowd_at(address, silent, usage):
            assert router.answers()
            assert crowds.is_answered(
                lambda: crowds.status_of(
                    router.metrics_address, "GET", "/metrics"
                )
            )
        assert router.answers()
    assert usage.descriptors < descriptors - RESERVED_DESCRIPTORS


def test_a_crowd_at_the_metrics_page_leaves_a_router_within_its_memory(
    tmp_path,
):
    """Guards against requests for metrics that fill the memory of the VM."""
    pieces = [after_chunk(b"0\r\n", b"a") for _ in range(20)]
    with started(tmp_path) as router, measured(router) as usage:
        with crowds.crowd_at(router.metrics_address, pieces, usage):
            assert router.answers()
        assert router.answers()


def test_a_body_in_the_smallest_chunks_is_served(tmp_path):
    """Guards against a bound that a client inside the limits meets."""
    with started(tmp_path) as router, measured(router):
        connection = http.client.HTTPConnection(router.address, timeout=60)
        body = (b"x" for _ in range(200_000))
        fields = {**_fields(), "Deadline-Ms": "50000"}
        connection.request(
            "POST", "/notices/", body, fields, encode_chunked=True
        )
        with contextlib.closing(connection.getresponse()) as response:
            assert response.status == 200
