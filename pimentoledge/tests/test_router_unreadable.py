"""Objects of the store that can't be read beside others that can."""

import asyncio

from hypothesis import given
from hypothesis import strategies
import msgspec
import pytest

from pimentoledge.nodes import codecs
from pimentoledge.platform import objects
from pimentoledge.platform import store_responses
from pimentoledge.platform import stores
from pimentoledge.routing import calls
from pimentoledge.routing import registrations
from pimentoledge.tests import drawn_values

BAD_VALUES = {
    "lone surrogate": rb'"\udcff\udcfe"',
    "no UTF-8": b'"\xff\xfe"',
    "number out of range": b"1e400",
    "integer beyond 64 bits": b"20261204130059123456",
    "integer of many digits": b"9" * 5000,
    "deep nesting": b"[" * 100_000 + b"]" * 100_000,
    "control character": b'"\x01"',
    "unknown escape": rb'"\q"',
    "unknown literal": b"NaN",
    "object cut short": b'{"service":"x"',
    "array cut short": b"[1",
    "bracket too many": b'{"service":"x"}}',
    "wrong bracket": b'{"service":"x"]',
    "open string": b'"x',
    "string that ends in a backslash": rb'"x\"',
    "bytes with brackets": b'\xff]{\x00"}[',
    "nothing": b"",
}
GOOD = b'{"metadata":{"name":"%b","rev":3},"spec":{"a":[1,"x,]}\\""]}}'


def _item(name, value=None):
    if value is None:
        return GOOD % name
    return b'{"metadata":{"name":"%b","rev":4},"spec":{"b":%b}}' % (name, value)


def _broken_page(*values):
    """Returns a listing whose unreadable items are between readable ones."""
    items = [_item(b"a")]
    for index, value in enumerate(values):
        items += [_item(b"bad%d" % index, value), _item(b"good%d" % index)]
    return b'{"items":[%b],"more":false,"storeRevision":9}' % b",".join(items)


def _names(found):
    return [each.name for each in found]


@pytest.mark.parametrize("value", BAD_VALUES.values(), ids=list(BAD_VALUES))
def test_an_unreadable_item_of_a_listing_hides_no_other(value):
    """Guards against routers that see no change of servers any more."""
    items = [_item(b"a"), _item(b"bad", value), _item(b"c")]
    data = b'{"items":[%b],"storeRevision":9}' % b", ".join(items)
    body = store_responses.decode(data)
    found, errors = stores.decode_items(body["items"])
    assert body["storeRevision"] == 9
    assert _names(found) == ["a", "bad", "c"]
    assert [each.value is None for each in found] == [False, True, False]
    assert not errors
    with pytest.raises(ValueError):
        objects.decode_registration(found[1])


@pytest.mark.parametrize("value", BAD_VALUES.values(), ids=list(BAD_VALUES))
def test_an_unreadable_event_of_a_watch_hides_no_other(value):
    """Guards against a watch that is repeated for ever."""
    events = [
        b'{"object":%b,"deleted":false}' % _item(b"a"),
        b'{"object":%b,"deleted":true}' % _item(b"bad", value),
        b'{"object":{"metadata":%b}}' % value,
        b'{"object":%b}' % _item(b"c"),
    ]
    data = b'{"storeRevision":9,"events":[%b]}' % b",".join(events)

    class Caller:

        async def call(self, *, decode, **_):
            return calls.Reply(status=200, body=decode(data))

    client = stores.StoreClient(address="s", caller=Caller())
    found = asyncio.run(client.watch("servers", 1, 1.0))
    assert isinstance(found, registrations.Changes)
    assert found.revision == 9
    assert _names(found.changed) == ["a", "c"]
    assert _names(found.removed) == ["bad"]
    assert len(found.unreadable) == 1


def test_a_page_without_any_readable_name_ends_no_listing():
    """Guards against a part of a listing that is taken for the whole."""

    class Caller:

        async def call(self, *, target, **_):
            items = [None] if "after" in target else [msgspec.json.decode(GOOD)]
            body = {"items": items, "more": True, "storeRevision": 9}
            return calls.Reply(status=200, body=body)

    client = stores.StoreClient(address="s", caller=Caller())
    found = asyncio.run(client.list("servers"))
    assert isinstance(found, registrations.Unavailable)


@pytest.mark.parametrize("first", BAD_VALUES.values(), ids=list(BAD_VALUES))
def test_two_unreadable_items_hide_none_between_them(first):
    """Guards against brackets of one item that close those of another."""
    for second in BAD_VALUES.values():
        body = store_responses.decode(_broken_page(first, second))
        found, _ = stores.decode_items(body["items"])
        assert _names(found) == ["a", "bad0", "good0", "bad1", "good1"]
        assert body["storeRevision"] == 9


@pytest.mark.parametrize("value", BAD_VALUES.values(), ids=list(BAD_VALUES))
def test_an_unreadable_object_has_its_revision(value):
    """Guards against an object that can't be replaced any more."""
    found = objects.decode_stored(store_responses.decode(_item(b"x", value)))
    assert (found.name, found.revision, found.value) == ("x", 4, None)


def test_what_looks_like_an_item_within_an_unreadable_one_is_none():
    """Guards against entries that another writer names in a content."""
    value = b'[{"c":1},%b,{"d":"\\udcff"}]' % _item(b"forged")
    body = store_responses.decode(_broken_page(value))
    found, _ = stores.decode_items(body["items"])
    assert _names(found) == ["a", "bad0", "good0"]


@given(strategies.binary(max_size=60))
def test_any_bytes_beside_an_item_leave_it(data):
    document = b'{"items":[%b,%b],"storeRevision":9}' % (_item(b"a"), data)
    body = store_responses.decode(document)
    found, _ = stores.decode_items(body["items"])
    assert _item_of(found, "a").value is not None
    for each in found:
        msgspec.msgpack.encode(each.value)


def _item_of(found, name):
    return next(each for each in found if each.name == name)


# What JSON is made of, and bytes that it may not have.
PIECES = [*(bytes([each]) for each in b'{}[],:"\\ 1\xff\x00'), b"null", b'"k"']


@given(strategies.lists(strategies.sampled_from(PIECES), max_size=20))
def test_any_content_of_an_item_leaves_the_others(pieces):
    body = store_responses.decode(_broken_page(b"".join(pieces)))
    found, _ = stores.decode_items(body["items"])
    assert _names(found) == ["a", "bad0", "good0"]
    assert body["storeRevision"] == 9
    for name in ("a", "good0"):
        assert _item_of(found, name).value == {"a": [1, 'x,]}"']}


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | drawn_values.texts(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(drawn_values.texts(), inner, max_size=4)
    ),
    max_leaves=8,
)


@given(
    strategies.dictionaries(
        strategies.sampled_from(
            ["service", "address", "zone", "slots", "state", "born", "models"]
        ),
        JSON_VALUES | strategies.just([{"name": "m", "version": 10**30}]),
    )
)
def test_a_registration_is_refused_or_fits_into_messages(spec):
    """Guards against values that no message to other routers can hold."""
    good = {"service": "s", "address": "10.0.0.1:80", "zone": "a"}
    stored = registrations.Stored(name="x", revision=1, value=good | spec)
    try:
        found = objects.decode_registration(stored)
    except ValueError:
        return
    msgspec.msgpack.encode((found.weights, found.slots, found.born))


@given(strategies.binary(max_size=200))
def test_any_bytes_of_a_peer_are_decoded_or_refused(data):
    codecs.CODEC.decode(data)
