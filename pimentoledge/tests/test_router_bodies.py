"""The memory that request bodies and heads take."""

import asyncio

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.routing import body_budgets
from pimentoledge.routing import client_connections
from pimentoledge.routing import clocks
from pimentoledge.routing import head_budgets
from pimentoledge.tests import router_world

with_world = router_world.with_world
BODY_BYTES = 3_000_000
LIMITS = {
    "maxHeaderBytes": 4096,
    "maxBodyBytes": 4_000_000,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


async def _allow_large_bodies(world):
    [router] = world.routers
    changed = router_world.configuration(2, limits=LIMITS)
    world.store.put("config", "main", changed)
    await world.until(lambda: router.view.configuration.version == 2)
    return router


@with_world(plain=1, runners=0)
async def test_a_kept_connection_goes_by_the_limits_in_force(world):
    """Guards against refusals by the limits of a former configuration."""
    client = world.client()
    await client.open()
    body = b"b" * 20_000
    assert (await client.request("/notices/")).status == 200
    router = await _allow_large_bodies(world)
    assert (await client.request("/notices/", body=body)).status == 200
    lowered = router_world.configuration(3)
    world.store.put("config", "main", lowered)
    await world.until(lambda: router.view.configuration.version == 3)
    answer = await client.request("/notices/", body=body)
    assert answer.status == 413


async def _send(world, size, path="/notices/"):
    headers = {"Deadline-Ms": "8000"}
    return await world.request(path, body=b"b" * size, headers=headers)


async def _begin(world, size):
    """Returns a client that has sent the first part of a large body."""
    client = world.client()
    await client.open()
    more = {"Content-Length": str(BODY_BYTES)}
    client.send("/notices/", body=b"b" * size, headers=more)
    return client


@with_world(plain=2, runners=0)
async def test_many_large_bodies_stay_within_their_bound(world):
    """Guards against clients that fill the memory with request bodies."""
    router = await _allow_large_bodies(world)
    router.bodies.bound = 2 * BODY_BYTES
    for server in world.servers.values():
        server.work_seconds = 0.1
    answers = await asyncio.gather(
        *(_send(world, BODY_BYTES) for _ in range(12))
    )
    assert [each.status for each in answers] == [200] * 12
    reads = 12 * client_connections.READ_BYTES
    assert router.bodies.peak <= 3 * BODY_BYTES + reads
    assert router.bodies.held == 0


@with_world(plain=1, runners=0)
async def test_a_body_above_the_bound_passes_alone(world):
    """Guards against a bound that no large request can meet."""
    router = await _allow_large_bodies(world)
    router.bodies.bound = 1000
    assert (await _send(world, BODY_BYTES)).status == 200
    assert router.bodies.held == 0


@with_world(plain=2, runners=0)
async def test_bodies_of_clients_that_left_are_not_counted(world):
    """Guards against a bound that is used up by clients that are gone."""
    router = await _allow_large_bodies(world)
    router.bodies.bound = BODY_BYTES
    clients = [await _begin(world, BODY_BYTES // 2) for _ in range(6)]
    await world.until(lambda: router.bodies.held > BODY_BYTES // 2)
    for client in clients:
        client.writer.transport.abort()
    assert (await _send(world, BODY_BYTES)).status == 200
    await world.until(lambda: router.bodies.held == 0)


@with_world(plain=2, runners=0)
async def test_clients_that_stall_within_a_body_hold_no_others_up(world):
    """Guards against announced bodies that use up the bound."""
    router = await _allow_large_bodies(world)
    router.bodies.bound = BODY_BYTES
    clients = [await _begin(world, 1000) for _ in range(6)]
    await world.until(lambda: router.bodies.held == 6000)
    began = clocks.now()
    answers = await asyncio.gather(*(_send(world, BODY_BYTES) for _ in "abc"))
    assert [each.status for each in answers] == [200] * 3
    assert clocks.now() - began < 3.0
    for client in clients:
        client.close()


class _Reader:

    def __init__(self, budget, noted):
        self.budget = budget
        self.noted = noted
        self.paused = False
        self.refused = 0

    def pause_body(self, paused):
        self.paused = paused

    def refuse_body(self):
        assert self.noted[self].read
        self.refused += 1
        complete = self.noted[self].complete
        self.noted[self] = body_budgets.Bodies(complete=complete)
        self.budget.note(self, self.noted[self])


_BODIES = strategies.builds(
    body_budgets.Bodies,
    complete=strategies.integers(0, 30),
    read=strategies.integers(0, 30),
    announced=strategies.integers(0, 60),
)


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), _BODIES), max_size=30
    )
)
def test_reading_goes_on_exactly_while_it_may(changes):
    """Guards against bodies that wait for ever, or beyond the bound."""
    budget = body_budgets.BodyBudget(bound=40)
    noted = {}
    readers = [_Reader(budget, noted) for _ in range(4)]
    noted.update(dict.fromkeys(readers, body_budgets.Bodies()))
    for number, bodies in changes:
        noted[readers[number]] = bodies
        budget.note(readers[number], bodies)
        held = sum(each.held() for each in noted.values())
        assert budget.held == held
        begun = [each for each in readers if noted[each].read]
        reading = [each for each in begun if not each.paused]
        assert not any(each.paused for each in readers if each not in begun)
        rests = sum(noted[each].rest() for each in reading)
        completes = any(each.complete for each in noted.values())
        if held + sum(each.rest() for each in noted.values()) <= 40:
            assert reading == begun
        assert held + rests <= 40 or (len(reading) <= (0 if completes else 1))
        assert reading or completes or not begun
        largest = max(each.read for each in noted.values())
        assert held - largest <= 60 or len(begun) <= 1
        refused = sum(each.refused for each in readers)
        assert not refused or budget.peak > 60


class TestStalledClients:
    """Refusal of bodies whose clients have stalled."""

    STALLED = 1.5 * body_budgets.STALLED_SECONDS

    def start(self, monkeypatch, sizes):
        self.now = 100.0
        monkeypatch.setattr(clocks, "now", lambda: self.now)
        self.budget = body_budgets.BodyBudget(bound=100_000)
        self.noted = {}
        self.readers = [_Reader(self.budget, self.noted) for _ in sizes]
        for reader, size in zip(self.readers, sizes, strict=True):
            self.read(reader, size)

    def read(self, reader, size, announced=90_000):
        self.noted[reader] = body_budgets.Bodies(read=size, announced=announced)
        self.budget.note(reader, self.noted[reader])

    def wait(self):
        self.now += self.STALLED
        self.budget.tick(self.now)

    def refused(self):
        return [each.refused for each in self.readers]

    def test_those_that_hold_most_of_the_bound_are_refused(self, monkeypatch):
        """Guards against clients that each take their turn, and stall."""
        self.start(monkeypatch, [80_000, 30_000, 20_000])
        self.wait()
        assert self.refused() == [1, 0, 0]
        assert not self.readers[1].paused

    def test_they_stay_while_nobody_waits(self, monkeypatch):
        self.start(monkeypatch, [80_000])
        self.wait()
        assert self.refused() == [0]

    def test_they_stay_while_they_hold_little(self, monkeypatch):
        """Guards against a slow client that is refused for another's load."""
        self.start(monkeypatch, [1_000, 50_000, 50_000])
        self.wait()
        assert self.refused()[0] == 0

    def test_what_the_kernel_holds_for_paused_ones_counts(self, monkeypatch):
        """Guards against paused clients that fill the memory of the VM."""
        self.start(monkeypatch, [])
        self.budget.paused_bytes = 40_000
        self.readers = [_Reader(self.budget, self.noted) for _ in range(9)]
        for reader in self.readers:
            self.read(reader, 10_000)
        paused = [each for each in self.readers if each.paused]
        assert self.budget.held + 40_000 * len(paused) <= 150_000 + 10_000
        assert self.refused()[0] == 0
        assert self.refused()[-1] == 1

    def test_single_bytes_are_no_progress(self, monkeypatch):
        """Guards against clients that send a byte now and then."""
        self.start(monkeypatch, [80_000, 30_000, 20_000])
        for more in range(1, 4):
            self.now += body_budgets.STALLED_SECONDS / 2
            self.read(self.readers[0], 80_000 + more)
            self.budget.tick(self.now)
        assert self.refused() == [1, 0, 0]


class _HeadReader:

    def __init__(self, budget, noted):
        self.budget = budget
        self.noted = noted
        self.refused = 0

    def refuse_heads(self):
        self.refused += 1
        heads = self.noted[self]
        assert heads.unserved == max(
            each.unserved for each in self.noted.values()
        )
        self.noted[self] = head_budgets.Heads(served=heads.served)
        self.budget.note(self, self.noted[self])


_HEADS = strategies.builds(
    head_budgets.Heads,
    served=strategies.integers(0, 30),
    unserved=strategies.integers(0, 30),
)


@given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), _HEADS), max_size=30
    )
)
def test_heads_stay_within_their_bound_while_any_can_be_refused(changes):
    """Guards against heads that fill the memory, or are refused in calm."""
    budget = head_budgets.HeadBudget(bound=40)
    noted = {}
    readers = [_HeadReader(budget, noted) for _ in range(4)]
    for number, heads in changes:
        reader = readers[number]
        noted[reader] = heads
        refused = sum(each.refused for each in readers)
        before = sum(each.held() for each in noted.values())
        budget.note(reader, heads)
        assert budget.held == sum(each.held() for each in noted.values())
        unserved = sum(each.unserved for each in noted.values())
        assert budget.held <= 40 or not unserved
        if before <= 40:
            assert refused == sum(each.refused for each in readers)


@with_world(plain=1, runners=0)
async def test_a_refused_head_gets_a_response_that_allows_a_retry(world):
    """Guards against a refusal that doesn't say that nothing ran."""
    [router] = world.routers
    router.heads.bound = 1000
    client = world.client()
    await client.open()
    client.writer.write(b"POST /notices/ HTTP/1.1\r\nA: " + b"b" * 3000)
    answer = await client.read()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert answer.headers["connection"] == "close"
    assert not world.executed_requests("plain")
    client.close()
    router.heads.bound = 100_000
    assert (await world.request("/notices/")).status == 200
    assert router.heads.held == 0


@pytest.mark.parametrize("budget", ["bodies", "heads"])
def test_a_request_that_would_exceed_a_bound_is_refused(budget):
    """Guards against complete requests that together fill the memory."""

    @with_world(plain=1, runners=0)
    async def run(world):
        [router] = world.routers
        router.bodies.bound = router.heads.bound = 10_000
        getattr(router, budget).bound = 1000
        for server in world.servers.values():
            server.work_seconds = 0.5
        first = asyncio.ensure_future(
            world.request("/notices/", body=b"b" * 2000)
        )
        await world.until(lambda: router.exchanges)
        answer = await world.request("/notices/", headers={"Request-Id": "x"})
        assert answer.status == 503
        assert answer.headers["request-id"] == "x"
        assert float(answer.headers["retry-after"]) > 0
        assert (await first).status == 200
        assert len(world.executed_requests("plain")) == 1
        assert (await world.request("/notices/")).status == 200

    run()


@with_world(plain=1, runners=0)
async def test_a_client_that_still_sends_gets_its_refusal(world):
    """Guards against a reset in place of the response that refuses a body."""
    client = world.client()
    await client.open()
    client.send("/notices/", headers={"Content-Length": "5000000"})
    for _ in range(40):
        client.writer.write(b"b" * 65536)
        await asyncio.sleep(0.005)
    assert (await client.read()).status == 413
    assert await client.reader.read() == b""
    client.close()
    await world.until(lambda: not world.routers[0].connections)


@with_world(plain=1, runners=0)
async def test_a_refused_client_that_stays_is_closed(world):
    """Guards against refused clients that keep their connections."""
    client = world.client()
    await client.open()
    client.send("/notices/", headers={"Content-Length": "5000000"})
    assert (await client.read()).status == 413
    await world.until(lambda: not world.routers[0].connections)
    client.close()
