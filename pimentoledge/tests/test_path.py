"""End-to-end tests of entries and agents with fake servers, on loopback."""

import json
import threading

import pytest
import urllib3

from pimentoledge import emulators
from pimentoledge.runners import fake_engines
from pimentoledge.stores import vms
from pimentoledge.tests import processes

WAIT_SECONDS = 20.0
KEY = "path-key"
PROMPT = "A long manual about one frame. " * 40


@pytest.fixture
def emulator():
    started = emulators.Emulator()
    started.start()
    for each in processes.basic_declarations(KEY):
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


def request_completion(daemon, tokens=20, stream=True, model="m", **headers):
    pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)
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
    pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)
    return pool.request(
        "POST",
        f"http://{daemon.callers.address}/services/cards/new",
        body=b"{}",
        headers={"Authorization": f"Bearer {KEY}", "Idempotency-Key": key},
    )


def test_streams_are_complete_and_the_second_hits_the_cache(emulator):
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_runner("r2", "m", step_seconds=0.002)
    entry = start_entry(emulator)
    expected = fake_engines.expected_text(PROMPT, 0, 20)
    for _ in range(2):
        assert processes.read_stream(request_completion(entry)) == (
            expected,
            True,
        )
    cached = [
        r.engine.counters.cached_tokens for r in emulator.runners.values()
    ]
    assert sum(cached) > 0


def test_a_stream_continues_on_another_runner_after_a_crash(emulator):
    """Guards against a stream that breaks or repeats text after a crash.

    The engine crashes after some tokens. The entry must continue the stream on
    the other runner after the text already sent.
    """
    emulator.add_runner("r1", "m", step_seconds=0.01)
    emulator.add_runner("r2", "m", step_seconds=0.01)
    entry = start_entry(emulator)
    response = request_completion(entry, tokens=60)
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


def test_a_stream_resumes_after_its_engine_connection_breaks(emulator):
    """The connection between agent and engine breaks; the engine keeps running.

    The stream must resume where it broke, without computing a token twice.
    There is only one runner, so no other could have continued the stream.
    """
    runner = emulator.add_runner("r1", "m", step_seconds=0.01)
    entry = start_entry(emulator)
    response = request_completion(entry, tokens=60)
    processes.wait_until(lambda: runner.engine.counters.generated_tokens > 5)
    runner.server.cut_streams()
    expected = fake_engines.expected_text(PROMPT, 0, 60)
    assert processes.read_stream(response) == (expected, True)
    assert runner.engine.counters.generated_tokens == 60


def test_a_disconnected_caller_cancels_its_run(emulator):
    """A caller closes its connection in the middle of a long answer.

    Without a cancel the engine would generate the rest for no one, in a slot
    that other requests need.
    """
    runner = emulator.add_runner("r1", "m", step_seconds=0.005)
    entry = start_entry(emulator)
    response = request_completion(entry, tokens=5000)
    response.read(64)
    response.close()
    processes.wait_until(
        lambda: not runner.daemon.loop.query(lambda core: list(core.runs))
    )
    processes.wait_until(lambda: not runner.engine.streams)


def test_a_call_repeated_through_another_entry_runs_once(emulator):
    """A client times out and repeats its call through another entry.

    Both requests must get the answer of the only run.
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
    """An entry drains while it streams a long answer.

    It must become not ready, so that the load balancer stops using it, complete
    the answer, and refuse later requests as "not run".
    """
    emulator.add_runner("r1", "m", step_seconds=0.005)
    entry = start_entry(emulator, drain_seconds="0")
    response = request_completion(entry, tokens=100)
    draining = threading.Thread(target=entry.drain)
    draining.start()
    processes.wait_until(lambda: not entry.ready())
    processes.wait_until(lambda: entry.loop.query(lambda core: core.draining))
    late = request_completion(entry)
    assert late.status == 503
    error = json.loads(late.read())["error"]
    assert (error["code"], error["outcome"]) == ("SHUTTING_DOWN", "not_run")
    expected = fake_engines.expected_text(PROMPT, 0, 100)
    assert processes.read_stream(response) == (expected, True)
    draining.join(WAIT_SECONDS)
    assert not draining.is_alive()


def test_metrics_and_health_reflect_requests_and_leaving(emulator):
    runner = emulator.add_runner("r1", "m", step_seconds=0.002)
    entry = start_entry(emulator)
    processes.read_stream(request_completion(entry))
    pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)

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


def test_close_ends_all_threads():
    """A daemon that leaks a thread can't be replaced in place."""
    before = set(threading.enumerate())
    started = emulators.Emulator()
    started.start()
    started.add_runner("r1", "m")
    started.add_service("c1", "cards")
    started.add_entry("entry")
    started.close()
    left = set(threading.enumerate()) - before
    assert not [each.name for each in left]


def test_a_vm_listed_as_leaving_gets_no_new_requests(emulator):
    """The platform lists a VM as leaving; its agent is not notified.

    A request sent there would be cut off when the VM stops. The entry must
    read the list and exclude the server, although its declaration is still
    "in".
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
    refused = request_completion(entry)
    error = json.loads(refused.read())["error"]
    assert (error["code"], error["outcome"]) == ("NO_SERVER", "not_run")
    emulator.vm_list.remove("vm-1")
    processes.wait_until(lambda: request_completion(entry).status == 200)
