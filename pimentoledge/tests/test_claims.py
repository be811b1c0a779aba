"""Tests of claims: at most one run per idempotency key, correct refusals.

Each call to the fake store stays in a list until the test completes it.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import claim_records
from pimentoledge.decisions import claim_shards
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import claims
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.stores import fake_objects

DONE = stores.Outcome.WRITTEN
DOWN = stores.Outcome.DOWN
LOST = stores.Outcome.LOST
OUTCOME_SECONDS = 3600.0
AGENT_INDEX = strategies.integers(0, 1)


def _dispatch(request: str, key: str, **fields) -> messages.Dispatch:
    call = messages.ServiceCall(
        service="orders", method="POST", path="/", body=fields.pop("body", b"")
    )
    fields.setdefault("seconds_left", 30.0)
    return messages.Dispatch(
        request=request,
        attempt=1,
        organisation="acme",
        priority="interactive",
        server="s",
        key=key,
        call=call,
        **fields,
    )


class Agent:
    """Test driver for one life of an agent; collects calls and verdicts."""

    def __init__(self, life: str, store: fake_objects.FakeObjects, **limits):
        self.store = store
        self.claims = claims.Claims(
            agent="s",
            life=life,
            seed=1,
            limits=claim_shards.ClaimBounds(**limits),
        )
        self.calls: list[stores.Read | stores.Write] = []
        self.verdicts: dict[str, list[claim_verdicts.Verdict]] = {}
        self.released: list[str] = []

    def apply_outputs(self, outputs: list[claims.Output]) -> None:
        for output in outputs:
            match output:
                case actions.CallStore():
                    self.calls.append(output.call)
                case claim_verdicts.Released():
                    self.released.append(output.request)
                case _:
                    self.verdicts.setdefault(output.request, []).append(output)

    def claim(self, request: str, key: str, now: float = 0.0, **fields):
        dispatch = _dispatch(request, key, **fields)
        self.apply_outputs(
            self.claims.claim(
                dispatch,
                serves="orders",
                outcome_seconds=OUTCOME_SECONDS,
                now=now,
            )
        )

    def next_call(self, now: float, outcome=DONE, effect: bool = True):
        """Completes the oldest store call, which may or may not take effect."""
        call = self.calls.pop(0)
        answer = self.store.call(call) if effect else None
        if outcome in (DOWN, LOST):
            answer = stores.StoreAnswer(call=call.call, outcome=outcome)
        self.apply_outputs(self.claims.answer(answer, now))
        return call

    def settle(self, now: float) -> float:
        """Runs until no call or wake-up is pending; returns the time."""
        while True:
            while self.calls:
                self.next_call(now)
            wake = self.claims.next_wake()
            if wake is None:
                return now
            now = max(now, wake)
            self.apply_outputs(self.claims.tick(now))

    def finish(self, request: str, now: float, body: bytes = b"done"):
        answer = claim_records.StoredAnswer(
            status=201, headers=[("x", "y")], body=body
        )
        self.apply_outputs(
            self.claims.finished(request, answer=answer, now=now)
        )

    def verdict(self, request: str) -> claim_verdicts.Verdict:
        (only,) = self.verdicts[request]
        return only


def _key_in_same_shard(key: str) -> str:
    """Returns another key that hashes to the same shard."""
    shard = claim_records.shard_of("acme", key)
    keys = (f"{key}{number}" for number in range(10000))
    return next(k for k in keys if claim_records.shard_of("acme", k) == shard)


def _denied(agent: Agent, request: str) -> tuple[results.Code, results.Ran]:
    verdict = agent.verdict(request)
    assert isinstance(verdict, claim_verdicts.Denied), verdict
    return verdict.code, verdict.ran


def test_retry_at_another_agent_gets_the_first_answer():
    """A client retries through another agent after the call ran.

    The second agent must return the stored answer and not run the call
    again. A retry with a different body is refused.
    """
    store = fake_objects.FakeObjects()
    first, second = Agent("life-1", store), Agent("life-2", store)
    first.claim("r1", "k")
    first.settle(0.0)
    assert isinstance(first.verdict("r1"), claim_verdicts.Granted)
    first.claim("r2", "k", 1.0)
    unknown = results.Ran.UNKNOWN
    assert _denied(first, "r2") == (results.Code.CLAIM_RUNNING, unknown)
    second.claim("r3", "k", 1.0)
    second.settle(1.0)
    assert _denied(second, "r3") == (results.Code.OUTCOME_UNKNOWN, unknown)
    first.finish("r1", 2.0)
    first.settle(2.0)
    assert first.claims.held() == 0
    second.claim("r4", "k", 3.0)
    second.settle(3.0)
    replay = second.verdict("r4")
    assert (replay.status, replay.body) == (201, b"done")
    assert replay.headers == [("x", "y")]
    second.claim("r5", "k", 4.0, body=b"other")
    reused = (results.Code.KEY_REUSED, results.Ran.NOT_RUN)
    assert _denied(second, "r5") == reused


def test_a_lost_answer_is_read_back_before_anything_else():
    """The store writes the claim, and its answer is lost.

    If the agent wrote again or refused the call without reading the record
    back, the key would stay claimed although no agent treats it as its own.
    The record that is read back grants the call.
    """
    agent = Agent("life-1", fake_objects.FakeObjects())
    agent.claim("r1", "k")
    agent.next_call(0.0)
    agent.next_call(0.0, LOST)
    agent.apply_outputs(agent.claims.tick(1.0))
    assert isinstance(agent.next_call(1.0), stores.Read)
    assert isinstance(agent.verdict("r1"), claim_verdicts.Granted)


def test_refused_claim_never_runs_if_its_write_lands_late():
    """A claim is refused as "not run" in an outage; its write lands later.

    The record then holds this life, which has abandoned the claim. It must
    remove the record, so that a retry at another agent can run.
    """
    store = fake_objects.FakeObjects()
    agent = Agent("life-1", store)
    agent.claim("r1", "k")
    agent.next_call(0.0)
    late = agent.calls[0]
    agent.next_call(0.0, LOST, effect=False)
    agent.apply_outputs(agent.claims.tick(1.0))
    agent.next_call(1.0, DOWN, effect=False)
    agent.apply_outputs(agent.claims.tick(2.5))
    down = (results.Code.CLAIM_STORE_DOWN, results.Ran.NOT_RUN)
    assert _denied(agent, "r1") == down
    agent.claim("r3", _key_in_same_shard("k"), 2.6)
    store.call(late)
    now = agent.settle(2.6)
    assert agent.claims.held() == 1
    other = Agent("life-2", store)
    other.claim("r2", "k", now)
    other.settle(now)
    assert isinstance(other.verdict("r2"), claim_verdicts.Granted)
    assert len(agent.verdicts["r1"]) == 1


def test_uncertain_write_is_superseded_before_its_claim_is_dropped():
    """A lost write has not landed when the object is read back.

    If the abandoned claim were dropped at that point, the late write would
    block the key for a day. Another write on the same version makes the late
    write conflict.
    """
    store = fake_objects.FakeObjects()
    agent = Agent("life-1", store, outage_wait=0.5)
    agent.claim("r1", "k")
    agent.next_call(0.0)
    late = agent.calls[0]
    agent.next_call(0.0, LOST, effect=False)
    agent.apply_outputs(agent.claims.tick(1.0))
    assert _denied(agent, "r1")[1] == results.Ran.NOT_RUN
    agent.settle(1.0)
    assert agent.claims.held() == 0
    assert store.call(late).outcome == stores.Outcome.CONFLICT


def test_a_key_being_freed_is_not_granted_from_its_old_record():
    """A client retries while the record of its refused call is removed.

    A grant based on the old record would run the call without a durable
    record. Another agent that finds no record would run it a second time.
    """
    store = fake_objects.FakeObjects()
    agent, other = Agent("life-1", store), Agent("life-2", store)
    agent.claim("r1", "k")
    agent.next_call(0.0)
    agent.next_call(0.0)
    agent.apply_outputs(agent.claims.failed("r1", results.Ran.NOT_RUN, 0.0))
    agent.apply_outputs(agent.claims.tick(1.0))
    agent.claim("r2", "k", 1.0)
    assert "r2" not in agent.verdicts
    agent.next_call(1.0)
    other.claim("r3", "k", 1.0)
    other.settle(1.0)
    agent.settle(1.1)
    assert isinstance(other.verdict("r3"), claim_verdicts.Granted)
    unknown = results.Ran.UNKNOWN
    assert _denied(agent, "r2") == (results.Code.OUTCOME_UNKNOWN, unknown)


def test_a_grant_after_the_deadline_is_a_refusal():
    """The agent is paused during its write and resumes after the deadline.

    The entry may have answered the client by then, so the call must not
    start.
    """
    agent = Agent("life-1", fake_objects.FakeObjects())
    agent.claim("r1", "k", seconds_left=5.0)
    agent.next_call(0.0)
    agent.next_call(60.0)
    late = (results.Code.DEADLINE_UNMEETABLE, results.Ran.NOT_RUN)
    assert _denied(agent, "r1") == late
    agent.settle(60.0)
    assert agent.claims.held() == 0


def test_many_claims_go_into_one_write():
    """Claims that arrive while a store call is in flight share one write."""
    agent = Agent("life-1", fake_objects.FakeObjects())
    for number in range(400):
        agent.claim(f"r{number}", f"k{number}")
    shards = len(agent.calls)
    writes = 0
    while agent.calls:
        writes += isinstance(agent.next_call(0.0), stores.Write)
    assert writes == shards <= claim_records.SHARDS
    granted = [each[0] for each in agent.verdicts.values()]
    assert all(isinstance(each, claim_verdicts.Granted) for each in granted)
    assert len(granted) == 400


def test_outage_refuses_at_once_after_its_first_seconds():
    """Clients are not kept waiting in a store outage of minutes.

    A claim in the first seconds waits. Later claims are refused at once
    during the backoff, and one of them retries the store after it.
    """
    agent = Agent("life-1", fake_objects.FakeObjects())
    agent.claim("r0", "k")
    now = 0.0
    while "r0" not in agent.verdicts:
        agent.next_call(now, DOWN, effect=False)
        now = agent.claims.next_wake() or now
        agent.apply_outputs(agent.claims.tick(now))
    assert now >= 2.0
    agent.claim("r1", "k", now)
    down = (results.Code.CLAIM_STORE_DOWN, results.Ran.NOT_RUN)
    assert _denied(agent, "r1") == down
    agent.claim("r2", "k", now + 2.0)
    agent.settle(now + 2.0)
    assert isinstance(agent.verdict("r2"), claim_verdicts.Granted)


def test_full_shard_refuses_and_drops_nothing_early():
    """A new key is refused when the object is full; none is dropped early.

    Records expire only by the age that the writers measured: first the kept
    answers are removed, then the keys.
    """
    store = fake_objects.FakeObjects()
    limits = {"object_bytes": 200, "key_seconds": 7200.0}
    agent = Agent("life-1", store, **limits)
    keys = [f"k{n}" for n in range(2000)]
    shard = claim_records.shard_of("acme", "k0")
    keys = [k for k in keys if claim_records.shard_of("acme", k) == shard]
    for number, key in enumerate(keys[:6]):
        agent.claim(f"r{number}", key)
        agent.settle(0.0)
        if isinstance(agent.verdict(f"r{number}"), claim_verdicts.Granted):
            agent.finish(f"r{number}", 0.0)
            agent.settle(0.0)
    full = (results.Code.CLAIMS_FULL, results.Ran.NOT_RUN)
    assert _denied(agent, "r5") == full
    again = Agent("life-2", store, **limits)
    again.claim("again", keys[0], 1e9)
    again.settle(1e9)
    assert again.verdict("again").body == b"done"
    agent.claim("later", keys[5], 20000.0)
    agent.settle(20000.0)
    agent.claim("last", keys[5], 40000.0)
    agent.settle(40000.0)
    assert isinstance(agent.verdict("last"), claim_verdicts.Granted)


def test_large_answer_is_recorded_but_not_kept():
    """A retry of a call with a large answer learns only that it ran."""
    agent = Agent("life-1", fake_objects.FakeObjects())
    agent.claim("r1", "k")
    agent.settle(0.0)
    agent.finish("r1", 1.0, body=bytes(5000))
    kept = (results.Code.ANSWER_NOT_KEPT, results.Ran.RAN)
    agent.claim("r2", "k", 1.0)
    assert _denied(agent, "r2") == kept
    agent.settle(2.0)
    agent.claim("r3", "k", 3.0)
    assert _denied(agent, "r3") == kept


def test_invalid_object_refuses_claims():
    """Claims are refused if the object is invalid; it is not overwritten."""
    store = fake_objects.FakeObjects()
    agent = Agent("life-1", store)
    path = claim_records.path_of("orders", claim_records.shard_of("acme", "k"))
    store.objects[path] = stores.Object(path=path, version=1, value=b"\xc1")
    agent.claim("r1", "k")
    agent.settle(0.0)
    down = (results.Code.CLAIM_STORE_DOWN, results.Ran.NOT_RUN)
    assert _denied(agent, "r1") == down
    assert store.objects[path].value == b"\xc1"


def test_entries_agree_on_the_owner():
    """Entries choose the same agent; only a leaving server's keys move."""
    servers = [
        declarations.BackendServer(name=f"s{n}", serves="orders", agent="")
        for n in range(4)
    ]
    shards = range(claim_records.SHARDS)
    before = [claim_records.owner("orders", n, servers).name for n in shards]
    backwards = servers[::-1]
    again = [claim_records.owner("orders", n, backwards).name for n in shards]
    assert before == again
    servers[0].state = declarations.ServerState.LEAVING
    after = [claim_records.owner("orders", n, servers).name for n in shards]
    moved = {a for a, b in zip(before, after, strict=True) if a != b}
    assert moved <= {"s0"}
    assert "s0" not in after
    assert claim_records.owner("other", 0, servers) is None


class AtMostOneRun(stateful.RuleBasedStateMachine):
    """Random sequences of faults with two agents, a store and a service.

    Lost answers, late writes, outages, kills, pauses and concurrent owners
    occur in any order. The runs that the service counts are compared with
    the verdicts of the agents.
    """

    def __init__(self):
        super().__init__()
        self.store = fake_objects.FakeObjects()
        self.now = 0.0
        self.lives = 0
        self.requests = 0
        self.agents = [self.new_agent(), self.new_agent()]
        self.late: list[stores.Write] = []
        self.runs: dict[str, list[bytes]] = {}
        self.started: set[str] = set()
        self.key_of: dict[str, str] = {}
        self.checked: dict[str, claim_verdicts.Verdict] = {}
        self.waiting: list[tuple[Agent, str]] = []
        self.running: list[tuple[Agent, str]] = []

    def new_agent(self) -> Agent:
        self.lives += 1
        return Agent(f"life-{self.lives}", self.store)

    def check_verdicts(self) -> None:
        """Checks new verdicts against the runs counted by the service."""
        for agent in self.agents:
            for request, (verdict, *more) in agent.verdicts.items():
                assert not more, (verdict, more)
                if request not in self.checked:
                    self.checked[request] = verdict
                    self.check_verdict(agent, request, verdict)

    def check_verdict(self, agent: Agent, request: str, verdict) -> None:
        runs = self.runs.get(self.key_of[request], [])
        match verdict:
            case claim_verdicts.Granted():
                self.waiting.append((agent, request))
            case claim_verdicts.Replay():
                assert runs == [verdict.body]
            case claim_verdicts.Denied(ran=results.Ran.RAN):
                assert len(runs) == 1

    @stateful.rule(
        who=AGENT_INDEX, key=strategies.sampled_from(["a", "a", "b"])
    )
    def claim(self, who, key):
        self.requests += 1
        request = f"r{self.requests}"
        self.key_of[request] = key
        self.agents[who].claim(request, key, self.now, seconds_left=10.0)

    @stateful.rule(who=AGENT_INDEX)
    def store_works(self, who):
        while self.agents[who].calls:
            self.agents[who].next_call(self.now)

    @stateful.rule(
        who=AGENT_INDEX,
        fate=strategies.sampled_from([DONE, DOWN, LOST, "late", "late"]),
        effect=strategies.booleans(),
    )
    def store_answers(self, who, fate, effect):
        agent = self.agents[who]
        if not agent.calls:
            return
        if fate == "late" and isinstance(agent.calls[0], stores.Write):
            self.late.append(agent.calls[0])
            agent.next_call(self.now, LOST, effect=False)
        elif fate in (DONE, "late"):
            agent.next_call(self.now)
        else:
            agent.next_call(self.now, fate, effect and fate == LOST)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def late_write_lands(self):
        self.store.call(self.late.pop(0))

    @stateful.rule(
        seconds=strategies.sampled_from([0.1, 0.5, 0.5, 1.0, 15.0]),
        awake=strategies.sampled_from([(0, 1), (0, 1), (0,), (1,)]),
    )
    def time_passes(self, seconds, awake):
        self.now += seconds
        for who in awake:
            self.agents[who].apply_outputs(
                self.agents[who].claims.tick(self.now)
            )

    @stateful.rule(who=AGENT_INDEX)
    def killed(self, who):
        dead = self.agents[who]
        self.late += [c for c in dead.calls if isinstance(c, stores.Write)]
        self.agents[who] = self.new_agent()
        self.waiting = [each for each in self.waiting if each[0] is not dead]
        self.running = [each for each in self.running if each[0] is not dead]

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(reached=strategies.sampled_from([True, True, False]))
    def starts(self, reached):
        agent, request = self.waiting.pop(0)
        if not reached:
            agent.apply_outputs(
                agent.claims.failed(request, results.Ran.NOT_RUN, self.now)
            )
            return
        self.started.add(request)
        key = self.key_of[request]
        body = f"answer to {request}".encode()
        self.runs.setdefault(key, []).append(body)
        self.running.append((agent, request))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(answered=strategies.booleans())
    def ends(self, answered):
        agent, request = self.running.pop(0)
        if answered:
            body = f"answer to {request}".encode()
            agent.finish(request, self.now, body)
        else:
            agent.apply_outputs(
                agent.claims.failed(request, results.Ran.UNKNOWN, self.now)
            )

    @stateful.invariant()
    def at_most_one_run(self):
        self.check_verdicts()
        for runs in self.runs.values():
            assert len(runs) <= 1, runs

    @stateful.invariant()
    def not_run_is_true(self):
        for request in self.started:
            verdict = self.checked[request]
            assert isinstance(verdict, claim_verdicts.Granted)

    def teardown(self):
        for agent in self.agents:
            self.now = agent.settle(self.now)
        self.check_verdicts()
        for agent in self.agents:
            answered_requests = [r for r in self.key_of if r in agent.verdicts]
            assert all(len(agent.verdicts[r]) == 1 for r in answered_requests)
            for claim in _claims_of(agent):
                assert claim.phase == claim_shards.Phase.RUNNING


def _claims_of(agent: Agent) -> list[claim_shards.Claim]:
    shards = agent.claims.shards.values()
    return [claim for shard in shards for claim in shard.unsettled.values()]


AtMostOneRun.TestCase.settings = hypothesis.settings(
    max_examples=250,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestAtMostOneRun = AtMostOneRun.TestCase
