"""Tests of fakes, servers and clients of the object API and VM list."""

import threading

import pytest

from pimentoledge import fake_http
from pimentoledge.decisions import stores
from pimentoledge.stores import fake_objects
from pimentoledge.stores import fake_servers
from pimentoledge.stores import fake_vms
from pimentoledge.stores import objects
from pimentoledge.stores import vms
from pimentoledge.stores import wires
from pimentoledge.tests import raw_servers

Outcome = stores.Outcome


class ManualClock:
    """A clock that advances only when `now` is set."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def write(path, value, expected, write_id="w"):
    return stores.Write(
        call="c", path=path, value=value, expected=expected, write_id=write_id
    )


def read(path):
    return stores.Read(call="c", path=path)


def watch(after, prefix="", seconds=0.0):
    return stores.Watch(call="c", prefix=prefix, after=after, seconds=seconds)


def test_versions_conditional_writes_and_tombstones():
    fake = fake_objects.FakeObjects()
    first = fake.call(write("a/x", b"1", 0)).version
    second = fake.call(write("b/x", b"1", 0)).version
    assert second > first
    conflict = fake.call(write("a/x", b"2", 0))
    assert conflict.outcome == Outcome.CONFLICT
    assert conflict.objects[0].version == first
    third = fake.call(write("a/x", b"2", first)).version
    assert fake.call(write("a/x", None, third)).outcome == Outcome.WRITTEN
    assert fake.call(read("a/x")).outcome == Outcome.ABSENT
    scan = fake.call(stores.Scan(call="c", prefix=""))
    assert [each.path for each in scan.objects] == ["b/x"]
    changes = fake.call(watch(first))
    assert [(o.path, o.value) for o in changes.objects] == [
        ("b/x", b"1"),
        ("a/x", None),
    ]
    assert changes.version == fake.revision
    assert fake.call(write("a/x", b"3", 0)).outcome == Outcome.WRITTEN
    assert fake.call(watch(first, "b/")).objects[0].path == "b/x"


def test_calls_refused_for_outage_size_or_rate_have_no_effect():
    clock = ManualClock()
    fake = fake_objects.FakeObjects(clock=clock)
    fake.down = True
    assert fake.call(write("a", b"1", 0)).outcome == Outcome.DOWN
    fake.down = False
    fake.max_value_bytes = 4
    assert fake.call(write("a", b"12345", 0)).outcome == Outcome.DOWN
    fake.set_rate_limits(writes_per_second=2, reads_per_second=1)
    outcomes = [fake.call(write(f"{n}", b"", 0)).outcome for n in range(3)]
    assert outcomes == [Outcome.WRITTEN, Outcome.WRITTEN, Outcome.DOWN]
    assert fake.call(read("0")).outcome == Outcome.FOUND
    assert fake.call(watch(0)).outcome == Outcome.DOWN
    clock.now += 1
    assert fake.call(write("2", b"", 0)).outcome == Outcome.WRITTEN
    assert set(fake.objects) == {"0", "1", "2"}
    assert fake.counts == {"writes": 6, "reads": 1, "scans": 0, "watches": 1}


def test_watch_can_lose_entries():
    """A watch omits a change.

    Its answer has the newest version, although the watcher has never received
    one of the objects.
    """
    fake = fake_objects.FakeObjects()
    fake.call(write("a", b"1", 0))
    fake.call(write("b", b"1", 0))
    fake.drop_watch_entries = 1
    answer = fake.call(watch(0))
    assert [each.path for each in answer.objects] == ["b"]
    assert answer.version == 2
    assert len(fake.call(watch(0)).objects) == 2


@pytest.fixture
def store():
    fake = fake_objects.FakeObjects()
    server = fake_servers.FakeObjectServer(
        objects=fake, vm_list=fake_vms.FakeVmList()
    )
    server.start()
    client = objects.ObjectClient(url=server.url, timeout=5)
    client.start()
    yield fake, client, server
    client.close()
    server.close()


def test_write_whose_answer_is_lost_takes_effect(store):
    """The store's answer is lost after the write took effect.

    The connection closes without an answer, and the write id of the object
    read back shows that the write took effect. A lost request fails in the
    same way, and the write id shows that it did not.
    """
    fake, client, _ = store
    fake.lose_answers = 1
    answer = client.call(write("a/b", b"1", 0, "mine"))
    assert answer.outcome == Outcome.LOST
    stored = client.call(read("a/b")).objects[0]
    assert (stored.value, stored.write_id) == (b"1", "mine")
    again = client.call(write("a/b", b"1", 0, "mine"))
    assert again.outcome == Outcome.CONFLICT
    fake.lose_requests = 1
    lost = client.call(write("a/b", b"2", stored.version, "other"))
    assert lost.outcome == Outcome.LOST
    assert client.call(read("a/b")).objects[0].write_id == "mine"


def test_waiting_watch_counts_once_and_ends_with_the_change(store):
    fake, client, _ = store
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(client.call(watch(0, "a/", 30)))
    )
    thread.start()
    client.call(write("b/x", b"1", 0))
    client.call(write("a/x", None, 0))
    thread.join(10)
    assert [each.path for each in answers[0].objects] == ["a/x"]
    assert fake.counts["watches"] == 1
    assert client.call(watch(fake.revision, "a/", 0.01)).objects == []


def test_store_outage_over_http(store):
    fake, client, _ = store
    fake.down = True
    assert client.call(write("a", b"1", 0)).outcome == Outcome.DOWN
    assert client.call(watch(0, "", 30)).outcome == Outcome.DOWN


def test_slow_store_makes_writes_lost_and_reads_down(store):
    """The store is slower than the client's timeout.

    The write takes effect after its caller timed out, so the outcome must not
    be that it had no effect.
    """
    fake, _, server = store
    fake.latency = 0.3
    client = objects.ObjectClient(url=server.url, timeout=0.05)
    client.start()
    assert client.call(write("a", b"1", 0)).outcome == Outcome.LOST
    assert client.call(read("a")).outcome == Outcome.DOWN
    client.close()


def test_refused_connection_means_no_effect():
    client = objects.ObjectClient(url=raw_servers.closed_url())
    client.start()
    assert client.call(write("a", b"1", 0)).outcome == Outcome.DOWN
    assert client.call(read("a")).outcome == Outcome.DOWN
    client.close()


MISMATCHED_ANSWER = wires.encode(
    stores.StoreAnswer(call="other", outcome=Outcome.WRITTEN)
)


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        raw_servers.http_reply(b'{"call"', length=100),
        raw_servers.http_reply(b"{}", status=500),
        raw_servers.http_reply(b"garbage"),
        raw_servers.http_reply(MISMATCHED_ANSWER),
    ],
)
def test_invalid_answer_leaves_the_outcome_of_a_write_unknown(reply):
    """The response does not show whether the call took effect.

    It is truncated, malformed, a server error or the answer to another call:
    the write may have taken effect, and a read has to be repeated.
    """
    with raw_servers.raw_server(reply) as url:
        client = objects.ObjectClient(url=url)
        client.start()
        assert client.call(write("a", b"1", 0)).outcome == Outcome.LOST
        assert client.call(read("a")).outcome == Outcome.DOWN
        client.close()


def test_the_answer_to_an_earlier_call_costs_one_call_only():
    """Guards against a connection on which every answer is late by one."""

    def answer(request):
        path, data = fake_http.path_of(request), fake_http.read_body(request)
        call = wires.decode_call(path, data)
        body = wires.encode(
            stores.StoreAnswer(call=call.call, outcome=Outcome.ABSENT)
        )
        request.conn.wfile.write(getattr(request.conn, "late_response", b""))
        request.conn.late_response = fake_http.encode_response(200, [], body)
        fake_http.send_response(request, body)

    server = fake_http.HttpServer(
        handle=answer, host="127.0.0.1", port=0, threads=2
    )
    server.start()
    client = objects.ObjectClient(url=server.url)
    client.start()
    found = [
        client.call(stores.Read(call=f"c{number}", path="a")).outcome
        for number in range(3)
    ]
    client.close()
    server.close()
    assert found == [Outcome.ABSENT, Outcome.DOWN, Outcome.ABSENT]


def vm(name):
    return vms.Vm(name=name, address="10.0.0.1", data_centre="north")


def test_list_of_vms_lags():
    clock = ManualClock()
    fake = fake_vms.FakeVmList(lag=5, clock=clock)
    fake.put(vm("vm1"))
    clock.now = 4.0
    fake.mark_leaving("vm1")
    assert fake.lagged_list() == []
    clock.now = 5.0
    assert fake.lagged_list()[0].state == vms.VmState.LIVE
    fake.remove("vm1")
    clock.now = 9.0
    assert fake.lagged_list()[0].state == vms.VmState.LEAVING
    clock.now = 10.0
    assert fake.lagged_list() == []


def test_list_of_vms_over_http(store):
    _, _, server = store
    server.vm_list.put(vm("vm1"))
    client = vms.VmListClient(url=server.url)
    client.start()
    assert client.read().unwrap() == [vm("vm1")]
    server.vm_list.down = True
    assert client.read().failure().code.name == "PLATFORM_DOWN"
    client.close()
