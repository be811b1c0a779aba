"""Tests of operators' updates with races, lost answers and outages."""

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


class AdminHarness:
    """One entry's administration and its outstanding store calls."""

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

    def perform(self, todo):
        for action in todo:
            match action:
                case actions.CallStore(call=call):
                    self.calls.append(call)
                case actions.ReplyOperator():
                    assert action.request not in self.replies
                    self.replies[action.request] = action

    def submit(self, request, method="GET", *, body=None, **fields):
        fields = {"kind": "contracts", "name": "acme", **fields}
        event = events.OperatorRequest(
            request=request,
            key_digest=fields.pop("key_digest", KEY),
            method=method,
            body=json.dumps(body or {}).encode(),
            **fields,
        )
        self.perform(self.core.handle(event, self.now))

    def answer(self, outcome=None):
        """Answers the oldest call from the store, or with a given outcome."""
        call = self.calls.pop(0)
        answer = stores.StoreAnswer(call=call.call, outcome=outcome)
        if outcome is None:
            answer = self.store.call(call)
        self.perform(self.core.handle(answer, self.now))
        return call

    def wait_for_reply(self, request):
        """Answers calls until the request has its reply, and returns that."""
        for _ in range(100):
            if request in self.replies:
                return self.replies[request]
            if self.calls:
                self.answer()
            else:
                self.now = self.core.next_wake()
                self.perform(self.core.wake(self.now))
        raise AssertionError("no reply")

    def until_write(self):
        """Answers calls until the write of the contract is next."""
        while not self.writes_contract():
            self.answer()

    def writes_contract(self):
        call = self.calls[0]
        return isinstance(call, stores.Write) and call.path == PATH


def code(reply):
    return reply.fields["error"]["number"]


def created(**fields):
    harness = AdminHarness(network.LossyStore())
    harness.submit("made", "PUT", expected=0, body={"burst": 1, **fields})
    assert harness.wait_for_reply("made").status == 201
    return harness


def test_create_change_read_list_and_history():
    harness = created(keys=["a-key-of-acme-01"])
    digest = declarations.key_digest("a-key-of-acme-01")
    assert harness.core.configuration.contract_by_key(digest)
    assert "a-key-of-acme-01" not in str(harness.store.objects)
    harness.submit(
        "patch", "PATCH", expected=1, body={"burst": 2, "share": None}
    )
    patched = harness.wait_for_reply("patch")
    assert patched.fields["burst"] == 2
    assert patched.fields["key_digests"] == [digest]
    harness.submit("get")
    assert harness.wait_for_reply("get").fields["version"] == patched.version
    assert harness.replies["get"].fields["changed"]["by"] == "first-operator"
    harness.submit("list", name="")
    assert harness.wait_for_reply("list").fields["items"][0]["burst"] == 2
    harness.submit("delete", "DELETE", expected=patched.version)
    assert harness.wait_for_reply("delete").status == 200
    assert len(harness.core.configuration.contracts) == 0
    harness.submit("history", history=True)
    former = harness.wait_for_reply("history").fields["former"]
    assert [each["burst"] for each in former] == [2, 1]


def test_race_has_one_winner_and_one_conflict():
    """An operator's change is overwritten without a conflict.

    Two operators read the same version through two entries, and the later
    write replaces the earlier one.
    """
    first = created()
    second = AdminHarness(first.store, 2)
    first.submit("one", "PUT", expected=1, body={"burst": 11})
    second.submit("two", "PUT", expected=1, body={"burst": 22})
    first.until_write()
    second.until_write()
    assert first.wait_for_reply("one").status == 200
    lost = second.wait_for_reply("two")
    assert lost.status == 412 and code(lost) == 6002
    assert lost.fields["error"]["current"]["burst"] == 11


def test_dry_run_writes_nothing():
    harness = created()
    before = dict(harness.store.objects)
    harness.submit("dry", "PATCH", expected=1, body={"burst": 5}, dry_run=True)
    assert harness.wait_for_reply("dry").fields["burst"] == 5
    assert harness.store.objects == before
    harness.submit("bad", "PATCH", expected=1, body={"burst": -5}, dry_run=True)
    assert harness.wait_for_reply("bad").fields["error"]["param"] == "burst"


def test_refusals_have_the_field_or_the_reason():
    harness = created(keys=["a-key-of-acme-01"])
    bodies = {
        "burst": {"burst": "many"},
        "models[1]": {"models": ["m", 3]},
        "limits": {"limits": 3},
        "organisation": {"organisation": "other"},
        "keys[0]": {"keys": ["short"]},
    }
    for param, body in bodies.items():
        harness.submit(param, "PUT", expected=1, body=body)
        reply = harness.wait_for_reply(param)
        assert code(reply) == 6001
        assert reply.fields["error"]["param"] == param
    other = {"keys": ["a-key-of-acme-01"]}
    harness.submit("taken", "PUT", name="other", expected=0, body=other)
    error = harness.wait_for_reply("taken").fields["error"]
    assert error["param"] == "key_digests[0]"
    harness.submit("blind", "PUT", body={})
    assert code(harness.wait_for_reply("blind")) == 6007
    harness.submit("who", key_digest="00")
    assert code(harness.wait_for_reply("who")) == 6004
    harness.submit("gone", "PATCH", name="nobody", expected=7)
    assert code(harness.wait_for_reply("gone")) == 6006


def test_roles():
    harness = created()
    operator = declarations.Operator(
        name="ana", role=declarations.Role.EDITOR, key_digests=["ee" * 32]
    )
    body = {"role": "editor", "key_digests": operator.key_digests}
    harness.submit(
        "op", "PUT", kind="operators", name="ana", expected=0, body=body
    )
    harness.wait_for_reply("op")
    ana = {"key_digest": "ee" * 32}
    harness.submit("edit", "PATCH", expected=1, body={"burst": 3}, **ana)
    assert harness.wait_for_reply("edit").status == 200
    harness.submit(
        "op2", "DELETE", kind="operators", name="ana", expected=2, **ana
    )
    assert code(harness.wait_for_reply("op2")) == 6005


def test_store_down_is_not_accepted_and_reads_still_work():
    harness = created()
    harness.store.down = True
    harness.submit("put", "PUT", expected=1, body={"burst": 9})
    reply = harness.wait_for_reply("put")
    assert code(reply) == 6003
    assert reply.fields["error"]["outcome"] == "not_run"
    harness.submit("get")
    assert harness.wait_for_reply("get").known
    assert harness.replies["get"].fields["burst"] == 1


def test_lost_answer_of_a_write_that_took_effect():
    """An operator gets "not accepted" although the change is in force."""
    harness = created()
    harness.submit("put", "PUT", expected=1, body={"burst": 9})
    harness.until_write()
    harness.store.call(harness.calls[0])
    harness.answer(Outcome.LOST)
    assert harness.wait_for_reply("put").fields["burst"] == 9


def test_lost_answer_and_then_overwritten_by_another():
    """An operator gets a conflict although the change was in force.

    The answer was lost. Before the object was read back, another operator
    replaced it with an update based on this change.
    """
    harness = created()
    other = AdminHarness(harness.store, 2)
    harness.submit("put", "PUT", expected=1, body={"burst": 9})
    harness.until_write()
    accepted = harness.store.call(harness.calls[0]).version
    harness.answer(Outcome.LOST)
    other.submit("next", "PUT", expected=accepted, body={"burst": 10})
    assert other.wait_for_reply("next").status == 200
    reply = harness.wait_for_reply("put")
    assert reply.status == 200 and reply.version == accepted
    assert harness.core.configuration.version == accepted


def test_lost_write_that_arrives_late():
    """A change comes into force after "not accepted" was answered.

    The write was delayed, and reading back returned the unchanged object.
    """
    harness = created()
    harness.submit("put", "PUT", expected=1, body={"burst": 9})
    harness.until_write()
    late = harness.calls[0]
    harness.answer(Outcome.LOST)
    assert harness.wait_for_reply("put").status == 200
    version = harness.store.objects[PATH].version
    assert harness.store.call(late).outcome is Outcome.CONFLICT
    assert harness.store.objects[PATH].version == version


def test_answer_lost_and_store_down_is_outcome_unknown():
    harness = created()
    harness.submit("put", "PUT", expected=1, body={"burst": 9})
    harness.until_write()
    harness.answer(Outcome.LOST)
    harness.store.down = True
    reply = harness.wait_for_reply("put")
    assert code(reply) == 6008
    assert reply.fields["error"]["outcome"] == "outcome_unknown"


CALL_OUTCOMES = strategies.sampled_from(
    ["done", "done", "done", "lost", "vanished", "late", "down"]
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 1),
        strategies.sampled_from(["submit", "serve", "serve", "serve", "late"]),
        CALL_OUTCOMES,
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(STEPS)
def test_every_answer_matches_the_store(steps):
    """An accepted change is missing, or a refused one is in force.

    Two entries update one object while calls and answers are lost or late.
    """
    store = network.LossyStore()
    harnesses = [AdminHarness(store, 1), AdminHarness(store, 2)]
    written, late, submitted = [], [], 0

    def effective(call):
        answer = store.call(call)
        if answer.outcome is Outcome.WRITTEN and call.path == PATH:
            written.append(json.loads(call.value)["burst"])
        return answer

    def serve(harness, call_outcome):
        call = harness.calls.pop(0)
        write = isinstance(call, stores.Write)
        answer = stores.StoreAnswer(call=call.call, outcome=Outcome.DOWN)
        if call_outcome == "done" or not write and call_outcome != "down":
            answer = effective(call)
        elif call_outcome != "down":
            answer.outcome = Outcome.LOST
            if call_outcome == "lost":
                effective(call)
            elif call_outcome == "late":
                late.append(call)
        harness.perform(harness.core.handle(answer, harness.now))

    for number, step, call_outcome in steps:
        harness = harnesses[number]
        if step == "submit":
            submitted += 1
            current = store.objects.get(PATH)
            expected = current.version if current else 0
            body = {"burst": submitted}
            harness.submit(str(submitted), "PUT", expected=expected, body=body)
        elif step == "late" and late:
            effective(late.pop(0))
        elif harness.calls:
            serve(harness, call_outcome)
        elif harness.core.next_wake() is not None:
            harness.now = harness.core.next_wake()
            harness.perform(harness.core.wake(harness.now))
    for harness in harnesses:
        while harness.calls or harness.core.next_wake() is not None:
            if harness.calls:
                serve(harness, "done")
            else:
                harness.now = harness.core.next_wake()
                harness.perform(harness.core.wake(harness.now))
    for call in late:
        effective(call)
    replies = {**harnesses[0].replies, **harnesses[1].replies}
    assert len(replies) == submitted
    assert len(written) == len(set(written))
    for request, reply in replies.items():
        if reply.status < 300:
            assert int(request) in written
        elif reply.fields["error"]["outcome"] == "not_run":
            assert int(request) not in written
    harnesses[0].submit("history", history=True)
    former = harnesses[0].wait_for_reply("history").fields["former"]
    assert [each["burst"] for each in reversed(former)] == written[:-1][-20:]
