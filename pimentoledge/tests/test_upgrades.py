"""End-to-end tests of weight rollouts, adapters and leaving servers."""

import threading
import time

import pytest

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_weight_stores
from pimentoledge.tests import processes
from pimentoledge.tests import test_path

TOKENS = 30
LIMIT = 2


@pytest.fixture
def emulator():
    started = emulators.Emulator()
    started.start()
    declare_model(started, "w1")
    key = emulators.key_digest(test_path.KEY)
    started.declare(
        declarations.Contract(organisation="o", key_digests=[key], models=["m"])
    )
    yield started
    started.close()


def start(emulator, runners):
    """Adds runners that share one weight store; returns a started entry."""
    shared = fake_weight_stores.WeightStore(load_seconds=0.3, concurrent=LIMIT)
    for number in range(1, runners + 1):
        emulator.add_runner(
            f"r{number}", "m", step_seconds=0.005, weight_store=shared
        )
    return test_path.start_entry(emulator)


def declare_model(emulator, weights, adapters=()):
    emulator.declare(
        declarations.Model(
            name="m",
            weights=weights,
            adapters=list(adapters),
            concurrent_loads=LIMIT,
        )
    )


def declare_leaving(emulator, name):
    agent = emulator.runners[name].daemon.loop.mailbox.address
    emulator.declare(
        declarations.BackendServer(
            name=name,
            serves="m",
            agent=agent,
            state=declarations.ServerState.LEAVING,
        )
    )


def weights_of(emulator):
    return {each.engine.weights for each in emulator.runners.values()}


class Callers:
    """Client threads that send requests in sequence until stopped."""

    def __init__(self, entry, count):
        self.entry = entry
        self.answers = []
        self.stopped = False
        self.threads = [
            threading.Thread(target=self.send_requests) for _ in range(count)
        ]

    def __enter__(self):
        for each in self.threads:
            each.start()
        return self

    def __exit__(self, *fault):
        self.stopped = True
        for each in self.threads:
            each.join(30.0)

    def send_requests(self):
        while not self.stopped:
            response = test_path.request_completion(self.entry, tokens=TOKENS)
            if response.status == 200:
                self.answers.append(processes.read_stream(response))
            else:
                self.answers.append((response.read(), False))


def check(answers):
    """Checks that each client got the complete answer."""
    expected = fake_engines.expected_text(test_path.PROMPT, 0, TOKENS)
    assert answers
    assert [each for each in answers if each != (expected, True)] == []


def test_weight_rollout_under_load_fails_no_request(emulator):
    """A rollout of new weights must not break streams or refuse requests.

    New weights are declared under load, then newer ones. Each engine drains
    its streams and loads the weights, while new requests go to runners of
    either version and at least three of the five runners serve throughout.
    """
    entry = start(emulator, 5)
    store = emulator.runners["r1"].engine.weight_store
    with Callers(entry, 8) as callers:
        processes.wait_until(lambda: len(callers.answers) > 20)
        declare_model(emulator, "w2")
        processes.wait_until(lambda: "w2" in weights_of(emulator))
        declare_model(emulator, "w3")
        processes.wait_until(lambda: weights_of(emulator) == {"w3"})
        done = len(callers.answers)
        processes.wait_until(lambda: len(callers.answers) > done + 20)
    check(callers.answers)
    assert store.max_running <= LIMIT
    assert store.loads <= 10


def test_adapters_share_no_cached_prefix(emulator):
    """A prefix cached for one adapter is invalid for another.

    Two adapters get the same prompt in turn. The first adapter's second
    request must hit its own blocks, to show that the cache is in use.
    """
    entry = start(emulator, 1)
    declare_model(emulator, "w1", ["a1", "a2"])
    engine = emulator.runners["r1"].engine
    processes.wait_until(lambda: engine.adapters == ["a1", "a2"])
    cached = []
    for adapter in ("a1", "a1", "a2", ""):
        before = engine.counters.cached_tokens
        model = f"m:{adapter}" if adapter else "m"
        processes.read_stream(
            test_path.request_completion(entry, model=model, tokens=5)
        )
        cached.append(engine.counters.cached_tokens - before)
    assert cached[0] == cached[2] == cached[3] == 0 < cached[1]


def test_leaving_server_gets_nothing_after_three_seconds(emulator):
    """A leaving server must get no request that arrives after three seconds.

    One server is declared as leaving, another is draining according to its
    agent only. Then the store goes down.
    """
    entry = start(emulator, 3)
    with Callers(entry, 6) as callers:
        processes.wait_until(lambda: len(callers.answers) > 20)
        declare_leaving(emulator, "r1")
        emulator.runners["r2"].daemon.core.draining = True
        until = time.monotonic() + 3.0
        processes.wait_until(lambda: time.monotonic() > until)
        emulator.objects.down = True
        engines = [emulator.runners[name].engine for name in ("r1", "r2")]
        processes.wait_until(lambda: not any(each.streams for each in engines))
        runs = [each.counters.runs.total() for each in engines]
        done = len(callers.answers)
        processes.wait_until(lambda: len(callers.answers) > done + 60)
        assert [each.counters.runs.total() for each in engines] == runs
    check(callers.answers)
