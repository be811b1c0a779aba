"""What routers tell each other of the work that servers have."""

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


class Net:
    """Routers that hear each other, with what was sent.

    Attributes:
        routers: by mailbox.
        sent: how many messages, by sender and receiver.
        now: the time.
    """

    def __init__(self, count, places=2):
        self.routers = {}
        self.sent = []
        self.now = 10.0
        names = {f"tcp://r{n}": f"d{n % places}" for n in range(count)}
        for name, place in names.items():
            view = cluster_views.ClusterView(
                name=name, data_centre=place, born=0.0
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
            roster = rosters.Roster(own=name, data_centre=place)
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

    def place(self, router):
        return self.routers[router].view.data_centre


@pytest.fixture
def many():
    return Net(30)


def test_a_router_knows_what_its_neighbours_have_sent(many):
    """A third of the prompts queued behind others while runners stood idle.

    Of 68 routers each had heard a runner's load nine seconds ago, so all of
    them took for idle what the others had just filled.
    """
    sender = many.server("tcp://r0")
    sender.open, sender.unbegun, sender.reading = 2, 1, 9000
    many.tick()
    for name in many.routers:
        near = many.place(name) == "d0" and name != "tcp://r0"
        found = many.server(name)
        assert found.estimated_requests(10.0) == (
            2 if near or name == "tcp://r0" else 0
        )
        assert found.outstanding() == (
            9000 if near or name == "tcp://r0" else 0
        )


def test_what_has_ended_counts_no_more(many):
    sender = many.server("tcp://r0")
    sender.open, sender.unbegun, sender.reading = 1, 1, 9000
    many.tick()
    sender.open, sender.unbegun, sender.reading = 0, 0, 0
    many.tick()
    assert many.server("tcp://r2").estimated_requests(10.0) == 0
    assert many.server("tcp://r2").outstanding() == 0


def test_what_a_router_had_is_forgotten_when_it_falls_silent(many):
    """A router that died would have kept its runners busy for ever."""
    sender = many.server("tcp://r0")
    sender.open, sender.reading = 5, 20000
    many.tick()
    receiver = many.routers["tcp://r2"]
    assert many.server("tcp://r2").estimated_requests(10.0) == 5
    receiver.roster.known["tcp://r0"].last_heard_at = -100.0
    receiver.tick(many.now + 1.0)
    assert many.server("tcp://r2").estimated_requests(10.0) == 0


def test_what_a_server_said_is_passed_on_once(many):
    told = many.server("tcp://r0")
    told.update_load(
        request_types.ServerLoad(running=3, waiting=2, slots=8), many.now
    )
    many.tick(load_reports.REPEAT_SECONDS)
    heard = many.server("tcp://r2")
    assert heard.load == request_types.ServerLoad(running=3, waiting=2, slots=8)
    assert heard.load_at == pytest.approx(10.0, abs=0.01)
    assert not heard.load_first_hand


def test_an_older_word_does_not_go_before_a_newer_one(many):
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


def test_all_routers_learn_which_runner_keeps_a_part(many):
    """A manual was read by six runners in ten seconds.

    Each router knew only of its own requests which runner keeps what.
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
            found = many.server(name, "t")
            assert found.cached_tokens("1", parts) == 4000, name


def test_a_prompt_goes_to_another_data_centre_once(many):
    """Bytes between data centres are dear."""
    sender = many.routers["tcp://r0"]
    sender.view.prompts_sent.append(
        peer_messages.PromptReport(server="t", namespace="1", parts=PARTS)
    )
    sender.tick(many.now + 0.1)
    far = [
        address
        for source, address in many.sent
        if many.place(source) != many.place(address)
    ]
    assert len(far) == 1


def test_a_data_centre_is_told_what_runners_elsewhere_have(many):
    for name in many.routers:
        if many.place(name) == "d1":
            busy = many.server(name, "t")
            busy.open, busy.unbegun, busy.reading = 1, 1, 3000
    many.tick(load_reports.REPEAT_SECONDS)
    many.tick(load_reports.REPEAT_SECONDS)
    for name in many.routers:
        if many.place(name) == "d0":
            mean = many.routers[name].view.elsewhere["d1"]
            assert mean.busy >= 10
            assert mean.unread >= 30000
    assert "d0" not in many.routers["tcp://r0"].view.elsewhere


def test_what_was_told_of_a_data_centre_that_is_cut_off_is_forgotten(many):
    many.tick(load_reports.REPEAT_SECONDS)
    many.tick(load_reports.REPEAT_SECONDS)
    alone = many.routers["tcp://r0"]
    assert alone.view.elsewhere
    alone.tick(many.now + load_reports.MEAN_EXPIRY_SECONDS + 1.0)
    assert not alone.view.elsewhere


def test_a_router_without_a_configuration_takes_reports(many):
    """A router that had just started lost what the others told it.

    It knew servers from another router and no configuration yet; each report
    that named a prompt ended in an error, and what it told of load with it.
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


def test_few_routers_tell_each_other_everything():
    few = Net(heartbeat_rings.ALL_TO_ALL)
    sender = few.server("tcp://r0")
    sender.open, sender.reading = 2, 9000
    few.tick()
    for name in few.routers:
        assert few.server(name).estimated_requests(10.0) == 2


def test_a_report_goes_to_so_many_whatever_the_size_of_the_fleet():
    large = Net(200)
    sender = large.server("tcp://r0")
    sender.open, sender.reading = 2, 9000
    large.routers["tcp://r0"].tick(large.now + 0.1)
    near = [a for _, a in large.sent if large.place(a) == "d0"]
    assert len(near) == load_reports.MAX_RECEIVERS


def test_short_answers_that_come_and_go_are_told_only_now_and_then(many):
    """Each change told at once would be a message to each of thirteen."""
    many.tick(load_reports.REPEAT_SECONDS)
    many.sent.clear()
    sender = many.server("tcp://r0")
    sender.open, sender.reading = 1, 600
    many.routers["tcp://r0"].tick(many.now + 0.1)
    assert not [each for each in many.sent if each[0] == "tcp://r0"]
    many.routers["tcp://r0"].tick(many.now + load_reports.REPEAT_SECONDS)
    assert [each for each in many.sent if each[0] == "tcp://r0"]
