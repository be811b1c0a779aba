"""Stateful fuzzing of admission against a state for each request."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.decisions import admission
from pimentoledge.nodes import messages
from pimentoledge.tests import test_admission

SLOTS = 3
RESERVE = 1
FINGERPRINTS = [b"a", b"b", b"c"]
COMPLETION = messages.Completion(model="m", prompt="p", max_tokens=9)


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Tracks the expected state of each request and checks each change."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.states = {}
        self.sent = {}
        self.admitting = admission.Admission(
            server="r1", slots=SLOTS, reserve=RESERVE, queue_limit=4
        )

    def names_in(self, *states):
        return sorted(k for k, v in self.states.items() if v in states)

    def collect(self):
        for refused in self.admitting.expired(self.now):
            self.record_refused(refused)
        for each in self.admitting.ready(self.now):
            name = each.dispatch.request
            assert self.states[name] == ("paused" if each.resumed else "queued")
            self.states[name] = "running"

    def record_refused(self, refused):
        name = refused.dispatch.request
        before = "paused" if refused.started else "queued"
        assert self.states[name] == before
        self.states[name] = "ended"

    @stateful.rule(
        count=strategies.integers(1, 4),
        organisation=strategies.sampled_from("xyz"),
        batch=strategies.booleans(),
        seconds=strategies.sampled_from([600.0, 600.0, 600.0, 20.0, 1.0]),
        pausable=strategies.sampled_from([True, True, True, False]),
    )
    def offer_some(self, count, organisation, batch, seconds, pausable):
        for _ in range(count):
            self.offer(organisation, batch, b"", 0, seconds, pausable)

    @stateful.rule(
        fingerprint=strategies.sampled_from(FINGERPRINTS),
        crashes=strategies.sampled_from([0, 1, 2]),
    )
    def offer_suspect(self, fingerprint, crashes):
        self.offer("x", False, fingerprint, crashes, 600.0)

    def offer(
        self,
        organisation,
        batch,
        fingerprint,
        crashes,
        seconds,
        pausable=True,
    ):
        name = f"q{len(self.states)}"
        sent = test_admission.dispatch(
            name,
            organisation,
            priority="batch" if batch else "interactive",
            fingerprint=fingerprint,
            crashes=crashes,
            seconds_left=seconds,
            completion=COMPLETION if pausable else None,
        )
        self.sent[name] = sent
        aged = {k[0] for k, v in self.admitting.running.items() if v.aged}
        match test_admission.offer(self.admitting, sent, self.now):
            case admission.Admit(pause=pause):
                self.states[name] = "running"
                for request, _ in pause:
                    assert self.states[request] == "running"
                    assert self.sent[request].priority == "batch"
                    assert self.sent[request].completion is not None
                    assert request not in aged
                    self.states[request] = "pausing"
            case admission.Queue():
                self.states[name] = "queued"
            case admission.Refuse(code=code):
                self.states[name] = "ended"
                assert code in (
                    results.Code.SUSPECT_BUSY,
                    results.Code.POISON,
                    results.Code.OVERLOADED,
                    results.Code.DEADLINE_UNMEETABLE,
                )
        self.collect()

    @stateful.rule(data=strategies.data(), finished=strategies.booleans())
    def end(self, data, finished):
        holding = self.names_in("running", "pausing")
        if holding:
            name = data.draw(strategies.sampled_from(holding))
            self.states[name] = "ended"
            self.admitting.ended(
                name, 1, self.now, finished=finished, tokens=50
            )
            self.collect()

    @stateful.rule()
    def pauses_take_effect(self):
        for name in self.names_in("pausing"):
            self.states[name] = "paused"
            self.admitting.paused(name, 1, self.now)
        self.collect()

    @stateful.rule(data=strategies.data())
    def cancel(self, data):
        waiting = self.names_in("queued", "paused")
        if waiting:
            name = data.draw(strategies.sampled_from(waiting))
            assert self.admitting.cancel(name, 1)
            self.states[name] = "ended"

    @stateful.rule(seconds=strategies.sampled_from([0.5, 12.0, 30.0]))
    def wait(self, seconds):
        self.now += seconds
        self.collect()

    @stateful.rule()
    def die(self):
        unrun = {each.request for each in self.admitting.clear()}
        assert sorted(unrun) == self.names_in("queued")
        for name in self.names_in("queued", "running", "pausing", "paused"):
            self.states[name] = "ended"

    @stateful.invariant()
    def nothing_is_lost_or_twice(self):
        running = sorted(name for name, _ in self.admitting.running)
        assert running == self.names_in("running", "pausing")
        assert self.admitting.queued == len(self.names_in("queued", "paused"))

    @stateful.invariant()
    def slots_hold(self):
        assert len(self.names_in("running")) <= SLOTS
        running = self.admitting.running.values()
        held = [each for each in running if each.batch and not each.pausing]
        aged = [each for each in held if each.aged]
        assert len(aged) <= self.admitting.aged_slots
        fixed = [
            each
            for each in held
            if not each.aged and each.item.dispatch.completion is None
        ]
        assert len(fixed) <= SLOTS - RESERVE

    @stateful.invariant()
    def interactive_waits_only_for_interactive_and_aged(self):
        queued = [self.sent[name] for name in self.names_in("queued")]
        if any(each.priority == "interactive" for each in queued):
            young = [
                each
                for each in self.admitting.running.values()
                if each.batch
                and not each.aged
                and not each.pausing
                and each.item.dispatch.completion is not None
            ]
            assert not young
            assert len(self.names_in("running")) == SLOTS

    @stateful.invariant()
    def suspects_stay_apart(self):
        here = [
            self.sent[name]
            for name in self.names_in("running", "pausing", "queued", "paused")
        ]
        assert sum(each.crashes > 0 for each in here) <= 1

    @stateful.invariant()
    def wakes_in_time(self):
        if self.names_in("queued", "paused"):
            assert self.admitting.next_wake() is not None


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = hypothesis.settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
