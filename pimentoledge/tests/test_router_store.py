"""Tests of the recovery of store copies after an outage of the store."""

import asyncio
import contextlib

from pimentoledge.routing import clocks
from pimentoledge.routing import counters
from pimentoledge.routing import hedged_calls
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import registrations
from pimentoledge.routing import watchers

KINDS = ("configuration", "servers", "weights")


class SilentStore:
    """A store that never answers calls sent while it was silent."""

    def __init__(self, *, limit_seconds=2.5, answer_seconds=0.004):
        self.silent = True
        self.calls = dict.fromkeys(KINDS, 0)
        self.limit_seconds = limit_seconds
        self.answer_seconds = answer_seconds

    async def list(self, kind):
        self.calls[kind] += 1
        if self.silent:
            await asyncio.sleep(self.limit_seconds)
            return registrations.Unavailable(reason="silent", maybe_done=False)
        await asyncio.sleep(self.answer_seconds)
        return registrations.Listing(objects=[], revision=7)

    def is_receiving(self, kind, now, most_seconds):
        """Returns whether an answer is arriving; here they arrive at once."""
        return False

    def forget_connections(self):
        """Does nothing: this store has no connections."""

    async def watch(self, kind, revision, seconds):
        await asyncio.sleep(seconds)
        return registrations.Changes(changed=[], removed=[], revision=7)


@contextlib.asynccontextmanager
async def following(store):
    """Yields running watchers of a store, by kind."""
    answers = hedged_calls.AnswerSignal()
    lines = log_lines.Lines(counters=counters.Counters())
    found = {
        kind: watchers.Watcher(
            cache=object_caches.ObjectCache(
                kind=kind, on_change=lambda new, gone: None
            ),
            store=store,
            lines=lines,
            bound_seconds=lambda: 2.0,
            answers=answers,
            polls_in_outage=kind == "configuration",
        )
        for kind in KINDS
    }
    for each in found.values():
        each.start()
    try:
        yield found
    finally:
        for each in found.values():
            each.close()


async def all_known(found, seconds):
    """Returns how long it took until every kind was known."""
    began = clocks.now()
    async with asyncio.timeout(seconds):
        while any(each.cache.revision is None for each in found.values()):
            await asyncio.sleep(0.01)
    return clocks.now() - began


def test_routers_that_start_in_an_outage_serve_soon_after_it():
    """Guards against 503s for 2.7 s longer than the outage of the store.

    Routers that start during an outage of 0.3 s waited 2.5 s for the response
    to their first call, which never arrives. A retry on a new connection is
    answered at once.
    """

    async def play():
        store = SilentStore()
        async with following(store) as found:
            await asyncio.sleep(0.3)
            store.silent = False
            assert await all_known(found, 2.0) < 0.5

    asyncio.run(play())


def test_only_one_kind_retries_calls_to_a_silent_store():
    """Guards against the cost of retries of all kinds in an outage."""

    async def play():
        store = SilentStore()
        async with following(store):
            await asyncio.sleep(2.2)
            assert store.calls["configuration"] == 5
            assert store.calls["servers"] == store.calls["weights"] == 1

    asyncio.run(play())


def test_a_store_that_is_only_slow_answers_the_first_call():
    """Guards against a timeout too short for a slow store's responses."""

    async def play():
        store = SilentStore(answer_seconds=0.8)
        store.silent = False
        async with following(store) as found:
            assert await all_known(found, 3.0) < 1.0
            assert store.calls["configuration"] == 2

    asyncio.run(play())


class OvertakenStore(SilentStore):
    """A store whose polls a peer's newer copy always overtakes."""

    overtake = None

    async def watch(self, kind, revision, seconds):
        self.calls[kind] += 1
        await asyncio.sleep(seconds or self.answer_seconds)
        self.overtake(kind, revision)
        return registrations.Changes(changed=[], removed=[], revision=revision)


def test_a_poll_that_a_peers_copy_overtakes_still_shows_its_time():
    """Guards against polls one after the other that confirm nothing."""

    async def play():
        store = OvertakenStore()
        store.silent = False
        async with following(store) as found:

            def overtake(kind, revision):
                listing = registrations.Listing(
                    objects=[], revision=revision + 1
                )
                found[kind].cache.apply(listing)

            store.overtake = overtake
            await asyncio.sleep(2.5)
        assert max(store.calls.values()) < 10

    asyncio.run(play())
