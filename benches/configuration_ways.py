"""Compares ways to bring a large configuration to the routers of a data centre.

Measures the bytes and the processor time of each step with the product's own
code, and derives from them how long a router on a slow link, with a part of a
core, takes to have a version in force. Prints tables in Markdown.

Usage: python -m benches.configuration_ways [ROUTES [ADDED]]
"""

from collections.abc import Callable
import functools
import random
import string
import sys
import time
import zlib

import attrs
import msgspec

from pimentoledge.platform import objects
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import configuration_histories
from pimentoledge.routing import registrations

ROUTES = 5000
ADDED = 1400
LINK_BYTES_PER_SECOND = 10e6 / 8
CORE_SHARE = 0.1
# Part of the link and of the processor that traffic leaves.
LEFT = 0.5
REPEATS = 5


def _word(length: int) -> str:
    letters = string.ascii_lowercase + string.digits
    return "".join(random.choice(letters) for _ in range(length))


def _routes(count: int) -> list[dict]:
    return [
        stand_in_platforms.route(f"r-{_word(7)}", service="plain", kind="safe")
        | {"pathPrefix": f"/{_word(8)}/", "maxAttempts": 2}
        for _ in range(count)
    ]


def _encode(version: int, routes: list[dict]) -> bytes:
    content = stand_in_platforms.configuration(version=version, routes=routes)
    return msgspec.json.encode(content)


@attrs.define(kw_only=True)
class Step:
    """Cost of one step of one version.

    Attributes:
        bytes: bytes that the router receives.
        seconds: processor time that it takes, of a whole core.
    """

    bytes: int
    seconds: float

    def total(self) -> float:
        """Returns the seconds on the slow link and the part of a core."""
        return (
            self.bytes / LINK_BYTES_PER_SECOND + self.seconds / CORE_SHARE
        ) / LEFT


def _timed(call: Callable[[], object]) -> tuple[object, float]:
    began = time.process_time()
    found = call()
    return found, time.process_time() - began


def _best(play: Callable[[], Step]) -> Step:
    return min((play() for _ in range(REPEATS)), key=lambda each: each.seconds)


def _build(content: dict, memory: objects.RouteMemory | None) -> float:
    stored = registrations.Stored(name="main", revision=1, value=content)
    if memory is None:
        _, seconds = _timed(lambda: objects.decode_configuration(stored))
        return seconds
    _, seconds = _timed(
        lambda: objects.decode_configuration(stored, memory.decode)
    )
    memory.turn()
    return seconds


def whole(before: bytes, after: bytes) -> Step:
    """A whole copy from the store, built anew, as it was."""
    content, parsed = _timed(lambda: msgspec.json.decode(after))
    return Step(bytes=len(after), seconds=parsed + _build(content, None))


def deflated(before: bytes, after: bytes) -> Step:
    """A whole copy from another router, compressed."""
    data = zlib.compress(after, 1)
    content, parsed = _timed(lambda: msgspec.json.decode(zlib.decompress(data)))
    return Step(bytes=len(data), seconds=parsed + _build(content, None))


def dictionary(before: bytes, after: bytes) -> Step:
    """A copy compressed with the end of the former one as dictionary."""
    compressor = zlib.compressobj(1, zdict=before[-32768:])
    data = compressor.compress(after) + compressor.flush()

    def decode() -> object:
        decompressor = zlib.decompressobj(zdict=before[-32768:])
        return msgspec.json.decode(decompressor.decompress(data))

    content, parsed = _timed(decode)
    return Step(bytes=len(data), seconds=parsed + _build(content, None))


def _histories(
    before: bytes,
) -> tuple[configuration_histories.ConfigurationHistory, ...]:
    histories = []
    for _ in range(2):
        history = configuration_histories.ConfigurationHistory()
        history.commit(history.prepare(msgspec.json.decode(before)))
        histories.append(history)
    return tuple(histories)


def shared(before: bytes, after: bytes) -> Step:
    """A whole copy from the store; only new routes are built (watchers)."""
    own, _ = _histories(before)
    memory = objects.RouteMemory()
    _build(own.content, memory)
    update, seconds = _timed(lambda: own.prepare(msgspec.json.decode(after)))
    return Step(
        bytes=len(after), seconds=seconds + _build(update.content, memory)
    )


def difference(before: bytes, after: bytes) -> Step:
    """A difference from another router; only new routes are built."""
    ahead, own = _histories(before)
    ahead.commit(ahead.prepare(msgspec.json.decode(after)))
    memory = objects.RouteMemory()
    _build(own.content, memory)
    steps = ahead.steps_from(own.digest)
    update, seconds = _timed(lambda: own.receive(steps))
    size = sum(len(each.data) for each in steps)
    return Step(bytes=size, seconds=seconds + _build(update.content, memory))


WAYS = (whole, deflated, dictionary, shared, difference)


def main() -> None:
    """Prints the table."""
    random.seed(1)
    count = int(sys.argv[1]) if len(sys.argv) > 1 else ROUTES
    added = int(sys.argv[2]) if len(sys.argv) > 2 else ADDED
    routes = _routes(count)
    fewer = _encode(1, routes[: count - added])
    full, idle = _encode(2, routes), _encode(3, routes)
    scattered = [dict(each) for each in routes]
    for each in scattered[::97]:
        each["service"] = "runners"
    changes = {
        f"{added} of {count} routes added": (fewer, full),
        "nothing changes": (full, idle),
        "each 97th route moves": (full, _encode(3, scattered)),
    }
    print(
        f"10 Mbit/s, {CORE_SHARE} of a core, {LEFT:.0%} of both left by"
        " traffic: kB, ms of a core, s until in force\n"
    )
    names = [each.__name__ for each in WAYS]
    print("| version | " + " | ".join(names) + " |")
    print("| --- |" + " --- |" * len(WAYS))
    for name, (before, after) in changes.items():
        cells = []
        for way in WAYS:
            step = _best(functools.partial(way, before, after))
            cells.append(
                f"{step.bytes / 1000:.1f}, {1000 * step.seconds:.0f},"
                f" {step.total():.2f}"
            )
        print(f"| {name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
