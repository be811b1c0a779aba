"""A store whose responses arrive again, where others are due."""

import asyncio

from pimentoledge.platform import stand_in_stores
from pimentoledge.platform import stores
from pimentoledge.routing import calls
from pimentoledge.routing import registrations


def with_store(test):
    """Runs a test with a stand-in of the store that repeats responses."""

    def run():
        server = stand_in_stores.StandInStore()
        server.repeats = True
        server.start()

        async def play():
            caller = calls.Caller()
            store = stores.StoreClient(address=server.address, caller=caller)
            try:
                await test(server, store)
            finally:
                caller.close()

        try:
            asyncio.run(play())
        finally:
            server.close()

    return run


@with_store
async def test_a_write_is_not_answered_by_the_one_before(server, store):
    """Guards against a holder that believes that it renewed its lease."""
    created = await store.write("leases", "a", {"n": 1}, revision=None)
    server.put("leases", "a", {"holder": "another"})
    renewed = await store.write(
        "leases", "a", {"n": 2}, revision=created.revision
    )
    assert not isinstance(renewed, registrations.Stored)


@with_store
async def test_a_read_is_not_answered_with_another_object(server, store):
    """Guards against an object that is taken for another."""
    server.put("leases", "a", {"n": 1})
    server.put("sizes", "b", {"n": 2})
    await store.read("leases", "a")
    found = await store.read("sizes", "b")
    assert isinstance(found, registrations.Unavailable)
    # Its connection is not used again.
    assert (await store.read("sizes", "b")).value == {"n": 2}


@with_store
async def test_a_write_is_not_answered_by_a_listing(server, store):
    """Guards against a write of unknown outcome that raises an error."""
    server.put("leases", "a", {"n": 1})
    listing = await store.list("leases")
    found = await store.write(
        "leases", "a", {"n": 2}, revision=listing.objects[0].revision
    )
    assert isinstance(found, registrations.Unavailable)
    assert found.maybe_done


@with_store
async def test_a_write_that_changes_nothing_succeeds(server, store):
    """Guards against its response, whose revision is the expected one."""
    server.repeats = False
    created = await store.write("leases", "a", {"n": 1}, revision=None)
    same = await store.write("leases", "a", {"n": 1}, revision=created.revision)
    assert isinstance(same, registrations.Stored)
