"""Tests of the load reports between routers."""

import pytest

from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import heartbeat_rings
from pimentoledge.routing import load_reports
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import rosters

PARTS = [("manual", 4000), ("own", 900)]


class Network:
    """Routers that are all connected, with a record of their messages.

    Attributes:
        routers: load reports of each router, by mailbox.
        sent: sender and receiver of each message.
        now: the time.
    """

    def __init__(self, count, data_centres=2):
        self.routers = {}
        self.sent = []
        self.now = 10.0
        names = {f"tcp://r{n}": f"d{n % data_centres}" for n in range(count)}
        for name, data_centre in names.items():
            view = cluster_views.ClusterView(
                name=name, data_centre=data_centre, started_at=0.0
            )
            view.configuration = self.configuration()
            for server, where in (("h", "d0"), ("t", "d1")):
                view.servers.put(
                    registrations.Registration(
                        server=server,
                        service="s",
                        address=f"{server}:80",
                        data_centre=where,
                        slots=8,
                        leaving=False,
                        weights={"m": 1},
                    )
                )
            roster = rosters.Roster(own=name, data_centre=data_centre)
            for other, where in names.items():
                if other != name:
                    roster.known[other] = rosters.Peer(
                        last_heard_at=10.0, alive_at=10.0, data_centre=where
                    )
            self.routers[name] = load_reports.LoadReports(
                view=view,
                roster=roster,
                send_all=self.sender(name),
            )

    @staticmethod
    def configuration():
        service = configurations.Service(
            name="s",
            max_connections=0,
            models=("m",),
            slots=8,
            cache_tokens=100_000,
            cache_address=None,
            data_centre=None,
        )
        return configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=[service],
            limits=configurations.ClientLimits(),
        )

    def sender(self, sender):
        def send_all(addresses, message):
            for address in addresses:
                self.sent.append((sender, address))
                self.routers[address].receive(sender, message, self.now)

        return send_all

    def server(self, router, name="h"):
        return self.routers[router].view.servers.by_server[name]

    def tick(self, seconds=0.1):
        self.now += seconds
        for each in self.routers.values():
            for peer in each.roster.known.values():
                peer.last_heard_at = peer.alive_at = max(
                    peer.last_heard_at, self.now
                )
            each.tick(self.now)

    def data_centre_of(self, router):
        return self.routers[router].view.data_centre


@pytest.fixture
def many():
    return Network(30)


def test_a_router_knows_the_load_that_its_neighbours_cause(many):
    """Guards against prompts that queue while other runners are idle.

    With 68 routers, the load that each knows of a runner is nine seconds old
    without reports. All then take a runner for idle to which the others have
    just sent prompts, and a third of the prompts queue.
    """
    sender = many.server("tcp://r0")
    sender.open, sender.unbegun, sender.unread_tokens = 2, 1, 9000
    many.tick()
    for name in many.routers:
        near = many.data_centre_of(name) == "d0" and name != "tcp://r0"
        backend = many.server(name)
        assert backend.estimated_requests(10.0) == (
            2 if near or name == "tcp://r0" else 0
        )
        assert backend.outstanding() == (
            9000 if near or name == "tcp://r0" else 0
        )


def test_ended_requests_no_longer_count(many):
    sender = many.server("tcp://r0")
    sender.open, sender.unbegun, sender.unread_tokens = 1, 1, 9000
    many.tick()
    sender.open, sender.unbegun, sender.unread_tokens = 0, 0, 0
    many.tick()
    assert many.server("tcp://r2").estimated_requests(10.0) == 0
    assert many.server("tcp://r2").outstanding() == 0


def test_the_load_of_an_absent_router_is_removed(many):
    """Otherwise the runners of a dead router would count as busy for ever."""
    sender = many.server("tcp://r0")
    sender.open, sender.unread_tokens = 5, 20000
    many.tick()
    receiver = many.routers["tcp://r2"]
    assert many.server("tcp://r2").estimated_requests(10.0) == 5
    receiver.roster.known["tcp://r0"].last_heard_at = -100.0
    receiver.tick(many.now + 1.0)
    assert many.server("tcp://r2").estimated_requests(10.0) == 0


def test_load_that_a_server_reported_is_forwarded_once(many):
    sender = many.server("tcp://r0")
    sender.update_load(
        request_types.ServerLoad(running=3, waiting=2, slots=8), many.now
    )
    many.tick(load_reports.REPEAT_SECONDS)
    receiver = many.server("tcp://r2")
    assert receiver.load == request_types.ServerLoad(
        running=3, waiting=2, slots=8
    )
    assert receiver.load_at == pytest.approx(10.0, abs=0.01)
    assert not receiver.load_first_hand


def test_an_older_load_does_not_replace_a_newer_one(many):
    newer = many.server("tcp://r2")
    older = many.server("tcp://r0")
    older.update_load(
        request_types.ServerLoad(running=1, waiting=0, slots=8), many.now
    )
    newer.update_load(
        request_types.ServerLoad(running=7, waiting=0, slots=8), many.now + 0.1
    )
    many.tick(load_reports.REPEAT_SECONDS)
    assert newer.load.running == 7


def test_all_routers_learn_which_runner_has_cached_a_part(many):
    """Guards against a shared part that many runners prefill.

    If each router knows the cached parts of its own requests only, six runners
    prefill the same manual within ten seconds.
    """
    sender = many.routers["tcp://r0"]
    sender.view.prompts_sent.append(
        peer_messages.PromptReport(server="t", namespace="1", parts=PARTS)
    )
    many.tick()
    many.tick()
    parts = (request_types.Part(name="manual", tokens=4000),)
    for name in many.routers:
        if name != "tcp://r0":
            backend = many.server(name, "t")
            assert backend.cached_tokens("1", parts) == 4000, name


def test_a_prompt_is_reported_to_another_data_centre_once(many):
    """Traffic between data centres is expensive."""
    sender = many.routers["tcp://r0"]
    sender.view.prompts_sent.append(
        peer_messages.PromptReport(server="t", namespace="1", parts=PARTS)
    )
    sender.tick(many.now + 0.1)
    far = [
        address
        for source, address in many.sent
        if many.data_centre_of(source) != many.data_centre_of(address)
    ]
    assert len(far) == 1


def test_a_data_centre_receives_the_mean_load_of_another(many):
    for name in many.routers:
        if many.data_centre_of(name) == "d1":
            busy = many.server(name, "t")
            busy.open, busy.unbegun, busy.unread_tokens = 1, 1, 3000
    many.tick(load_reports.REPEAT_SECONDS)
    many.tick(load_reports.REPEAT_SECONDS)
    for name in many.routers:
        if many.data_centre_of(name) == "d0":
            mean = many.routers[name].view.remote_means["d1"]
            assert mean.busy >= 10
            assert mean.unread >= 30000
    assert "d0" not in many.routers["tcp://r0"].view.remote_means


def test_the_mean_load_of_an_unreachable_data_centre_expires(many):
    many.tick(load_reports.REPEAT_SECONDS)
    many.tick(load_reports.REPEAT_SECONDS)
    alone = many.routers["tcp://r0"]
    assert alone.view.remote_means
    alone.tick(many.now + load_reports.MEAN_EXPIRY_SECONDS + 1.0)
    assert not alone.view.remote_means


def test_a_router_without_a_configuration_accepts_reports(many):
    """Guards against reports that a router loses after its start.

    It may have servers from a peer before it has a configuration. If a prompt
    in a report then raises an error, the report's load is lost too.
    """
    started = many.routers["tcp://r2"]
    started.view.configuration = None
    sender = many.routers["tcp://r0"]
    sender.view.prompts_sent.append(
        peer_messages.PromptReport(server="h", namespace="1", parts=PARTS)
    )
    many.server("tcp://r0").open = 2
    many.tick()
    assert many.server("tcp://r2").estimated_requests(10.0) == 2


def test_a_small_fleet_reports_to_all_routers():
    few = Network(heartbeat_rings.ALL_TO_ALL)
    sender = few.server("tcp://r0")
    sender.open, sender.unread_tokens = 2, 9000
    few.tick()
    for name in few.routers:
        assert few.server(name).estimated_requests(10.0) == 2


def test_the_number_of_receivers_is_independent_of_the_fleet_size():
    large = Network(200)
    sender = large.server("tcp://r0")
    sender.open, sender.unread_tokens = 2, 9000
    large.routers["tcp://r0"].tick(large.now + 0.1)
    near = [a for _, a in large.sent if large.data_centre_of(a) == "d0"]
    assert len(near) == load_reports.MAX_RECEIVERS


def test_small_changes_of_load_are_reported_at_intervals_only(many):
    """At once, each change would cost a message to each of 13 routers."""
    many.tick(load_reports.REPEAT_SECONDS)
    many.sent.clear()
    sender = many.server("tcp://r0")
    sender.open, sender.unread_tokens = 1, 600
    many.routers["tcp://r0"].tick(many.now + 0.1)
    assert not [each for each in many.sent if each[0] == "tcp://r0"]
    many.routers["tcp://r0"].tick(many.now + load_reports.REPEAT_SECONDS)
    assert [each for each in many.sent if each[0] == "tcp://r0"]
