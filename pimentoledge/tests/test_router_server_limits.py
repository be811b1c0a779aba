"""Tests of the limits that servers advertise in their answers."""

import asyncio

import attrs
import pytest

from pimentoledge.platform import requests
from pimentoledge.routing import backends
from pimentoledge.routing import clocks
from pimentoledge.routing import http_messages
from pimentoledge.routing import server_limits
from pimentoledge.routing import server_permits
from pimentoledge.routing.quotas import ledgers
from pimentoledge.routing.quotas import limiters
from pimentoledge.routing.quotas import messages
from pimentoledge.tests import test_router_notices

answer = test_router_notices.answer
REGISTRATION = test_router_notices.REGISTRATION
SERVER = REGISTRATION.incarnation


def limited(per_second=1.0, **more):
    """Returns an answer in which a server advertises a limit."""
    return answer(limit=per_second, limit_text=str(per_second), **more)


def handler_and_server():
    """Returns a handler of answers and the server that sends them."""
    servers = backends.Backends()
    backend = servers.put(REGISTRATION)
    return test_router_notices.new_notices(servers), backend


@pytest.mark.parametrize(
    ("text", "limit"),
    [(b"1", 1.0), (b" 1.1 ", 1.1), (b"0", 0.0), (b"-1", None), (b"", None)],
)
def test_a_limit_is_a_decimal_number(text, limit):
    head = http_messages.ResponseHead(
        status=200,
        headers=[(b"server-limit", text)],
        keep_alive=True,
        ends_by_close=False,
    )
    assert requests.decode_response_head(head).limit == limit


def test_each_change_of_a_limit_is_logged():
    """Guards against limits in answers that no log line shows."""
    handler, backend = handler_and_server()
    written = []
    handler.lines.write = lambda message, **fields: written.append(
        (message, fields)
    )
    handler.apply(backend, limited(2.0), clocks.now())
    handler.apply(backend, limited(2.0), clocks.now())
    handler.apply(backend, limited(1.0), clocks.now())
    handler.apply(backend, answer(limit_text="many"), clocks.now())
    handler.apply(backend, answer(), clocks.now())
    assert [message for message, _ in written] == [
        "server_limit",
        "server_limit",
        "server_limit_unreadable",
        "server_limit",
    ]
    named = [fields.get("per_second") for _, fields in written]
    assert named == [2.0, 1.0, None, None]


def test_a_limit_ends_with_an_answer_without_one():
    handler, backend = handler_and_server()
    handler.apply(backend, limited(), clocks.now())
    assert handler.limits.get(SERVER) == 1.0
    handler.apply(backend, answer(), clocks.now())
    assert handler.limits.get(SERVER) is None


@pytest.mark.parametrize(
    "other",
    [
        pytest.param(answer(status=503, not_run=True), id="refusal"),
        pytest.param(answer(limit_text="?"), id="unreadable"),
    ],
)
def test_a_limit_is_not_ended_by(other):
    handler, backend = handler_and_server()
    handler.apply(backend, limited(), clocks.now())
    handler.apply(backend, other, clocks.now())
    assert handler.limits.get(SERVER) == 1.0


def test_a_report_without_a_limit_ends_none_and_one_with_it_counts():
    handler, _ = handler_and_server()
    handler.apply_reply(REGISTRATION, limited(2.0))
    handler.apply_reply(REGISTRATION, answer())
    assert handler.limits.get(SERVER) == 2.0


def test_an_overtaken_answer_only_lowers_a_limit():
    handler, backend = handler_and_server()
    before = clocks.now()
    handler.apply(backend, limited(2.0), before)
    handler.apply(backend, answer(), before)
    handler.apply(backend, limited(3.0), before)
    assert handler.limits.get(SERVER) == 2.0
    handler.apply(backend, limited(1.0), before)
    assert handler.limits.get(SERVER) == 1.0


def test_a_new_incarnation_has_no_limit():
    handler, backend = handler_and_server()
    handler.apply(backend, limited(), clocks.now())
    later = attrs.evolve(REGISTRATION, born=200)
    assert handler.limits.get(later.incarnation) is None


def test_a_limit_of_zero_permits_the_answer_that_ends_it():
    handler, backend = handler_and_server()
    handler.apply(backend, limited(0.0), clocks.now())
    assert handler.limits.get(SERVER) == server_limits.MIN_PER_SECOND


@pytest.mark.parametrize(
    ("share", "wait", "expected"),
    [
        (1.0, 8.0, 8.0),
        (1.0, 0.0, server_permits.MIN_WAIT_SECONDS),
        (1.0, None, 10.0),
        (0.7, 8.0, 8.0),
        (0.2, 8.0, server_permits.UNKNOWN_WAIT_SECONDS),
    ],
)
def test_a_server_is_avoided_for_the_wait_of_its_owner(share, wait, expected):
    """Guards against routers that request permits too early."""
    decision = ledgers.Decision(granted=False, wait_seconds=wait, share=share)
    answered = limiters.AcquireResult(decision=decision, owner="o")
    assert server_permits.wait_seconds(answered) == expected


def test_a_refusal_after_the_limit_ended_does_not_block_the_server():
    """Guards against a limit that is enforced after it has ended.

    The limit ends while a router waits for the owner's answer to an acquire.
    The answer is a refusal for the former limit, and its wait must not apply:
    otherwise requests are refused although no limit is known.
    """
    handler, backend = handler_and_server()
    handler.apply(backend, limited(), clocks.now())
    limiter = limiters.Limiter(
        own="r0",
        life=1,
        bounds=ledgers.QuotaBounds(),
        share=lambda now: 0.5,
        routers=lambda now: ["r1"],
        send=lambda to, message: None,
    )
    limiter.rights.target = lambda slot, now: "r1"
    permits = server_permits.Permits(
        limits=handler.limits, limiter=limiter, lines=handler.lines
    )

    async def end_limit_before_refusal():
        acquiring = asyncio.ensure_future(permits.acquire(backend))
        await asyncio.sleep(0)
        [number] = limiter.pending
        handler.apply(backend, answer(), clocks.now())
        refusal = messages.Acquired(
            number=number, granted=False, wait_ms=5000, left=0.0, share=1.0
        )
        limiter.handle("r1", refusal, clocks.now())
        await acquiring

    asyncio.run(end_limit_before_refusal())
    assert handler.limits.get(SERVER) is None
    assert backend.limited_until == 0.0


def test_the_wait_for_further_rights_is_bounded():
    """Guards against a server left unused after rights have returned."""
    ledger = ledgers.Ledger(bounds=ledgers.QuotaBounds())
    part = ledgers.RightsLease(share=0.5, until=1e9)
    for slot in ledger.slots:
        slot.put("r0", part, allowance=False, now=0.0)
    limit = ledgers.server_limit(0.2, 0.0)
    refused = ledger.acquire("s", limit, 1.0, 60.0)
    assert not refused.granted
    assert refused.wait_seconds == ledgers.SERVER_BOUNDS.rights_wait_seconds


class TestLimitsOfOtherRouters:
    """Limits that other routers have received."""

    def limits(self, per_second=1.0, received_at=10.0):
        found = server_limits.ServerLimits()
        found.merge(
            "s",
            server_limits.AdvertisedLimit(
                per_second=per_second, received_at=received_at
            ),
        )
        return found

    def test_a_later_limit_counts_and_an_earlier_one_does_not(self):
        limits = self.limits()
        earlier = server_limits.AdvertisedLimit(
            per_second=None, received_at=9.0
        )
        later = server_limits.AdvertisedLimit(per_second=None, received_at=11.0)
        assert not limits.merge("s", earlier)
        assert limits.get("s") == 1.0
        assert limits.merge("s", later)
        assert limits.get("s") is None

    def test_an_echoed_limit_is_not_a_change(self):
        limits = self.limits()
        echo = server_limits.AdvertisedLimit(per_second=1.0, received_at=10.01)
        assert not limits.merge("s", echo)
        assert limits.advertised["s"].received_at == 10.0

    def test_echoes_do_not_outlive_a_newer_limit(self):
        """Guards against a former limit that each echo makes newer."""
        transit = 0.2
        first, second = self.limits(), self.limits(received_at=10.0 + transit)
        for _ in range(10):
            for sender, receiver in ((first, second), (second, first)):
                told = sender.advertised["s"]
                receiver.merge(
                    "s",
                    attrs.evolve(told, received_at=told.received_at + transit),
                )
        newer = server_limits.AdvertisedLimit(per_second=5.0, received_at=11.0)
        assert first.merge("s", newer)
        assert first.get("s") == 5.0

    def test_the_end_of_an_unknown_limit_is_not_a_change(self):
        assert not self.limits(per_second=None).advertised

    def test_only_limits_of_declared_servers_are_kept(self):
        limits = self.limits()
        limits.expire({"s"}, 1000.0)
        assert limits.has_any()
        limits.expire(set(), 69.0)
        assert limits.has_any()
        limits.expire(set(), 71.0)
        assert not limits.has_any()
