"""Simulations of many routers and engines in virtual time."""

import attrs
import pytest

from benches import fleet_engines
from benches import fleet_runs

# A third of a large deployment, at three fifths of its prefill capacity.
BELOW_CAPACITY = fleet_runs.Plan(
    routers=24,
    engines=20,
    data_centres=2,
    seconds=6.0,
    rate=50.0,
    organisations=40,
)
# The same with a load beyond the prefill capacity of the engines.
OVER_CAPACITY = attrs.evolve(BELOW_CAPACITY, rate=110.0)


def simulate(plan):
    return fleet_runs.Fleet(plan).run()


def test_prompts_are_placed_on_idle_engines():
    """Guards against routers that all choose the same engines.

    A router that knows its own requests only chooses engines that others have
    just filled. Then a third of the look-ups are late while half of the engines
    are idle; with random placement a fifth are late at this load.
    """
    found = simulate(BELOW_CAPACITY)
    assert found.outcomes["look-up"].share_in_time() > 0.8
    assert found.outcomes["draft"].share_in_time() > 0.93


def test_short_streams_are_in_time_beside_too_many_prompts():
    """Guards against short streams delayed by the prefill of long prompts.

    If every engine always reads a long prompt, each step takes seven times as
    long. A draft of seventy short events then holds its slot for twelve
    seconds, slow drafts fill the slots, and two of three drafts are late or
    fail although they are the most urgent.
    """
    found = simulate(OVER_CAPACITY)
    assert found.outcomes["draft"].share_in_time() > 0.8
    looked_up = found.outcomes["look-up"]
    # Prompts that can't be read in time are refused without a wait.
    assert looked_up.failed <= 0.02 * looked_up.requests


def test_shared_parts_are_seldom_read_again():
    """Guards against every runner reading each shared prompt part itself.

    This happens when a router knows only the cached parts that its own
    requests have left, one 24th of all.
    """
    found = simulate(BELOW_CAPACITY)
    assert found.totals.repeated_tokens < 0.12 * found.totals.prefill_tokens


@pytest.mark.parametrize("routers", [3, 60])
def test_the_number_of_routers_has_little_effect(routers):
    """Guards against placement that gets worse with the number of routers.

    With ten times as many routers, half as many look-ups were in time.
    """
    found = simulate(attrs.evolve(BELOW_CAPACITY, routers=routers))
    assert found.outcomes["look-up"].share_in_time() > 0.75


def test_no_more_is_saved_than_a_slow_link_carries():
    """Guards against saving more prompt parts than the cache link can carry.

    If all prompts are saved, 160 transfers here wait longer than two seconds
    and are of no use, since the prompts are read again meanwhile.
    """
    slow = attrs.evolve(
        BELOW_CAPACITY,
        cache_link_bytes=80e9 / 8,
        seconds=10.0,
        rollouts_at=(3.0,),
    )
    found = simulate(slow)
    assert found.totals.not_started < 40


class TestEngine:
    """Tests of the simulated engine's cache, steps and memory."""

    def engine(self, **more):
        scheduler = fleet_engines.Scheduler()
        engine = fleet_engines.Engine(
            name="e",
            address="e:80",
            data_centre="a",
            spec=fleet_engines.EngineSpec(**more),
            scheduler=scheduler,
            totals=fleet_engines.Totals(),
            sources={},
        )
        return scheduler, engine

    def run(self, scheduler, engine, shared, own, events=2, name="p"):
        request_types = fleet_runs.request_types
        parts = (
            request_types.Part(name=name, tokens=shared),
            request_types.Part(name=f"own-{id(name)}-{own}", tokens=own),
        )
        client_request = attrs.evolve(
            fleet_runs.Fleet(
                attrs.evolve(BELOW_CAPACITY, routers=1, engines=1)
            )._make_request(fleet_runs.DRAFT),
            parts=parts,
            prompt_tokens=shared + own,
        )
        times = {}
        run = fleet_engines.Run(
            client_request=client_request,
            dispatch=request_types.Dispatch(
                server="e", organisation=None, seconds_left=9.0, namespace="1"
            ),
            events=events,
            on_first_event=lambda: times.setdefault("first", scheduler.now),
            on_event_gap=lambda seconds: times.update(pause=seconds),
            on_end=lambda complete: times.setdefault("end", scheduler.now),
        )
        assert engine.submit(run)
        return times

    def test_a_cached_part_is_not_read_again(self):
        scheduler, engine = self.engine()
        first = self.run(scheduler, engine, 4000, 500)
        scheduler.run(2.0)
        again = self.run(scheduler, engine, 4000, 600)
        scheduler.run(4.0)
        assert first["first"] > 0.19
        assert again["first"] - 2.0 < 0.11
        assert engine.totals.prefill_tokens == 4500 + 600

    def test_a_long_prompt_slows_concurrent_streams_sevenfold(self):
        scheduler, engine = self.engine()
        short = self.run(scheduler, engine, 100, 100, events=40, name="s")
        scheduler.run(0.5)
        assert short["pause"] == pytest.approx(4 * 0.00612, rel=0.1)
        scheduler, engine = self.engine()
        self.run(scheduler, engine, 30000, 100, name="l")
        short = self.run(scheduler, engine, 100, 100, events=40, name="s")
        scheduler.run(1.0)
        assert short["pause"] > 5 * 4 * 0.00612

    def test_running_requests_and_cached_parts_share_the_memory(self):
        scheduler, engine = self.engine(memory_tokens=10000)
        for number in range(6):
            self.run(scheduler, engine, 3000, 50 + number, name=f"p{number}")
        scheduler.run(9.0)
        assert engine.cache.tokens <= 10000
        assert not engine.running and not engine.waiting
