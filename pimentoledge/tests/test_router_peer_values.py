"""Values in messages of other routers that are at the ends of their range."""

import types
import typing

import attrs
import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import result

from pimentoledge.nodes import codecs
from pimentoledge.routing import clocks
from pimentoledge.routing import peer_messages
from pimentoledge.routing import peers
from pimentoledge.routing.quotas import messages as quota_messages
from pimentoledge.tests import router_world

# What is refused is drawn less often.
INTEGERS = [0, 1, -1, 2**31, 2**52, 2**53, -(2**53)] * 5 + [2**63 - 1, -(2**63)]
FLOATS = [0.0, -1.0, 1e-300, 1e15, -1e15] * 5 + [float("inf"), float("nan")]
TEXTS = ["", "x", "plain", "servers", "config", "a", "p0", "r0", "m", "own"]
SENDER = "tcp://127.0.0.1:9"


def _values(kind):
    """Draws values of a type, mostly at the ends of its range."""
    if hasattr(kind, "__metadata__"):
        kind = kind.__origin__
    inner = typing.get_args(kind)
    match typing.get_origin(kind) or kind:
        case builtin if builtin is int:
            return strategies.sampled_from(INTEGERS)
        case builtin if builtin is float:
            return strategies.sampled_from(FLOATS)
        case builtin if builtin is bool:
            return strategies.booleans()
        case builtin if builtin is str:
            return strategies.sampled_from(TEXTS)
        case builtin if builtin is bytes:
            return strategies.sampled_from([b"", b"x"])
        case builtin if builtin is dict:
            return strategies.dictionaries(*map(_values, inner), max_size=3)
        case builtin if builtin is list:
            return strategies.lists(_values(inner[0]), max_size=3)
        case builtin if builtin is tuple and inner[-1] is Ellipsis:
            return strategies.lists(_values(inner[0]), max_size=9).map(tuple)
        case builtin if builtin is tuple:
            return strategies.tuples(*map(_values, inner))
        case types.UnionType:
            return strategies.one_of(*map(_values, inner))
        case _ if attrs.has(kind):
            fields = attrs.fields(attrs.resolve_types(kind))
            return strategies.builds(
                kind, **{each.name: _values(each.type) for each in fields}
            )
    return strategies.none()


MESSAGES = strategies.sampled_from(
    list(peer_messages.NUMBERS.values())
).flatmap(_values)


def _received(message, configuration=0):
    """Returns a message as the codec decodes it, or None if it refuses it."""
    data = peers.CODEC.encode(
        message, sender=SENDER, configuration=configuration
    )
    match peers.CODEC.decode(data):
        case result.Success(event):
            return event
    return None


def _heartbeat(**more):
    return peer_messages.Heartbeat(
        **{
            "data_centre": "a",
            "counted": (1, 0),
            "wanted": {},
            "known": {},
            "store_reached": True,
            "lease_revision": -1,
            "lease_holder": "",
            "lease_ms": 0,
            "leaving": False,
        }
        | more
    )


def _send_all(router):
    """Sends what a router sends by itself."""
    now = clocks.now()
    router.tick()
    router.peers.send_heartbeat(now)
    router.peers._send_ages(now)
    router._page()


@pytest.mark.parametrize(
    "message",
    [
        _heartbeat(wanted={"m": (2, -(2**63))}),
        _heartbeat(lease_ms=2**63 - 1),
        _heartbeat(configuration_watchers={"x": (0, float("nan"))}),
        peer_messages.HeartbeatAges(ages={"a": {"x": -(2**62)}}),
        peer_messages.LimitReport(
            limits={"p0": (float("inf"), 0)}, clock=(0, 0)
        ),
        quota_messages.Acquire(
            number=1,
            organisation="o",
            cost=float("nan"),
            version=1,
            per_second=1.0,
            burst=1.0,
        ),
    ],
)
def test_numbers_that_no_router_can_add_to_are_refused(message):
    """Guards against values that are spread and end each process."""
    assert _received(message) is None


def test_revisions_and_versions_may_have_64_bits():
    message = _heartbeat(wanted={"m": (2**63 - 1, 5)}, lease_revision=2**63 - 1)
    assert _received(message, configuration=2**63 - 1).message == message


def test_a_sender_with_an_unusable_configuration_version_is_refused():
    envelope = (1, SENDER, 2**64 - 1, _heartbeat())
    found = codecs.Codec(numbers=peer_messages.NUMBERS).decode(
        msgspec.msgpack.encode(envelope)
    )
    assert isinstance(found, result.Failure)


def _run(messages):
    """Lets a router receive messages, and send what it sends after each."""

    @router_world.with_world()
    async def run(world):
        [router] = world.routers
        for each in messages:
            event = _received(each)
            if event is not None:
                router.peers.handle(event)
                _send_all(router)

    run()


def test_a_mailbox_without_an_address_ends_no_router():
    """Guards against a main loop that ends as it opens a connection."""
    _run([peer_messages.HeartbeatAges(ages={"a": {"no address": 1}})] * 3)


@hypothesis.settings(max_examples=15)
@hypothesis.given(strategies.lists(MESSAGES, min_size=20, max_size=60))
def test_no_message_of_a_peer_ends_a_router(messages):
    """Guards against routers that end, and end again as they are restarted."""
    _run(messages)
