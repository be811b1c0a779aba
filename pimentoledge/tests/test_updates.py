"""Operators' updates through races, lost answers and outages."""

import json

import hypothesis
from hypothesis import strategies

from pimentoledge.decisions import actions
from pimentoledge.decisions import administration
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import events
from pimentoledge.decisions import stores
from pimentoledge.tests import network

KEY = "cd" * 32
PATH = "declared/contracts/acme"
Outcome = stores.Outcome


class Desk:
    """One entry's administration, with the calls that it waits for."""

    def __init__(self, store, number=1):
        view = configuration.Configuration()
        name = f"entry-{number}"
        distributor = distribution.Distributor(
            name=name,
            address=f"tcp://10.0.0.{number}:7000",
            data_centre="north",
            seed=number,
            view=view,
            seeds=[],
        )
        self.core = administration.Administration(
            name=name,
            seed=number,
            view=view,
            distributor=distributor,
            first_key=KEY,
        )
        self.store = store
        self.now = 100.0
        self.calls = []
        self.replies = {}

    def take(self, todo):
        for action in todo:
            match action:
                case actions.CallStore(call=call):
                    self.calls.append(call)
                case actions.ReplyOperator():
                    assert action.request not in self.replies
                    self.replies[action.request] = action

    def ask(self, request, method="GET", *, body=None, **fields):
        fields = {"kind": "contracts", "name": "acme", **fields}
        event = events.OperatorRequest(
            request=request,
            key_digest=fields.pop("key_digest", KEY),
            method=method,
            body=json.dumps(body or {}).encode(),
            **fields,
        )
        self.take(self.core.handle(event, self.now))

    def answer(self, outcome=None):
        """Lets the store answer the oldest call, or gives it an outcome."""
        call = self.calls.pop(0)
        answer = stores.StoreAnswer(call=call.call, outcome=outcome)
        if outcome is None:
            answer = self.store.call(call)
        self.take(self.core.handle(answer, self.now))
        return call

    def settle(self, request):
        """Answers every call until the request has its reply."""
        for _ in range(100):
            if request in self.replies:
                return self.replies[request]
            if self.calls:
                self.answer()
            else:
                self.now = self.core.next_wake()
                self.take(self.core.wake(self.now))
        raise AssertionError("no reply")

    def until_write(self):
        """Answers calls up to the write of the contract itself."""
        while not self.writes_contract():
            self.answer()

    def writes_contract(self):
        call = self.calls[0]
        return isinstance(call, stores.Write) and call.path == PATH


def code(reply):
    return reply.fields["error"]["number"]


def created(**fields):
    desk = Desk(network.Store())
    desk.ask("made", "PUT", expected=0, body={"burst": 1, **fields})
    assert desk.settle("made").status == 201
    return desk


def test_create_change_read_list_and_history():
    desk = created(keys=["a-key-of-acme-01"])
    digest = declarations.key_digest("a-key-of-acme-01")
    assert desk.core.configuration.contract_by_key(digest)
    assert "a-key-of-acme-01" not in str(desk.store.objects)
    desk.ask("patch", "PATCH", expected=1, body={"burst": 2, "share": None})
    patched = desk.settle("patch")
    assert patched.fields["burst"] == 2
    assert patched.fields["key_digests"] == [digest]
    desk.ask("get")
    assert desk.settle("get").fields["version"] == patched.version
    assert desk.replies["get"].fields["changed"]["by"] == "first-operator"
    desk.ask("list", name="")
    assert desk.settle("list").fields["items"][0]["burst"] == 2
    desk.ask("delete", "DELETE", expected=patched.version)
    assert desk.settle("delete").status == 200
    assert len(desk.core.configuration.contracts) == 0
    desk.ask("history", history=True)
    former = desk.settle("history").fields["former"]
    assert [each["burst"] for each in former] == [2, 1]


def test_race_has_one_winner_and_one_conflict():
    """An operator's change is gone without a word.

    Two operators read the same version through two entries; the later write
    replaced the earlier one.
    """
    first = created()
    second = Desk(first.store, 2)
    first.ask("one", "PUT", expected=1, body={"burst": 11})
    second.ask("two", "PUT", expected=1, body={"burst": 22})
    first.until_write()
    second.until_write()
    assert first.settle("one").status == 200
    lost = second.settle("two")
    assert lost.status == 412 and code(lost) == 6002
    assert lost.fields["error"]["current"]["burst"] == 11


def test_dry_run_writes_nothing():
    desk = created()
    before = dict(desk.store.objects)
    desk.ask("dry", "PATCH", expected=1, body={"burst": 5}, dry_run=True)
    assert desk.settle("dry").fields["burst"] == 5
    assert desk.store.objects == before
    desk.ask("bad", "PATCH", expected=1, body={"burst": -5}, dry_run=True)
    assert desk.settle("bad").fields["error"]["param"] == "burst"


def test_refusals_name_the_field_or_the_reason():
    desk = created(keys=["a-key-of-acme-01"])
    bodies = {
        "burst": {"burst": "many"},
        "models[1]": {"models": ["m", 3]},
        "limits": {"limits": 3},
        "organisation": {"organisation": "other"},
        "keys[0]": {"keys": ["short"]},
    }
    for param, body in bodies.items():
        desk.ask(param, "PUT", expected=1, body=body)
        reply = desk.settle(param)
        assert code(reply) == 6001
        assert reply.fields["error"]["param"] == param
    other = {"keys": ["a-key-of-acme-01"]}
    desk.ask("taken", "PUT", name="other", expected=0, body=other)
    error = desk.settle("taken").fields["error"]
    assert error["param"] == "key_digests[0]"
    desk.ask("blind", "PUT", body={})
    assert code(desk.settle("blind")) == 6007
    desk.ask("who", key_digest="00")
    assert code(desk.settle("who")) == 6004
    desk.ask("gone", "PATCH", name="nobody", expected=7)
    assert code(desk.settle("gone")) == 6006


def test_roles():
    desk = created()
    operator = declarations.Operator(
        name="ana", role=declarations.Role.EDITOR, key_digests=["ee" * 32]
    )
    body = {"role": "editor", "key_digests": operator.key_digests}
    desk.ask("op", "PUT", kind="operators", name="ana", expected=0, body=body)
    desk.settle("op")
    ana = {"key_digest": "ee" * 32}
    desk.ask("edit", "PATCH", expected=1, body={"burst": 3}, **ana)
    assert desk.settle("edit").status == 200
    desk.ask("op2", "DELETE", kind="operators", name="ana", expected=2, **ana)
    assert code(desk.settle("op2")) == 6005


def test_store_down_is_not_accepted_and_reads_go_on():
    desk = created()
    desk.store.down = True
    desk.ask("put", "PUT", expected=1, body={"burst": 9})
    reply = desk.settle("put")
    assert code(reply) == 6003
    assert reply.fields["error"]["outcome"] == "not_run"
    desk.ask("get")
    assert desk.settle("get").known
    assert desk.replies["get"].fields["burst"] == 1


def test_lost_answer_of_a_write_that_took_effect():
    """An operator is told "not accepted", and the change is in force."""
    desk = created()
    desk.ask("put", "PUT", expected=1, body={"burst": 9})
    desk.until_write()
    desk.store.call(desk.calls[0])
    desk.answer(Outcome.LOST)
    assert desk.settle("put").fields["burst"] == 9


def test_lost_answer_and_then_overwritten_by_another():
    """An operator is told of a conflict, though the change was in force.

    The answer was lost; before it was read back another operator, who had
    seen the change, replaced it.
    """
    desk = created()
    other = Desk(desk.store, 2)
    desk.ask("put", "PUT", expected=1, body={"burst": 9})
    desk.until_write()
    accepted = desk.store.call(desk.calls[0]).version
    desk.answer(Outcome.LOST)
    other.ask("next", "PUT", expected=accepted, body={"burst": 10})
    assert other.settle("next").status == 200
    reply = desk.settle("put")
    assert reply.status == 200 and reply.version == accepted
    assert desk.core.configuration.version == accepted


def test_lost_write_that_arrives_late():
    """The change comes into force after "not accepted" was answered.

    The write was held up on its way; reading back showed the object as it
    was before.
    """
    desk = created()
    desk.ask("put", "PUT", expected=1, body={"burst": 9})
    desk.until_write()
    late = desk.calls[0]
    desk.answer(Outcome.LOST)
    assert desk.settle("put").status == 200
    version = desk.store.objects[PATH].version
    assert desk.store.call(late).outcome is Outcome.CONFLICT
    assert desk.store.objects[PATH].version == version


def test_answer_lost_and_store_down_is_said_to_be_unknown():
    desk = created()
    desk.ask("put", "PUT", expected=1, body={"burst": 9})
    desk.until_write()
    desk.answer(Outcome.LOST)
    desk.store.down = True
    reply = desk.settle("put")
    assert code(reply) == 6008
    assert reply.fields["error"]["outcome"] == "outcome_unknown"


FATES = strategies.sampled_from(
    ["done", "done", "done", "lost", "vanished", "late", "down"]
)
MOVES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 1),
        strategies.sampled_from(["ask", "serve", "serve", "serve", "late"]),
        FATES,
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(MOVES)
def test_every_answer_is_true_of_the_store(moves):
    """An accepted change is missing, or a refused one is in force."""
    store = network.Store()
    desks = [Desk(store, 1), Desk(store, 2)]
    taken, late, asked = [], [], 0

    def effective(call):
        answer = store.call(call)
        if answer.outcome is Outcome.WRITTEN and call.path == PATH:
            taken.append(json.loads(call.value)["burst"])
        return answer

    def serve(desk, fate):
        call = desk.calls.pop(0)
        write = isinstance(call, stores.Write)
        answer = stores.StoreAnswer(call=call.call, outcome=Outcome.DOWN)
        if fate == "done" or not write and fate != "down":
            answer = effective(call)
        elif fate != "down":
            answer.outcome = Outcome.LOST
            if fate == "lost":
                effective(call)
            elif fate == "late":
                late.append(call)
        desk.take(desk.core.handle(answer, desk.now))

    for number, move, fate in moves:
        desk = desks[number]
        if move == "ask":
            asked += 1
            current = store.objects.get(PATH)
            expected = current.version if current else 0
            body = {"burst": asked}
            desk.ask(str(asked), "PUT", expected=expected, body=body)
        elif move == "late" and late:
            effective(late.pop(0))
        elif desk.calls:
            serve(desk, fate)
        elif desk.core.next_wake() is not None:
            desk.now = desk.core.next_wake()
            desk.take(desk.core.wake(desk.now))
    for desk in desks:
        while desk.calls or desk.core.next_wake() is not None:
            if desk.calls:
                serve(desk, "done")
            else:
                desk.now = desk.core.next_wake()
                desk.take(desk.core.wake(desk.now))
    for call in late:
        effective(call)
    replies = {**desks[0].replies, **desks[1].replies}
    assert len(replies) == asked
    assert len(taken) == len(set(taken))
    for request, reply in replies.items():
        if reply.status < 300:
            assert int(request) in taken
        elif reply.fields["error"]["outcome"] == "not_run":
            assert int(request) not in taken
    desks[0].ask("history", history=True)
    former = desks[0].settle("history").fields["former"]
    assert [each["burst"] for each in reversed(former)] == taken[:-1][-20:]
