"""Requests that arrive again under the same id."""

import asyncio

import pytest

from pimentoledge.routing import claimed_requests
from pimentoledge.tests import router_world

with_world = router_world.with_world
SAME = {"Request-Id": "same"}


async def _send(world, path="/cards/", **more):
    headers = SAME | (
        router_world.stream_headers() if path == "/drafts/" else {}
    )
    return await world.request(path, body=b"c", headers=headers, **more)


@pytest.mark.parametrize("path", ["/cards/", "/drafts/"])
@pytest.mark.parametrize("gap_seconds", [0.0, 0.1, 0.6])
def test_a_repeated_id_runs_once(path, gap_seconds):
    """Guards against balancers and libraries that send a request again."""

    @with_world()
    async def test(world):
        for server in world.servers.values():
            server.work_seconds = 0.2
        first = asyncio.ensure_future(_send(world, path))
        await asyncio.sleep(gap_seconds)
        again = await _send(world, path)
        answers = [await first, again]
        assert sorted(each.status for each in answers) == [200, 502]
        ran = world.executed_requests("plain")
        ran += world.executed_requests("runners")
        assert len(ran) == 1

    test()


@with_world(plain=1)
async def test_an_id_that_no_server_has_run_may_come_again(world):
    """Guards against refusals that promise nothing after one that does."""
    server = world.servers["p0"]
    server.refuse = 1
    assert (await _send(world)).status == 503
    await asyncio.sleep(0.5)
    assert (await _send(world)).status == 200


@with_world(plain=1)
async def test_repeatable_requests_may_share_an_id(world):
    for _ in range(2):
        assert (await _send(world, "/notices/")).status == 200


@with_world(plain=1)
async def test_an_organisation_blocks_no_ids_of_others(world):
    """Guards against an id that another organisation has claimed."""
    assert (await _send(world)).status == 200
    other = await _send(world, key=router_world.stand_in_platforms.ISOLATED_KEY)
    assert other.status == 200


@with_world(plain=1)
async def test_a_success_that_is_marked_as_not_run_is_not_sent_again(world):
    """Guards against a second run after contradictory response fields."""
    server = world.servers["p0"]
    server.marks_not_run = True
    answer = await world.request("/cards/", body=b"c")
    assert answer.status == 200
    assert len(world.executed_requests("plain")) == 1


def test_claims_end_in_time_and_are_bounded():
    claimed = claimed_requests.ClaimedRequests()
    assert claimed.claim("o", "q", 10.0, 9.0)
    assert not claimed.claim("o", "q", 10.0, 14.9)
    assert claimed.claim("o", "q", 20.0, 15.0)
    claimed.release("o", "q")
    assert claimed.claim("o", "q", 20.0, 15.0)
    for number in range(claimed_requests.MAX_IDS):
        assert claimed.claim("p", str(number), 20.0, 15.0)
    assert claimed.claim("o", "q", 20.0, 15.0)
    claimed.expire(25.0)
    assert claimed.claim("p", "0", 20.0, 15.0)
