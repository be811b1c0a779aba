"""The whole path: real entries and agents before fakes, on loopback."""

import json
import threading

import pytest
import urllib3

from pimentoledge import emulators
from pimentoledge.runners import fake_engines
from pimentoledge.stores import vms
from pimentoledge.tests import processes

WAIT = 20.0
KEY = "path-key"
PROMPT = "A long manual about one frame. " * 40


@pytest.fixture
def emulator():
    started = emulators.Emulator()
    started.start()
    for each in processes.basics(KEY):
        started.declare(each)
    yield started
    started.close()


def start_entry(emulator, name="entry", **flags):
    daemon = emulator.add_entry(name, **flags)
    servers = len(emulator.runners) + len(emulator.services)
    processes.wait_until(
        lambda: len(
            daemon.loop.query(
                lambda core: core.configuration.servers("runner", "m")
                + core.configuration.servers("service", "cards")
            )
        )
        == servers
    )
    processes.wait_until(daemon.ready)
    return daemon


def ask(daemon, tokens=20, stream=True, model="m", **headers):
    pool = urllib3.PoolManager(retries=False, timeout=WAIT)
    body = {
        "model": model,
        "prompt": PROMPT,
        "max_tokens": tokens,
        "stream": stream,
    }
    return pool.request(
        "POST",
        f"http://{daemon.callers.address}/v1/completions",
        json=body,
        headers={"Authorization": f"Bearer {KEY}", **headers},
        preload_content=False,
    )


def post_card(daemon, key):
    pool = urllib3.PoolManager(retries=False, timeout=WAIT)
    return pool.request(
        "POST",
        f"http://{daemon.callers.address}/services/cards/new",
        body=b"{}",
        headers={"Authorization": f"Bearer {KEY}", "Idempotency-Key": key},
    )


def test_a_stream_is_whole_and_the_second_one_hits_the_cache(emulator):
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_runner("r2", "m", step_seconds=0.002)
    entry = start_entry(emulator)
    expected = fake_engines.expected_text(PROMPT, 0, 20)
    for _ in range(2):
        assert processes.read_stream(ask(entry)) == (expected, True)
    cached = [
        r.engine.counters.cached_tokens for r in emulator.runners.values()
    ]
    assert sum(cached) > 0


def test_an_engine_that_dies_mid_stream_is_continued_on_another(emulator):
    """A runner dies while a counter clerk reads the answer.

    The engine crashes after some tokens; the entry goes on at the other
    runner behind what it has passed on. The caller sees one whole answer,
    with no word twice.
    """
    emulator.add_runner("r1", "m", step_seconds=0.01)
    emulator.add_runner("r2", "m", step_seconds=0.01)
    entry = start_entry(emulator)
    response = ask(entry, tokens=60)
    processes.wait_until(
        lambda: any(
            r.engine.counters.generated_tokens > 5
            for r in emulator.runners.values()
        )
    )
    busy = max(
        emulator.runners.values(),
        key=lambda each: each.engine.counters.generated_tokens,
    )
    busy.server.crash()
    expected = fake_engines.expected_text(PROMPT, 0, 60)
    assert processes.read_stream(response) == (expected, True)


def test_a_cut_connection_to_a_living_engine_is_resumed(emulator):
    """The connection between agent and engine breaks; the engine lives on.

    The stream is taken up where it was cut. Nothing is computed twice: with
    one runner there is no other that could have continued it.
    """
    runner = emulator.add_runner("r1", "m", step_seconds=0.01)
    entry = start_entry(emulator)
    response = ask(entry, tokens=60)
    processes.wait_until(lambda: runner.engine.counters.generated_tokens > 5)
    runner.server.cut_streams()
    expected = fake_engines.expected_text(PROMPT, 0, 60)
    assert processes.read_stream(response) == (expected, True)
    assert runner.engine.counters.generated_tokens == 60


def test_a_caller_that_goes_away_cancels_at_the_engine(emulator):
    """A caller closes the connection in the middle of a long answer.

    Without a cancel the engine would generate the rest for nobody and keep
    its slot from others.
    """
    runner = emulator.add_runner("r1", "m", step_seconds=0.005)
    entry = start_entry(emulator)
    response = ask(entry, tokens=5000)
    response.read(64)
    response.close()
    processes.wait_until(
        lambda: not runner.daemon.loop.query(lambda core: list(core.runs))
    )
    processes.wait_until(lambda: not runner.engine.streams)


def test_a_card_sent_again_through_another_entry_runs_once(emulator):
    """A booking page times out and posts the same job card again.

    The second post reaches another entry. Both get the first run's answer.
    """
    emulator.add_service("c1", "cards")
    emulator.add_service("c2", "cards")
    entries = [start_entry(emulator, name) for name in ("a", "b")]
    answers = [post_card(each, "card-7") for each in entries]
    assert [each.status for each in answers] == [200, 200]
    assert answers[0].data == answers[1].data
    runs = [s.service.runs_by_key["card-7"] for s in emulator.services.values()]
    assert sum(runs) == 1


def test_a_drain_cuts_no_stream(emulator):
    """An entry is told to end while it passes on a long answer.

    It must leave the balancer, finish the answer, and refuse what comes
    later with a true "not run".
    """
    emulator.add_runner("r1", "m", step_seconds=0.005)
    entry = start_entry(emulator, drain_seconds="0")
    response = ask(entry, tokens=100)
    draining = threading.Thread(target=entry.drain)
    draining.start()
    processes.wait_until(lambda: not entry.ready())
    processes.wait_until(lambda: entry.loop.query(lambda core: core.draining))
    late = ask(entry)
    assert late.status == 503
    error = json.loads(late.read())["error"]
    assert (error["code"], error["outcome"]) == ("SHUTTING_DOWN", "not_run")
    expected = fake_engines.expected_text(PROMPT, 0, 100)
    assert processes.read_stream(response) == (expected, True)
    draining.join(WAIT)
    assert not draining.is_alive()


def test_metrics_and_health_follow_what_happens(emulator):
    runner = emulator.add_runner("r1", "m", step_seconds=0.002)
    entry = start_entry(emulator)
    processes.read_stream(ask(entry))
    pool = urllib3.PoolManager(retries=False, timeout=WAIT)

    def page(daemon, path):
        url = f"http://{daemon.admin.address}{path}"
        return pool.request("GET", url)

    text = page(entry, "/metrics").data.decode()
    assert 'pimentoledge_requests_total{code="OK"} 1.0' in text
    assert "pimentoledge_first_token_seconds_count 1.0" in text
    assert "pimentoledge_open_requests 0.0" in text
    text = page(runner.daemon, "/metrics").data.decode()
    assert 'kind="admit",outcome="admit"} 1.0' in text
    for daemon in (entry, runner.daemon):
        assert page(daemon, "/healthz").status == 200
        assert page(daemon, "/readyz").status == 200
    entry.leaving = True
    assert page(entry, "/readyz").status == 503
    assert page(entry, "/healthz").status == 200


def test_nothing_is_left_behind():
    """A daemon that leaves a thread behind can't be replaced in place."""
    before = set(threading.enumerate())
    started = emulators.Emulator()
    started.start()
    started.add_runner("r1", "m")
    started.add_service("c1", "cards")
    started.add_entry("entry")
    started.close()
    left = set(threading.enumerate()) - before
    assert not [each.name for each in left]


def test_a_vm_that_the_platform_takes_away_gets_no_new_work(emulator):
    """The platform lists a VM as leaving; its agent knows nothing of it.

    A request sent there would be cut when the VM goes. The entry reads the
    list and places work elsewhere, though the declaration still says "in".
    """
    emulator.add_runner("r1", "m", step_seconds=0.002)
    entry = start_entry(emulator, vm_list_seconds="1")
    vm = vms.Vm(
        name="vm-1",
        address="127.0.0.1",
        data_centre="local",
        state=vms.VmState.LEAVING,
    )
    emulator.vm_list.put(vm)
    processes.wait_until(
        lambda: entry.loop.query(lambda core: core.membership.leaving_vms)
    )
    refused = ask(entry)
    error = json.loads(refused.read())["error"]
    assert (error["code"], error["outcome"]) == ("NO_SERVER", "not_run")
    emulator.vm_list.remove("vm-1")
    processes.wait_until(lambda: ask(entry).status == 200)
