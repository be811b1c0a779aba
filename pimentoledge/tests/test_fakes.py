"""The fakes and the peers' clients, end to end."""

import pytest

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages as node_messages
from pimentoledge.platform import fake_objects
from pimentoledge.platform import fake_servers as platform_servers
from pimentoledge.platform import fake_vms
from pimentoledge.platform import objects
from pimentoledge.platform import vms
from pimentoledge.runners import engines
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_servers as engine_servers
from pimentoledge.services import clients
from pimentoledge.services import fake_services


def run_of(request, prompt, max_tokens=5, **fields):
    completion = node_messages.Completion(
        model="m", prompt=prompt, max_tokens=max_tokens, **fields
    )
    return actions.RunCompletion(
        request=request,
        attempt=1,
        priority="interactive",
        completion=completion,
    )


@pytest.fixture
def engine_pair():
    engine = fake_engines.FakeEngine(
        slots=4, cache_blocks=100, token_seconds=1e-6, step_seconds=0.002
    )
    server = engine_servers.EngineServer(engine=engine)
    server.start()
    client = engines.EngineClient(url=server.url, timeout=5)
    client.start()
    yield server, client
    client.close()
    server.close()


def test_engine_stream_is_whole(engine_pair):
    server, client = engine_pair
    for number in range(3):
        got = list(client.run(run_of(f"r{number}", "p" * 600), "salt"))
        text = "".join(
            each.text for each in got if isinstance(each, events.EngineText)
        )
        assert text == fake_engines.expected_text("p" * 600, 0, 5)
        assert isinstance(got[0], events.EngineStarted)
        assert got[-1].reason == "length"
        assert got[-1].cached_tokens == (128 if number else 0)
    assert len(client.cache_events(0).events) == 2
    assert client.status().incarnation == server.engine.incarnation


def test_crash_mid_stream_is_broken_and_then_refused(engine_pair):
    """An engine process dies in the middle of an answer.

    Its connections close without an end mark, which must not pass for the
    end of the answer; afterwards connections are refused, so that a new
    completion certainly did not run; then it comes back with a new life.
    """
    server, client = engine_pair
    before = client.status().incarnation
    stream = client.run(run_of("r", "p", max_tokens=100_000), "salt")
    assert isinstance(next(stream), events.EngineStarted)
    server.crash()
    last = list(stream)[-1]
    assert isinstance(last, events.EngineBroken)
    assert last.ran == "ran"
    (refused,) = client.run(run_of("s", "p"), "salt")
    assert refused.ran == "not_run"
    assert client.status().incarnation == ""
    server.restart()
    assert client.status().incarnation not in ("", before)


@pytest.fixture
def store():
    fake = fake_objects.FakeObjects()
    vm_list = fake_vms.FakeVmList()
    server = platform_servers.ObjectServer(objects=fake, vm_list=vm_list)
    server.start()
    client = objects.ObjectClient(url=server.url, timeout=5)
    client.start()
    yield fake, client, server
    client.close()
    server.close()


def write(path, value, expected, write_id="w"):
    return stores.Write(
        call="c", path=path, value=value, expected=expected, write_id=write_id
    )


def test_lost_answer_has_taken_effect(store):
    """The store's answer gets lost after the write.

    The connection closes without an answer, the write stands, and its write
    id shows so when the object is read back.
    """
    fake, client, _ = store
    fake.lose_answers = 1
    answer = client.call(write("a/b", b"1", 0, "mine"))
    assert answer.outcome == stores.Outcome.LOST
    found = client.call(stores.Read(call="r", path="a/b")).objects[0]
    assert (found.value, found.write_id) == (b"1", "mine")
    again = client.call(write("a/b", b"1", 0, "mine"))
    assert again.outcome == stores.Outcome.CONFLICT
    assert again.objects[0].version == found.version


def test_list_of_vms(store):
    _, _, server = store
    server.vm_list.put(
        vms.Vm(name="vm1", address="10.0.0.1", data_centre="recife")
    )
    server.vm_list.leave("vm1")
    client = vms.VmListClient(url=server.url)
    client.start()
    assert client.read().unwrap()[0].state == vms.VmState.LEAVING
    client.close()


def test_service_counts_runs_and_loses_answer():
    """A job card is taken and its answer gets lost.

    The caller can't tell whether it ran, so the outcome is unknown; it did
    run, once. With the port closed it certainly did not.
    """
    service = fake_services.FakeService()
    server = fake_services.ServiceServer(service=service)
    server.start()
    client = clients.ServiceClient(url=server.url)
    client.start()
    call = node_messages.ServiceCall(
        service="s", method="POST", path="cards", body=b"wheel"
    )
    run = actions.RunCall(request="r", attempt=1, call=call, seconds=5, key="k")
    assert client.run(run).status == 200
    service.lose_answers = 1
    assert client.run(run).ran == "outcome_unknown"
    assert service.runs_by_key["k"] == 2
    server.close()
    assert client.run(run).ran == "not_run"
    client.close()
