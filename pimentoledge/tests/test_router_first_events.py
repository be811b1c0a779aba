"""Tests of wait estimates: prefill work, load and the fit of first events."""

import random

import pytest

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import first_events
from pimentoledge.routing import peer_loads
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import wait_estimates


def runner(name, *, running=0, waiting=0, place="a", slots=32):
    found = backends.Backend(
        registration=registrations.Registration(
            server=name,
            service="s",
            address=f"10.0.0.1:{name}",
            data_centre=place,
            slots=slots,
            leaving=False,
            weights={"m": 1},
        )
    )
    load = request_types.ServerLoad(
        running=running, waiting=waiting, slots=slots
    )
    found.update_load(load, 1.0)
    return found


SPEEDS = wait_estimates.Speeds(
    base_seconds=0.09, token_seconds=3e-5, fetch_seconds=2e-6, mean_unread=1500
)


def test_a_short_queue_counts_more_than_few_running_requests():
    """Guards against choosing a runner by its total number of requests.

    With 12 waiting and 4 running requests at one runner, and 18 running ones at
    another, the first has fewer in total, but a prompt waits 560 ms there
    instead of 70 ms.
    """
    piled = runner("piled", running=4, waiting=12)
    free = runner("free", running=18)
    found = placements.choose(
        candidates=[piled, free],
        criteria=placements.Criteria(
            data_centre="a", model="m", unshared=2000, speeds=SPEEDS
        ),
        now=1.0,
    )
    assert found.backend is free


def test_requests_sent_since_the_last_load_report_count_as_queued():
    found = runner("r", waiting=3)
    assert found.queued(1.0) == 3
    found.unbegun += 2
    assert found.queued(1.0) == 5
    found.update_load(
        request_types.ServerLoad(running=5, waiting=2, slots=32), 2.0
    )
    assert found.queued(1.0) == 2
    found.unbegun -= 2
    assert found.queued(1.0) == 0


def test_requests_of_routers_without_reports_are_estimated_from_the_queue():
    found = runner("r", waiting=3)
    found.unbegun, found.unread_tokens = 1, 4000
    found.load_unbegun = 1
    assert found.unread(1500, 1.0, 0.0) == 4000 + 2 * 1500


def test_load_of_other_routers_counts_as_they_reported_it():
    found = runner("r")
    load = peer_loads.PeerLoad(open=3, unbegun=2, unread=9000)
    found.peer_loads.set("x", load)
    assert found.estimated_requests(1.0) == 3
    assert found.queued(1.0) == 2
    assert found.unread(1500, 1.0, 0.0) == 9000


def test_a_prefill_in_progress_counts_as_partly_done():
    """Guards against avoiding runners whose prefill is nearly finished."""
    found = runner("r")
    found.unread_tokens, found.read_since = 9000, 1.0
    assert found.unread(0.0, 1.0, 3e-5) == 9000
    assert found.unread(0.0, 1.12, 3e-5) == pytest.approx(5000, abs=2)
    assert found.unread(0.0, 9.0, 3e-5) == 0


@pytest.mark.parametrize("token_seconds", [6e-6, 3e-5, 1.5e-4])
def test_the_fit_learns_fast_and_slow_engines(token_seconds):
    """Covers five times the usual prefill speed and a fifth of it."""
    drawn = random.Random(7)
    known = first_events.FirstEventFit()
    for _ in range(300):
        tokens = drawn.choice((300, 800, 3000, 7000, 15000))
        usual = 0.06 + token_seconds * tokens
        known.note(usual * drawn.uniform(0.7, 1.3), tokens)
    assert known.token_seconds == pytest.approx(token_seconds, rel=0.3)
    expected = 0.06 + 10000 * token_seconds
    assert known.expected_seconds(10000) == pytest.approx(expected, rel=0.3)


def test_one_stalled_stream_does_not_distort_the_fit():
    known = first_events.FirstEventFit()
    for _ in range(20):
        known.note(0.09 + 3e-5 * 3000, 3000)
    known.note(30.0, 3000)
    assert known.expected_seconds(3000) < 0.3
    assert known.token_seconds < 2 * first_events.FIRST_TOKEN_SECONDS


def test_streams_of_one_length_leave_the_slope_to_the_initial_estimate():
    known = first_events.FirstEventFit()
    for _ in range(200):
        known.note(0.18, 3000)
    assert known.expected_seconds(3000) == pytest.approx(0.18, rel=0.1)
    assert known.token_seconds == pytest.approx(3e-5, rel=0.5)


class TestPromptWork:
    """Prefill and fetch work of a prompt at a runner."""

    SOURCES = cache_sources.Sources(
        best=(
            cache_sources.CacheSource(
                address="near", data_centre="a", tokens=2500
            ),
            cache_sources.CacheSource(
                address="far", data_centre="b", tokens=6000
            ),
        ),
        pending_tokens=6000,
    )

    def at(self, place, held, found=SOURCES):
        return wait_estimates.prompt_work(
            data_centre=place,
            cached=held,
            shared=6000,
            unshared=3000,
            sources=found,
            speeds=SPEEDS,
        )

    def test_only_tokens_cached_nowhere_are_prefilled(self):
        found = self.at("a", 0)
        assert found.to_read == 3000
        assert found.fetch_seconds == pytest.approx(2 * 6000 * 2e-6)
        assert found.duplicate_tokens == 0

    def test_a_fetch_within_the_data_centre_takes_half(self):
        assert self.at("b", 0).fetch_seconds == pytest.approx(6000 * 2e-6)

    def test_its_own_cached_tokens_are_neither_prefilled_nor_fetched(self):
        found = self.at("a", 6000)
        assert (found.to_read, found.fetch_seconds) == (3000, 0.0)

    def test_pending_tokens_of_another_runner_are_duplicate_work(self):
        found = self.at("a", 2500, cache_sources.Sources(pending_tokens=6000))
        assert found.to_read == 6500
        assert found.duplicate_tokens == 3500


def test_a_short_prompt_waits_little_for_a_long_one():
    """Guards against refusing short prompts because of long ones.

    Chunks are prefilled in turn: before a short prompt is done, only as many
    tokens of each other prompt are prefilled as it has itself.
    """
    found = runner("r")
    found.unread_tokens, found.unbegun, found.read_since = 20000, 2, 1.0
    assert wait_estimates.tokens_ahead(found, 800, SPEEDS, 1.0) == 1600
    assert wait_estimates.tokens_ahead(found, 90000, SPEEDS, 1.0) == 20000


def test_a_remote_runner_without_reports_does_not_count_as_idle():
    """Guards against sending most prompts to other data centres.

    The routers of other data centres don't report the load of single runners
    here, so these would look idle while prompts pile up there.
    """
    here, there = runner("h"), runner("t", place="b")
    here.unread_tokens, here.unbegun, here.read_since = 6000, 1, 1.0
    unknown = wait_estimates.expected_wait(
        there, wait_estimates.PromptWork(to_read=3000), SPEEDS, 1.0
    ).seconds
    assert (
        unknown
        < wait_estimates.expected_wait(
            here, wait_estimates.PromptWork(to_read=3000), SPEEDS, 1.0
        ).seconds
    )
    mean = wait_estimates.MeanLoad(busy=5, queued=3, unread=9000, since=1.0)
    speeds = wait_estimates.Speeds(
        base_seconds=0.09, token_seconds=3e-5, remote_means={"b": mean}
    )
    known = wait_estimates.expected_wait(
        there, wait_estimates.PromptWork(to_read=3000), speeds, 1.0
    ).seconds
    assert (
        known
        > wait_estimates.expected_wait(
            here, wait_estimates.PromptWork(to_read=3000), speeds, 1.0
        ).seconds
    )
