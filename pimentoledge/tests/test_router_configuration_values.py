"""Configurations and load reports with values of other types and ranges."""

import copy
import types
import typing

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from pimentoledge.platform import objects
from pimentoledge.platform import requests
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import configurations
from pimentoledge.routing import registrations
from pimentoledge.tests import drawn_values

VALUES = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | drawn_values.texts(max_size=4)
    | strategies.lists(strategies.integers(), max_size=2)
    | strategies.dictionaries(
        strategies.sampled_from(["name", "models", "slots"]),
        strategies.integers() | drawn_values.texts(max_size=2),
        max_size=2,
    )
)


def _paths(value, path=()):
    """Yields the paths of all parts of a decoded JSON value."""
    yield path
    match value:
        case dict():
            for name, part in value.items():
                yield from _paths(part, (*path, name))
        case list():
            for index, part in enumerate(value):
                yield from _paths(part, (*path, index))


SPEC = stand_in_platforms.configuration(
    tenants=[
        {
            "name": "acme",
            "apiKeys": ["k"],
            "priority": 2,
            "ratePerS": 5,
            "burst": 9,
            "unit": "tokens",
            "plainTokens": 3,
        }
    ]
)
SPEC["services"][1]["engine"] |= {"kvBytes": 1000, "linkMbps": 100.0}
SPEC["routes"][1]["trafficSplit"] = [{"service": "plain", "weight": 1}]
PATHS = [path for path in _paths(SPEC) if path]


def _changed(path, value):
    spec = copy.deepcopy(SPEC)
    owner = spec
    for name in path[:-1]:
        owner = owner[name]
    owner[path[-1]] = value
    return spec


def _decode(spec):
    stored = registrations.Stored(name="main", revision=1, value=spec)
    return objects.decode_configuration(stored)


def _check_type(value, kind):
    """Asserts that a value and its parts have their annotated types."""
    inner = typing.get_args(kind)
    match typing.get_origin(kind) or kind:
        case builtin if builtin is float:
            assert type(value) in (int, float), value
            assert value >= 0 and value < float("inf"), value
        case builtin if builtin is int:
            assert type(value) in (int, float), value
        case builtin if builtin is dict:
            for name, part in value.items():
                _check_type(name, inner[0])
                _check_type(part, inner[1])
        case builtin if builtin in (tuple, frozenset):
            for part in value:
                _check_type(part, inner[0])
        case types.UnionType:
            if value is not None:
                _check_type(value, inner[0])
        case _ if attrs.has(kind):
            assert type(value) is kind
            for each in attrs.fields(attrs.resolve_types(kind)):
                _check_type(getattr(value, each.name), each.type)
        case _:
            assert isinstance(value, kind), value


def test_the_configuration_that_is_changed_is_valid():
    _check_type(_decode(SPEC), configurations.Configuration)


@hypothesis.settings(max_examples=1500)
@hypothesis.given(strategies.sampled_from(PATHS), VALUES)
def test_a_configuration_is_refused_or_has_all_its_types(path, value):
    """Guards against a value in force that fails with the first request."""
    try:
        found = _decode(_changed(path, value))
    except (KeyError, TypeError, ValueError, AttributeError):
        return
    _check_type(found, configurations.Configuration)


@hypothesis.given(strategies.binary(max_size=40))
def test_any_load_report_is_read_or_ignored(value):
    _check_load(value)


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(
            [b"0", b"7", b"-1", b" 8", b"9" * 15, b"9" * 16, b"", b"x", b"1.5"]
        ),
        max_size=6,
    )
)
def test_load_reports_at_the_ends_of_their_range_are_read_or_ignored(parts):
    _check_load(b",".join(parts))


def _check_load(value):
    load = requests._server_load(value)
    if load is not None:
        for each in (load.running, load.waiting, load.slots):
            assert isinstance(each, int)
            assert 0 <= each < 10**15


@pytest.mark.parametrize("slots", [0, -5, 2**70, "8", None, 1.5, True])
def test_slots_of_a_server_are_a_usable_number(slots):
    stored = registrations.Stored(
        name="s",
        revision=1,
        value={
            "service": "plain",
            "address": "127.0.0.1:9",
            "zone": "a",
            "slots": slots,
        },
    )
    try:
        found = objects.decode_registration(stored)
    except ValueError:
        return
    assert found.slots >= 1
