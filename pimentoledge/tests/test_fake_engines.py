"""Tests of the fake engine and its simulated faults in virtual time."""

import pytest

from pimentoledge.decisions import events
from pimentoledge.decisions import prefixes
from pimentoledge.runners import blocks
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_weight_stores
from pimentoledge.runners import messages
from pimentoledge.tests import engine_runs

run_of = engine_runs.run_of
drive = engine_runs.drive
LONG_PROMPT = "manual " * 100


def create_engine(*, slots=2, cache_blocks=100, **fields):
    return fake_engines.FakeEngine(
        slots=slots,
        cache_blocks=cache_blocks,
        token_seconds=0.001,
        step_seconds=0.032,
        **fields,
    )


def started_requests(output):
    return [
        each.request
        for each in output
        if isinstance(each, events.EngineStarted)
    ]


def submit(engine, *runs, now=0.0, salt="s"):
    return [engine.submit(run, salt, now) for run in runs]


def give_order(engine, kind, value, fencing=1, now=0.0):
    return engine.order(
        messages.Order(kind=kind, value=value, fencing=fencing), now
    )


def test_slots_limit_the_batch_and_interactive_goes_first():
    engine = create_engine(slots=2)
    submit(
        engine,
        run_of("a", max_tokens=50),
        run_of("b", max_tokens=50),
        run_of("c", batch=True),
        run_of("d"),
    )
    output = drive(engine, until=0.5)
    assert started_requests(output) == ["a", "b"]
    status = engine.status(0.5)
    assert (status.running, status.waiting, status.slots) == (2, 2, 2)
    output += drive(engine)
    assert started_requests(output) == ["a", "b", "d", "c"]
    for name, count in (("a", 50), ("b", 50), ("c", 5), ("d", 5)):
        text = engine_runs.text_of(output, name)
        assert text == fake_engines.expected_text("p", 0, count)
        end = engine_runs.end_of(output, name)
        assert (end.reason, end.completion_tokens) == ("length", count)


def test_first_token_waits_for_uncached_prefill():
    engine = create_engine()
    for number, prefill in enumerate((0.175, 0.047)):
        submit(engine, run_of(f"r{number}", LONG_PROMPT), now=10.0 * number)
        (started,) = engine.step(10.0 * number)
        assert started.cached_tokens == 128 * number
        due = pytest.approx(10.0 * number + prefill)
        assert engine.next_wake() == due
        assert len(engine.step(engine.next_wake())) == 1
        drive(engine)
    assert engine.counters.computed_tokens == 175 + 47
    assert engine.counters.cached_tokens == 128


def test_continuation_generates_only_the_missing_tokens():
    """An engine crashes after 7 of 20 tokens and another one continues.

    Both parts together are the text that a single engine generates.
    """
    first_part = fake_engines.expected_text("p", 0, 7)
    engine = create_engine()
    submit(
        engine,
        run_of("a", max_tokens=20, continued=first_part, continued_tokens=7),
        run_of("b", max_tokens=20, continued="not it", continued_tokens=7),
        run_of("c", max_tokens=20, parameters=b'{"fake_length": 4}'),
    )
    output = drive(engine)
    second_part = engine_runs.text_of(output, "a")
    assert first_part + second_part == fake_engines.expected_text("p", 0, 20)
    assert engine_runs.end_of(output, "a").completion_tokens == 13
    assert engine.counters.wrong_continuations == 1
    end = engine_runs.end_of(output, "c")
    assert (end.reason, end.completion_tokens) == ("stop", 4)
    assert engine.counters.generated_tokens == 13 + 13 + 4
    submit(engine, run_of("d", max_tokens=7, continued_tokens=7))
    assert engine_runs.end_of(drive(engine), "d").completion_tokens == 0
    assert engine.counters.generated_tokens == 13 + 13 + 4


def test_text_every_gives_the_same_text():
    engine = create_engine()
    engine.text_every = 16
    submit(engine, run_of("a", max_tokens=100))
    output = drive(engine)
    assert len(output) == 2 + 1 + 7
    text = engine_runs.text_of(output, "a")
    assert text == fake_engines.expected_text("p", 0, 100)


def test_cache_evicts_least_recently_used_blocks_but_no_pinned_ones():
    engine = create_engine(cache_blocks=4)
    prompts = {name: name * 512 for name in "abc"}
    for name in "aba":
        submit(engine, run_of(f"{name}{engine.now}", prompts[name]))
        drive(engine)
    submit(engine, run_of("c", prompts["c"]))
    drive(engine)
    chains = {
        name: blocks.chain(salt="s", prompt=prompt.encode())
        for name, prompt in prompts.items()
    }
    depths = [engine.cache.match(chains[name]) for name in "abc"]
    assert depths == [2, 0, 2]
    assert engine.cache.evictions == 2
    submit(engine, run_of("long", "x" * 256 * 9, max_tokens=100))
    drive(engine, until=engine.now + 1)
    submit(engine, run_of("other", prompts["b"]), now=engine.now)
    drive(engine)
    assert len(engine.cache) == 4
    assert engine.cache.match(chains["b"]) == 0


def test_salts_separate_caches_and_digests_match_decisions():
    engine = create_engine()
    salts = [
        prefixes.salt(organisation=name, model="m", adapter="", weights="w1")
        for name in ("acme", "zenith")
    ]
    for number, salt in enumerate(salts):
        submit(engine, run_of(f"r{number}", LONG_PROMPT), salt=salt.hex())
        drive(engine)
    assert engine.counters.cached_tokens == 0
    for salt in salts:
        chain = prefixes.chain(
            salt=salt, text=LONG_PROMPT.encode(), block_bytes=256
        )
        assert engine.cache.match(chain) == len(chain) == 2


def test_cache_events_are_delayed_and_partly_lost():
    """The engine's cache events are delayed and partly lost.

    A lost event shows only as a gap in the numbers; a reader that ignores it
    has a wrong view of the cache.
    """
    engine = create_engine(cache_blocks=40, seed=3)
    engine.event_delay = 2.0
    engine.event_loss = 0.3
    submit(engine, run_of("a", "x" * 256 * 100))
    drive(engine)
    assert engine.cache_events(0, engine.now).events == []
    late = engine.now + 2.0
    numbers = [each.number for each in engine.cache_events(0, late).events]
    assert numbers == sorted(set(numbers))
    assert 0 < len(numbers) < engine.cache.log.last_number == 40
    tail = engine.cache_events(numbers[4], late).events
    assert [each.number for each in tail] == numbers[5:]


def test_status_is_delayed_by_report_lag():
    engine = create_engine()
    engine.report_lag = 1.0
    submit(engine, run_of("a", max_tokens=1000))
    drive(engine, until=2.0)
    assert engine.status(2.0).running == 1
    engine.cancel("a", 1, 2.0)
    assert engine.status(2.9).running == 1
    assert engine.status(3.0).running == 0


def test_cancel_reports_whether_the_completion_ran():
    engine = create_engine(slots=1)
    submit(engine, run_of("a", max_tokens=1000), run_of("b"))
    output = drive(engine, until=1.0)
    assert engine.cancel("a", 1, 1.0)
    assert not engine.cancel("a", 1, 1.0)
    submit(engine, run_of("c", "y" * 4000), now=1.0)
    assert engine.cancel("c", 1, 1.0)
    assert engine.cancel("b", 1, 1.0)
    output += drive(engine)
    rans = [engine_runs.end_of(output, name).ran for name in "abc"]
    assert rans == ["ran", "ran", "not_run"]
    assert engine.status(2.0).running == 0
    assert engine.next_wake() is None
    assert engine.counters.runs == {"a": 1, "b": 1}


def test_resume_from_a_token_on():
    engine = create_engine()
    submit(engine, run_of("a", max_tokens=20))
    drive(engine, until=0.2)
    assert engine.resume("a", 1, 100) is None
    assert engine.resume("b", 1, 0) is None
    (middle,) = engine.resume("a", 1, 2)
    later_output = drive(engine)
    text_after_resume = middle.text + engine_runs.text_of(later_output, "a")
    assert text_after_resume == fake_engines.expected_text("p", 2, 18)
    text, end = engine.resume("a", 1, 15)
    assert text.text == fake_engines.expected_text("p", 15, 5)
    assert end == engine_runs.end_of(later_output, "a")
    assert engine.counters.runs["a"] == 1


def test_kv_transfer_takes_time_per_block():
    source = create_engine()
    target = create_engine(slots=0)
    submit(source, run_of("a", LONG_PROMPT))
    drive(source)
    source.kv_block_seconds = target.kv_block_seconds = 0.1
    chain = blocks.chain(salt="s", prompt=LONG_PROMPT.encode())
    kv = source.export_kv([*chain, b"unknown"])
    assert (kv.blocks, kv.seconds) == (chain, 0.2)
    assert target.import_kv(kv, 5.0) == 0.2
    target.step(5.1)
    assert target.cache.match(chain) == 0
    target.step(5.2)
    assert target.cache.match(chain) == 2
    (refused,) = submit(target, run_of("b"))
    assert (refused.ran, refused.text) == ("not_run", "slots")


def test_stale_fencing_token_is_refused_or_ignored():
    """The holder of an expired lease sends an order.

    An engine that checks fencing tokens refuses it and returns the highest
    token that it has seen; one that does not executes the stale order.
    """
    checking = create_engine()
    assert give_order(checking, "role", "prefill", fencing=5).accepted
    stale = give_order(checking, "role", "decode", fencing=4)
    assert (stale.accepted, stale.reason, stale.highest) == (
        False,
        "fenced",
        5,
    )
    assert checking.status(0).role == "prefill"
    ignoring = create_engine(checks_orders=False)
    give_order(ignoring, "role", "prefill", fencing=5)
    assert give_order(ignoring, "role", "decode", fencing=4).accepted
    assert ignoring.status(0).role == "decode"
    assert ignoring.status(0).fencing == 0


def test_concurrent_weight_loads_take_longer_and_empty_the_cache():
    store = fake_weight_stores.WeightStore(load_seconds=0.5, concurrent=3)
    engines = [create_engine(weight_store=store) for _ in range(6)]
    submit(engines[0], run_of("a", LONG_PROMPT))
    assert give_order(engines[0], "load", "w2").reason == "busy"
    drive(engines[0])
    for engine in engines:
        assert give_order(engine, "load", "w2", now=10.0).accepted
    (refused,) = submit(engines[0], run_of("b"), now=10.1)
    assert (refused.ran, refused.text) == ("not_run", "loading")
    assert give_order(engines[0], "load", "w3", now=10.1).reason == "busy"
    ends = [engine.next_wake() for engine in engines]
    assert ends[:3] == [10.5] * 3
    assert ends[5] == 11.0
    assert store.max_running == 6
    before = engines[0].cache.log.last_number
    drive(engines[0])
    assert engines[0].status(11).weights == "w2"
    assert len(engines[0].cache) == 0
    evictions = engines[0].cache_events(before, 11).events
    assert [each.stored for each in evictions] == [False, False]


def test_adapters_and_unknown_orders():
    engine = create_engine(adapters=("a1",))
    assert give_order(engine, "add_adapter", "a2").accepted
    (none,) = submit(engine, run_of("a", adapter="a2"))
    assert none is None
    assert give_order(engine, "drop_adapter", "a2").reason == "busy"
    drive(engine)
    assert give_order(engine, "drop_adapter", "a2").accepted
    (refused,) = submit(engine, run_of("b", adapter="a2"))
    assert (refused.ran, refused.text) == ("not_run", "adapter")
    assert engine.status(0).adapters == ["a1"]
    assert give_order(engine, "dance", "").reason == "unknown"


def test_restart_after_a_crash_restores_the_initial_state():
    """An engine crashes and restarts after its weights were upgraded.

    All its streams break, its cache is empty, it has a new incarnation, and it
    runs its initial weights and adapters, not the ones loaded later.
    """
    engine = create_engine(slots=1)
    engine.restart_seconds = 3.0
    give_order(engine, "load", "w2", fencing=7)
    give_order(engine, "add_adapter", "a1", fencing=7)
    drive(engine)
    before = engine.status(1.0)
    submit(engine, run_of("a", LONG_PROMPT, 1000), run_of("b"), now=1.0)
    output = drive(engine, until=2.0)
    engine.crash(2.0)
    output += drive(engine, until=2.0)
    for name in "ab":
        assert engine_runs.end_of(output, name).ran == "ran"
    assert engine.status(2.0) == events.EngineStatus()
    assert engine.cache_events(0, 2.0) is None
    assert give_order(engine, "role", "both", 7).reason == "down"
    (refused,) = submit(engine, run_of("c"), now=2.0)
    assert (refused.ran, refused.text) == ("not_run", "down")
    drive(engine)
    after = engine.status(5.0)
    assert after.incarnation not in ("", before.incarnation)
    assert (before.weights, after.weights) == ("w2", "w1")
    assert (after.adapters, len(engine.cache)) == ([], 0)
    assert after.fencing == 7
    engine.resets_fencing = True
    engine.restart_seconds = None
    engine.crash(6.0)
    drive(engine)
    assert engine.status(7.0).incarnation == ""
    engine.restart(8.0)
    assert engine.status(8.0).fencing == 0
    assert engine.counters.crashes == 2


def test_poisonous_prompt_breaks_the_whole_batch():
    """One request crashes each engine that runs it.

    All other streams of the batch break as well, and their errors do not show
    which request caused the crash.
    """
    engine = create_engine(slots=4)
    engine.poison = "POISON"
    engine.poison_after = 2
    submit(engine, run_of("a", max_tokens=99), run_of("b", "x POISON"))
    output = drive(engine)
    assert engine_runs.text_of(output, "b").count(" ") == 2
    assert engine_runs.end_of(output, "a").text == "crashed"
    assert engine_runs.end_of(output, "b").text == "crashed"
    assert engine.counters.crashes == 1
    assert engine.counters.generated_tokens == sum(
        each.tokens for each in output if isinstance(each, events.EngineText)
    )
    assert engine.incarnation == ""


def test_full_queue_and_duplicate_are_refused():
    engine = create_engine(slots=1)
    engine.max_waiting = 1
    runs = [run_of("a"), run_of("b"), run_of("c"), run_of("a")]
    refused = submit(engine, *runs)
    assert refused[:2] == [None, None]
    assert (refused[2].ran, refused[2].text) == ("not_run", "full")
    assert (refused[3].ran, refused[3].text) == ("ran", "duplicate")
