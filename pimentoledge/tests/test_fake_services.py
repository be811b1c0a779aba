"""Tests of the fake plain service, its server and the service client."""

import pytest

from pimentoledge import fake_http
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
def service_and_client():
    service = fake_services.FakeService()
    server = fake_services.ServiceServer(service=service)
    server.start()
    client = clients.ServiceClient(url=server.url)
    client.start()
    yield service, server, client
    client.close()
    server.close()


def test_call_is_forwarded_unchanged(service_and_client):
    service, _, client = service_and_client
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


def test_a_response_to_an_earlier_call_is_not_taken():
    """Guards against a service that answers again where a response is due."""

    def answer(request):
        body = fake_http.read_body(request)
        request.conn.wfile.write(getattr(request.conn, "late_response", b""))
        request.conn.late_response = fake_http.encode_response(200, [], body)
        fake_http.send_response(request, body)

    server = fake_http.HttpServer(
        handle=answer, host="127.0.0.1", port=0, threads=2
    )
    server.start()
    client = clients.ServiceClient(url=server.url)
    client.start()
    bodies = [b"first", b"second", b"third"]
    found = [client.run(create_action(body=body)).body for body in bodies]
    client.close()
    server.close()
    assert found == bodies


def test_lost_request_and_lost_response_are_both_unknown(service_and_client):
    """Guards against retrying a call that may have run.

    The client gets no response, once after the service ran the call and once
    without. It can't distinguish these, so both outcomes are unknown and it
    retries neither.
    """
    service, _, client = service_and_client
    service.lose_answers = 1
    assert client.run(create_action()).ran == "outcome_unknown"
    assert service.runs_by_key["k"] == 1
    service.lose_requests = 1
    assert client.run(create_action()).ran == "outcome_unknown"
    assert service.runs_by_key["k"] == 1


def test_outcomes_around_a_crash(service_and_client):
    """A call crashes the service, and its port closes only later.

    The crashing call ran. While the port is open the outcome of a call is
    unknown; once the port is closed the call certainly did not run.
    """
    service, server, client = service_and_client
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


def test_timeout_leaves_the_outcome_unknown(service_and_client):
    service, _, client = service_and_client
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
    """Guards against a slow response that occupies a thread forever.

    The service sends a byte now and then, so that no single read exceeds the
    timeout. The call must end at its deadline with an unknown outcome.
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
def test_unencodable_header_is_not_run(service_and_client, value):
    """Guards against a caller that gets no response to an invalid header.

    The header contains a line break or a character outside Latin-1, for which
    the HTTP library raises ValueError instead of its own error class.
    """
    service, _, client = service_and_client
    broken = client.run(create_action(headers=[("X-Shop", value)]))
    assert broken.ran == "not_run"
    assert service.calls == []
