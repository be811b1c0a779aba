"""Many routers before many engines in virtual time: what clients get."""

import attrs
import pytest

from benches import fleet_engines
from benches import fleet_runs

# A third of a large deployment, at three fifths of what it can read.
CALM = fleet_runs.Plan(
    routers=24,
    engines=20,
    data_centres=2,
    seconds=6.0,
    rate=50.0,
    organisations=40,
)
# The same with more than its engines can read.
FULL = attrs.evolve(CALM, rate=110.0)


def played(plan):
    return fleet_runs.Fleet(plan).play()


def test_prompts_go_to_engines_that_have_nothing_to_read():
    """A third of the look-ups came late while half of the engines were idle.

    Each router knew its own requests alone, so all chose what the others had
    just filled. Placed at random a fifth of them come late at this load.
    """
    found = played(CALM)
    assert found.outcomes["look-up"].share_in_time() > 0.8
    assert found.outcomes["draft"].share_in_time() > 0.93


def test_short_answers_are_in_time_beside_more_prompts_than_can_be_read():
    """A draft of seventy short events held its slot for twelve seconds.

    Every engine always read a long prompt, so each step took seven times as
    long; the slots filled with drafts that were slow, and two of three drafts
    came late or not at all, though they were the most urgent.
    """
    found = played(FULL)
    assert found.outcomes["draft"].share_in_time() > 0.8
    looked_up = found.outcomes["look-up"]
    # What can't be read in time is refused, not kept waiting for nothing.
    assert looked_up.failed <= 0.02 * looked_up.asked


def test_shared_parts_are_read_again_seldom():
    """Each manual was read by every runner that met it.

    A router knew of a part only what its own requests had left, a 24th.
    """
    found = played(CALM)
    assert found.totals.again < 0.12 * found.totals.read


@pytest.mark.parametrize("routers", [3, 60])
def test_the_number_of_routers_changes_little(routers):
    """With ten times as many routers look-ups were in time half as often."""
    found = played(attrs.evolve(CALM, routers=routers))
    assert found.outcomes["look-up"].share_in_time() > 0.75


def test_what_is_saved_is_no_more_than_a_slow_link_carries():
    """What was saved came two seconds late, and was read again meanwhile.

    All prompts were saved, whatever the link had to carry: here 160 transfers
    would wait longer than two seconds, and come to nothing.
    """
    slow = attrs.evolve(
        CALM, cache_link_bytes=80e9 / 8, seconds=10.0, weights_at=(3.0,)
    )
    found = played(slow)
    assert found.totals.not_started < 40


class TestEngine:
    """The engine in virtual time keeps its accounts."""

    def engine(self, **more):
        agenda = fleet_engines.Agenda()
        engine = fleet_engines.Engine(
            name="e",
            address="e:80",
            data_centre="a",
            shape=fleet_engines.Shape(**more),
            agenda=agenda,
            totals=fleet_engines.Totals(),
            sources={},
        )
        return agenda, engine

    def run(self, agenda, engine, shared, own, events=2, name="p"):
        request_types = fleet_runs.request_types
        parts = (
            request_types.Part(name=name, tokens=shared),
            request_types.Part(name=f"own-{id(name)}-{own}", tokens=own),
        )
        client_request = attrs.evolve(
            fleet_runs.Fleet(attrs.evolve(CALM, routers=1, engines=1))._ask(
                fleet_runs.DRAFT
            ),
            parts=parts,
            prompt_tokens=shared + own,
        )
        times = {}
        run = fleet_engines.Run(
            client_request=client_request,
            sent=request_types.Dispatch(
                server="e", organisation=None, seconds_left=9.0, namespace="1"
            ),
            events=events,
            began=lambda: times.setdefault("first", agenda.now),
            paused=lambda seconds: times.update(pause=seconds),
            ended=lambda whole: times.setdefault("end", agenda.now),
        )
        assert engine.submit(run)
        return times

    def test_a_kept_part_is_not_read_again(self):
        agenda, engine = self.engine()
        first = self.run(agenda, engine, 4000, 500)
        agenda.run(2.0)
        again = self.run(agenda, engine, 4000, 600)
        agenda.run(4.0)
        assert first["first"] > 0.19
        assert again["first"] - 2.0 < 0.11
        assert engine.totals.read == 4500 + 600

    def test_a_long_prompt_slows_the_answers_beside_it_sevenfold(self):
        agenda, engine = self.engine()
        short = self.run(agenda, engine, 100, 100, events=40, name="s")
        agenda.run(0.5)
        assert short["pause"] == pytest.approx(4 * 0.00612, rel=0.1)
        agenda, engine = self.engine()
        self.run(agenda, engine, 30000, 100, name="l")
        short = self.run(agenda, engine, 100, 100, events=40, name="s")
        agenda.run(1.0)
        assert short["pause"] > 5 * 4 * 0.00612

    def test_what_runs_and_what_is_kept_share_the_memory(self):
        agenda, engine = self.engine(memory_tokens=10000)
        for number in range(6):
            self.run(agenda, engine, 3000, 50 + number, name=f"p{number}")
        agenda.run(9.0)
        assert engine.kept.tokens <= 10000
        assert not engine.running and not engine.waiting
