"""The plain service's fake, server and client."""

import pytest

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.nodes import messages
from pimentoledge.services import clients
from pimentoledge.services import fake_services
from pimentoledge.tests import raw_servers


def create_action(*, seconds=5.0, key="k", body=b"wheel", headers=()):
    call = messages.ServiceCall(
        service="s",
        method="POST",
        path="cards/new",
        query="shop=1",
        headers=list(headers),
        body=body,
    )
    return actions.RunCall(
        request="r",
        attempt=1,
        call=call,
        seconds=seconds,
        key=key,
        trace="00-trace",
    )


@pytest.fixture
def pair():
    service = fake_services.FakeService()
    server = fake_services.ServiceServer(service=service)
    server.start()
    client = clients.ServiceClient(url=server.url)
    client.start()
    yield service, server, client
    client.close()
    server.close()


def test_call_is_forwarded_unchanged(pair):
    service, _, client = pair
    service.status = 503
    headers = [
        ("X-Shop", "1"),
        ("Connection", "x"),
        ("Idempotency-Key", "forged"),
    ]
    done = client.run(create_action(headers=headers))
    assert isinstance(done, events.ServiceDone)
    assert (done.status, done.body) == (503, b"run 1 of wheel")
    assert ("X-Run", "1") in done.headers
    (call,) = service.calls
    assert (call.method, call.path, call.query) == (
        "POST",
        "/cards/new",
        "shop=1",
    )
    assert call.headers["x-shop"] == "1"
    assert call.headers["idempotency-key"] == "k"
    assert call.headers["traceparent"] == "00-trace"
    assert call.headers.get("connection") != "x"
    assert service.runs_by_key == {"k": 1}
    assert service.runs_by_body == {fake_services.body_digest(b"wheel"): 1}


def test_lost_request_and_lost_response_are_both_unknown(pair):
    """A job card is sent, and no answer comes.

    Once the service ran it and once it did not; the client can't tell, so
    both are unknown, and it sends neither again by itself.
    """
    service, _, client = pair
    service.lose_answers = 1
    assert client.run(create_action()).ran == "outcome_unknown"
    assert service.runs_by_key["k"] == 1
    service.lose_requests = 1
    assert client.run(create_action()).ran == "outcome_unknown"
    assert service.runs_by_key["k"] == 1


def test_outcomes_around_a_crash(pair):
    """A call crashes the service, and its port closes only later.

    The crashing call ran. While the port is still open nothing is certain;
    with the port closed the call certainly did not run.
    """
    service, server, client = pair
    service.crash_on = b"bad"
    assert client.run(create_action(body=b"bad")).ran == "outcome_unknown"
    assert (service.crashes, service.runs_by_key["k"]) == (1, 1)
    assert client.run(create_action()).ran == "outcome_unknown"
    server.close()
    assert client.run(create_action()).ran == "not_run"
    service.down = False
    server.start()
    assert client.run(create_action()).status == 200
    assert service.runs_by_key["k"] == 2


def test_timeout_leaves_the_outcome_unknown(pair):
    service, _, client = pair
    service.latency = 0.3
    assert client.run(create_action(seconds=0.05)).ran == "outcome_unknown"


@pytest.mark.parametrize(
    "reply", [b"", raw_servers.http_reply(b"half", length=9)]
)
def test_truncated_response_is_not_accepted(reply):
    with raw_servers.raw_server(reply) as url:
        client = clients.ServiceClient(url=url)
        client.start()
        assert client.run(create_action()).ran == "outcome_unknown"
        client.close()


def test_trickling_response_ends_at_the_deadline():
    """A sick service sends a byte now and then, and never stops.

    No single wait exceeds the timeout, so the call would hold its thread for
    ever; it ends by the clock, and may have run.
    """
    reply = raw_servers.http_reply(b"x" * 100_000)
    with raw_servers.raw_server(reply, pause=0.002) as url:
        client = clients.ServiceClient(url=url)
        client.start()
        broken = client.run(create_action(seconds=0.3))
        assert (broken.ran, "in time" in broken.text) == (
            "outcome_unknown",
            True,
        )
        client.close()


@pytest.mark.parametrize("value", ["a\nb: c", "\u20ac"])
def test_unencodable_header_is_not_run(pair, value):
    """A caller's header holds a line break or a letter beyond Latin-1.

    The HTTP library raises an error of its own kind; unnoticed, it would
    leave the caller without any answer.
    """
    service, _, client = pair
    broken = client.run(create_action(headers=[("X-Shop", value)]))
    assert broken.ran == "not_run"
    assert service.calls == []
