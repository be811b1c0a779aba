"""Crowds of clients that don't behave, at an entry process."""

import contextlib
import itertools
import resource

import attrs
import pytest

from pimentoledge.tests import crowds
from pimentoledge.tests import processes
from pimentoledge.tests import router_world

# Memory of the smallest VM, in bytes.
MEMORY_BYTES = 128 * crowds.BYTES_PER_MB
BODY_BYTES = 1_000_000
SETTINGS = {
    "max-body-bytes": "1048576",
    "body-memory-bytes": "16000000",
    "caller-threads": "100",
}
DESCRIPTORS = 300
# For the store, agents and files.
RESERVED_DESCRIPTORS = 30
CHUNKED = "Transfer-Encoding: chunked"
_numbers = itertools.count(1)


def head(*fields):
    lines = [
        "POST /services/cards/new HTTP/1.1",
        "Host: h",
        f"Authorization: Bearer {processes.KEY}",
        f"Idempotency-Key: c-{next(_numbers)}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def short_body():
    """A body with a length that stops just short of its end."""
    yield head(f"Content-Length: {BODY_BYTES}")
    yield from crowds.repeated(b"x", BODY_BYTES - 8)


def short_chunked(step):
    yield head(CHUNKED)
    yield from crowds.chunks(BODY_BYTES - 8 - step, step)


def endless(first, unit, size=32_000_000):
    yield head(CHUNKED) + first
    yield from crowds.repeated(unit, size)


CROWDS = {
    "bodies with a length": (90, short_body),
    "bodies in chunks": (90, lambda: short_chunked(50_000)),
    "bodies in chunks of 1 byte": (10, lambda: short_chunked(1)),
    "a chunk's extension": (12, lambda: endless(b"1;", b"e")),
    "a chunk's size": (12, lambda: endless(b"", b"0")),
    "a trailer": (12, lambda: endless(b"1\r\nx\r\n0\r\n", b"a")),
    "a head": (
        12,
        lambda: iter([head()[:-2], *crowds.repeated(b"a", 32 << 20)]),
    ),
}


@attrs.define(kw_only=True)
class World:
    """An entry and an agent, with the addresses of their admin pages."""

    entry: processes.Entry
    agent: processes.Process
    entry_admin: str
    agent_admin: str


@pytest.fixture
def world():
    deployment = processes.Deployment()
    entry_admin, agent_admin = (
        f"127.0.0.1:{router_world.free_port()}" for _ in range(2)
    )
    try:
        _, agent = deployment.start_service("cards-1", admin=agent_admin)
        entry = deployment.start_entry("entry-1", admin=entry_admin, **SETTINGS)
        processes.wait_until(entry.ready)
        processes.wait_until(lambda: post_card(entry) == 200)
        yield World(
            entry=entry,
            agent=agent,
            entry_admin=entry_admin,
            agent_admin=agent_admin,
        )
    finally:
        deployment.close()


def post_card(entry):
    """Sends an ordinary request; returns its status, or None."""
    return crowds.status_of(
        entry.url.removeprefix("http://"),
        "POST",
        "/services/cards/new",
        body=b"{}",
        fields=entry.headers | {"Idempotency-Key": f"o-{next(_numbers)}"},
    )


def answers(entry):
    """Returns whether an ordinary request is answered, if repeated."""
    return crowds.is_answered(lambda: post_card(entry))


@contextlib.contextmanager
def measured(process, address):
    usage = crowds.Usage(
        process=process.popen.pid, ports=[int(address.rpartition(":")[2])]
    )
    usage.start()
    try:
        yield usage
    finally:
        usage.close()
    print({"MB": usage.memory / 1e6, "fds": usage.descriptors})
    assert process.popen.poll() is None


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_leaves_an_entry_within_its_memory(name, world):
    """Guards against clients whose requests fill the memory of the VM."""
    entry = world.entry
    count, pieces = CROWDS[name]
    address = entry.url.removeprefix("http://")
    with measured(entry.process, address) as usage:
        crowd = [pieces() for _ in range(count)]
        with crowds.crowd_at(address, crowd, usage):
            assert answers(entry)
        assert answers(entry)
    assert usage.memory < MEMORY_BYTES


def test_silent_clients_leave_an_entry_descriptors(world):
    """Guards against silent clients that take every descriptor."""
    entry = world.entry
    process = entry.process
    resource.prlimit(
        process.popen.pid,
        resource.RLIMIT_NOFILE,
        (DESCRIPTORS, DESCRIPTORS),
    )
    address = entry.url.removeprefix("http://")
    with measured(process, address) as usage:
        with crowds.crowd_at(address, [iter(()) for _ in range(400)], usage):
            assert answers(entry)
        assert answers(entry)
    assert usage.descriptors < DESCRIPTORS - RESERVED_DESCRIPTORS


def is_healthy(address):
    """Returns whether the health page is answered, if asked again."""
    return crowds.is_answered(
        lambda: crowds.status_of(address, "GET", "/healthz")
    )


ADMIN_CROWDS = {
    "silent": (400, lambda: iter(())),
    "an unfinished head": (20, lambda: iter([head()[:-2]])),
    "an endless head": (20, lambda: iter([head()[:-2], b"a" * 40_000_000])),
    "an unfinished body": (
        20,
        lambda: iter([head("Content-Length: 1000000"), b"x" * 999_000]),
    ),
}


@pytest.mark.parametrize("program", ["entry", "agent"])
@pytest.mark.parametrize("name", ADMIN_CROWDS)
def test_a_crowd_at_admin_pages_leaves_a_process_well(name, program, world):
    """Guards against clients that take the threads of pages, or all else."""
    count, pieces = ADMIN_CROWDS[name]
    process = world.entry.process if program == "entry" else world.agent
    address = world.entry_admin if program == "entry" else world.agent_admin
    resource.prlimit(
        process.popen.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
    )
    with measured(process, address) as usage:
        crowd = [pieces() for _ in range(count)]
        with crowds.crowd_at(address, crowd, usage):
            assert is_healthy(address)
            assert answers(world.entry)
        assert answers(world.entry)
    assert usage.memory < MEMORY_BYTES
    assert usage.descriptors < DESCRIPTORS - RESERVED_DESCRIPTORS
