"""Deliberate defects of the decisions, each with a scenario that reveals it.

A check that can't fail proves nothing. Each mutation removes a safeguard of one
of oracles.INVARIANTS. Its scenario passes without the mutation; with it, the
check of exactly that invariant must fail.
"""

from collections.abc import Callable
import random

import attrs

from pimentoledge import results
from pimentoledge.decisions import actions
from pimentoledge.decisions import admission
from pimentoledge.decisions import agents
from pimentoledge.decisions import claim_shards
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import claims
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import limits
from pimentoledge.decisions import permits
from pimentoledge.decisions import placement
from pimentoledge.decisions import quarantine
from pimentoledge.decisions import retries
from pimentoledge.decisions import runs
from pimentoledge.decisions import stores
from pimentoledge.decisions import streams
from pimentoledge.decisions import subscription
from pimentoledge.decisions import tickets as request_tickets
from pimentoledge.tests.fuzz import machines
from pimentoledge.tests.fuzz import oracles

ONE_RUNNER = {"entry_count": 1, "runners": 1, "services": 1}
PROMPT = machines.prompt_of(0, 0)


@attrs.frozen(kw_only=True)
class Mutation:
    """One deliberate defect.

    Attributes:
        name: description of the defect; also a test id.
        invariant: key of oracles.INVARIANTS that the defect violates.
        apply: function that introduces the defect, given pytest's monkeypatch.
        scenario: function that reveals the defect, given a Driver.
        sizes: arguments of the World.
    """

    name: str
    invariant: str
    apply: Callable
    scenario: Callable
    sizes: dict = attrs.field(factory=dict)


def override_dispatch(monkeypatch, **fields):
    """Replaces fields of a dispatch before admission checks it."""
    real = admission.Admission._find_mismatch

    def find_mismatch(self, dispatch, truth):
        return real(self, attrs.evolve(dispatch, **fields), truth)

    monkeypatch.setattr(admission.Admission, "_find_mismatch", find_mismatch)


def stale_dispatch(driver):
    """Sends a request before its entry learns of an engine's restart."""
    world = driver.world
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)
    engine = driver.agent(0).backend
    engine.crash(world.now)
    engine.restart(world.now)
    agent = driver.agent(0)
    world.give(agent, world.status(agent))
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)


def older_weights(driver):
    """Loads other weights by an order, while the entry expects the old ones.

    The store is down, so that the agent doesn't reload the declared weights.
    """
    world = driver.world
    world.objects.down = True
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)
    driver.load_weights(driver.agent(0).backend, "w2")
    world.settle(2.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(3.0)


def grant_all_loads(monkeypatch):
    """Grants every load permit, regardless of other loads."""
    monkeypatch.setattr(permits.LoadPermits, "_denial_reason", lambda *_: "")


def release_all_runners(monkeypatch):
    """Allows all runners of a model to be out of service at once."""
    monkeypatch.setattr(permits, "_may_leave_service", lambda *_: True)


def upgrade_scenario(loads):
    """Returns a scenario that declares new weights and waits for them.

    Args:
        loads: maximum number of concurrent loads.
    """

    def scenario(driver):
        driver.world.declare_weights("w2", loads)
        driver.wait_for_upgrade()

    return scenario


def share_salt(monkeypatch):
    """Makes all organisations share cached blocks."""
    monkeypatch.setattr(runs.Run, "salt", lambda self, weights: "all")


def send_same_prompt(driver):
    """Sends the same prompt for two organisations."""
    for organisation in machines.ORGANISATIONS:
        driver.complete(driver.entry(0), organisation, PROMPT)
        driver.world.settle(1.0)


def accept_short_streams(monkeypatch):
    """Accepts a stream as complete although the engine counted more tokens."""
    real = agents.Agent.engine_ended

    def engine_ended(self, event, now):
        run = self.runs.get((event.request, event.attempt))
        if run is not None:
            event = attrs.evolve(event, completion_tokens=run.tokens)
        return real(self, event, now)

    monkeypatch.setattr(agents.Agent, "engine_ended", engine_ended)


def lose_engine_text(driver):
    """Drops a piece of a stream between the engine and its agent."""
    world = driver.world
    tracked = driver.complete(driver.entry(0), "acme", PROMPT)
    world.deliver_all()
    lost = []
    for _ in range(200):
        world.advance(0.01)
        for process in world.active_processes():
            for event in list(process.backend_events):
                middle = isinstance(event, events.EngineText) and event.index
                if middle and not lost:
                    lost.append(event)
                    process.backend_events.remove(event)
        world.deliver_all()
    assert lost
    assert isinstance(tracked.ended, actions.ReplyEnd)


def relay_late_frames(monkeypatch):
    """Accepts frames from any attempt and agent."""
    real = streams.Stream.accept

    def accept(self, frame):
        return real(self, attrs.evolve(frame, attempt=self.attempt))

    def frames(self, batch, sender, now):
        action_list = []
        for frame in batch:
            ticket = self.tickets.get(frame.request)
            if ticket is not None:
                action_list += real_frames(self, [frame], ticket.agent, now)
        return action_list

    real_frames = entries.Entry.frames
    monkeypatch.setattr(streams.Stream, "accept", accept)
    monkeypatch.setattr(entries.Entry, "frames", frames)


def late_frames(driver):
    """Delays the frames of a disconnected agent until after a retry."""
    world = driver.world
    tracked = driver.complete(driver.entry(0), "acme", PROMPT, tokens=12)
    world.settle(0.08)
    assert tracked.text
    assert tracked.ended is None
    first = next(
        each
        for each in world.processes.values()
        if not each.is_entry() and each.core.runs
    )
    for address in world.runners:
        other = world.processes[address]
        if other is not first:
            other.backend.text_every = 3 - first.backend.text_every
    world.advance(0.1)
    while first.backend_events:
        world.deliver_backend_event(first)
    (channel,) = [
        each
        for each in world.channels.values()
        if each.source is first and each.target == tracked.entry.address
    ]
    late = list(channel.queue)
    channel.queue.clear()
    assert late
    world.give(tracked.entry, events.Unreachable(address=first.address))
    world.settle(0.08)
    channel.queue.extend(late)
    world.settle(2.0)
    assert isinstance(tracked.ended, actions.ReplyEnd)


def mix_up_answers(monkeypatch):
    """Assigns an answer to any request that waits for the same agent."""

    def current(self, message, sender):
        waiting = [
            each
            for each in self.tickets.values()
            if each.agent == sender and hasattr(message, "request")
        ]
        return waiting[0] if waiting else None

    def answered(self, ticket, message, now):
        message = attrs.evolve(message, request=ticket.event.request)
        return real(self, ticket, message, now)

    real = entries.Entry.answered
    monkeypatch.setattr(entries.Entry, "current", current)
    monkeypatch.setattr(entries.Entry, "answered", answered)


def answer_calls_out_of_order(driver):
    """Sends two calls, of which the second is answered first."""
    world = driver.world
    for card in ("a", "b"):
        driver.call(driver.entry(0), "acme", card)
    while len(world.work) < 2:
        world.deliver_messages()
        world.advance(0.005)
    world.reach_backend(1)
    world.settle(1.0)


def report_not_run(monkeypatch):
    """Ignores that an earlier attempt ran."""
    monkeypatch.setattr(
        retries, "_worse", lambda one, other: results.Ran.NOT_RUN
    )


def report_ran(monkeypatch):
    """Reports in every error that the request ran."""
    real = entries.Entry.end_error

    def end_error(self, ticket, error, now):
        return real(self, ticket, attrs.evolve(error, ran="ran"), now)

    monkeypatch.setattr(entries.Entry, "end_error", end_error)


def crash_only_engine(driver):
    """Crashes the only engine while it runs a request."""
    world = driver.world
    driver.complete(driver.entry(0), "acme", "POISON" * 100)
    world.settle(5.0)


def stop_all_engines(driver):
    """Sends a request while all engines are down."""
    world = driver.world
    for address in world.runners:
        world.processes[address].backend.crash(world.now)
    world.settle(1.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(8.0)


def skip_claim(monkeypatch):
    """Grants each call without a claim record in the store."""

    def claim(self, dispatch, **_):
        granted = claim_verdicts.Granted(
            request=dispatch.request, attempt=dispatch.attempt
        )
        return [granted]

    monkeypatch.setattr(claims.Claims, "claim", claim)


def trust_lost_write(monkeypatch):
    """Treats a write whose answer was lost as successful."""
    real = claim_shards.ShardClaims.answer

    def answer(self, answer, now):
        if answer.outcome == stores.Outcome.LOST:
            version = (self.version or 0) + 1
            done = stores.Outcome.WRITTEN
            answer = attrs.evolve(answer, outcome=done, version=version)
        return real(self, answer, now)

    monkeypatch.setattr(claim_shards.ShardClaims, "answer", answer)


def lose_claim_write(driver):
    """Loses a claim's write; restarts the agents and sends the call again."""
    world = driver.world
    world.objects.lose_requests = 1
    driver.call(driver.entry(0), "acme", "k")
    world.settle(0.1)
    world.objects.lose_requests = 0
    for address in world.services:
        world.restart(world.processes[address])
    world.settle(1.5)
    driver.call(driver.entry(0), "acme", "k")
    world.settle(3.0)


def retry_calls(monkeypatch):
    """Retries each call, although a service may have run it."""
    monkeypatch.setattr(request_tickets.Ticket, "repeatable", lambda _: True)


def retry_unclaimed(monkeypatch):
    """Removes both safeguards against running a call twice."""
    retry_calls(monkeypatch)
    skip_claim(monkeypatch)


def lost_service_answer(driver):
    """Loses the answer to a call that a service ran."""
    world = driver.world
    for address in world.services:
        world.processes[address].backend.lose_answers = 1
    driver.call(driver.entry(0), "acme", "k")
    world.settle(8.0)


def send_call_twice(driver):
    """Sends a call twice with the same key."""
    for _ in range(2):
        driver.call(driver.entry(0), "acme", "k")
        driver.world.settle(2.0)


def ignore_leaving(monkeypatch):
    """Treats every declared server as in service."""
    real = declarations.decode

    def decode(path, stored):
        found = real(path, stored)
        server = found.value_or(None)
        if isinstance(server, declarations.BackendServer):
            server.state = declarations.ServerState.IN
        return found

    monkeypatch.setattr(declarations, "decode", decode)


def remove_only_runner(driver):
    """Declares the only runner as leaving, and then sends a request."""
    world = driver.world
    server = world.read_declaration(declarations.BackendServer, "r0")
    server.state = declarations.ServerState.LEAVING
    world.declare(server)
    driver.oracle.leaving_since["r0"] = world.now
    world.settle(6.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)


def always_idle(kind):
    """Returns a mutation that ends a process before its work has ended."""

    def apply(monkeypatch):
        monkeypatch.setattr(kind, "idle", lambda self: True)

    return apply


def drain_scenario(group):
    """Returns a scenario that drains a process while it serves.

    Args:
        group: attribute of the World that lists the process's address first.
    """

    def scenario(driver):
        world = driver.world
        driver.complete(driver.entry(0), "acme", PROMPT, tokens=30)
        world.settle(0.1)
        world.drain(world.processes[getattr(world, group)[0]])
        world.settle(3.0)

    return scenario


def accept_older_versions(monkeypatch):
    """Treats every version that arrives as the newest."""
    monkeypatch.setattr(
        configuration.Configuration,
        "is_newer",
        lambda self, stored, from_store: True,
    )


def deliver_older_versions(driver):
    """Delivers messages again after a newer version of a declaration."""
    world = driver.world
    handled = []
    handle_event = world.give

    def record(process, event):
        handled.append((process, event))
        handle_event(process, event)

    world.give = record
    for weights in ("w2", "w3"):
        world.declare(declarations.Model(name="m", weights=weights))
        world.settle(2.0)
    for process, event in handled:
        if isinstance(event, events.FromNode):
            handle_event(process, event)


def ignore_deadlines(monkeypatch):
    """Sends no error at a request's deadline."""
    monkeypatch.setattr(entries.Entry, "too_late", lambda *_: [])


def lose_service_call(driver):
    """Loses a call on its way to a service, which never answers it."""
    world = driver.world
    driver.call(driver.entry(0), "acme", "k")
    while not world.work:
        world.deliver_messages()
        world.advance(0.005)
    world.work.clear()
    world.settle(10.0)


def answer_twice(monkeypatch):
    """Keeps the ticket of a request that was answered."""

    def end(self, ticket, now):
        return []

    monkeypatch.setattr(entries.Entry, "end", end)


def send_request(driver):
    """Sends one request and waits beyond its deadline."""
    driver.complete(driver.entry(0), "acme", PROMPT)
    driver.world.settle(8.0)


def place_randomly(monkeypatch):
    """Chooses servers at random."""
    rng = random.Random(1)
    real = placement.Placer.candidate

    def candidate(self, *args):
        return attrs.evolve(real(self, *args), cost=rng.random())

    monkeypatch.setattr(placement.Placer, "candidate", candidate)


def check_healthy_service(driver):
    """Checks the service without faults."""
    for _ in range(3):
        driver.check_service()


def forget_suspects(monkeypatch):
    """Doesn't record the requests that ran in a crashed engine."""
    monkeypatch.setattr(quarantine.Quarantine, "_add", lambda *_: None)


def repeat_poison(driver):
    """Sends a request that crashes its engine again and again."""
    world = driver.world
    for number in range(6):
        prompt = oracles.POISON * 100
        driver.complete(driver.entry(number), "acme", prompt)
        world.settle(2.0)
        for address in world.runners:
            world.processes[address].backend.restart(world.now)
        world.settle(1.0)


def grant_whole_limit(monkeypatch):
    """Grants each entry the whole limit of each contract."""
    monkeypatch.setattr(
        limits.ContractLimits,
        "owner_of",
        lambda self, organisation: self.address,
    )


def exceed_limit(driver):
    """Sends more requests than an organisation's limit to both entries."""
    for number in range(12):
        prompt = machines.prompt_of(number, 0)
        driver.complete(driver.entry(number), "zenith", prompt, tokens=20)
        driver.world.settle(0.01)
    driver.world.settle(2.0)


def report_all_cached(monkeypatch):
    """Reports to callers that their whole prompt was cached."""
    real = entries.Entry.finished

    def finished(self, ticket, message, now):
        cached = message.prompt_tokens
        return real(
            self, ticket, attrs.evolve(message, cached_tokens=cached), now
        )

    monkeypatch.setattr(entries.Entry, "finished", finished)


def refuse_after_start(monkeypatch):
    """Refuses all requests in the first five seconds after a start."""
    real = entries.Entry.accept
    started_at = {}

    def accept(self, event, now):
        if now < started_at.setdefault(id(self), now) + 5.0:
            error = results.Error(code=results.Code.SHUTTING_DOWN)
            return [actions.ReplyError(request=event.request, error=error)]
        return real(self, event, now)

    monkeypatch.setattr(entries.Entry, "accept", accept)


def withhold_declarations(monkeypatch):
    """Makes agents ignore requests for their copies of declarations."""
    monkeypatch.setattr(subscription.Subscriber, "_answer_fetch", lambda *_: [])


def restart_all_entries(driver):
    """Restarts all entries while the store is down."""
    driver.check_all_restart_without_store()


def drop_incarnation(monkeypatch):
    """Admits requests for any incarnation of the engine."""
    override_dispatch(monkeypatch, incarnation="")


def drop_weights(monkeypatch):
    """Admits requests for any weights."""
    override_dispatch(monkeypatch, weights="")


MUTATIONS = [
    Mutation(
        name="drop the incarnation check",
        invariant="cache",
        apply=drop_incarnation,
        scenario=stale_dispatch,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="drop the weights check",
        invariant="cache",
        apply=drop_weights,
        scenario=older_weights,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="share the prefix salt across organisations",
        invariant="cache",
        apply=share_salt,
        scenario=send_same_prompt,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="accept a short stream",
        invariant="stream",
        apply=accept_short_streams,
        scenario=lose_engine_text,
    ),
    Mutation(
        name="relay a late frame",
        invariant="stream",
        apply=relay_late_frames,
        scenario=late_frames,
    ),
    Mutation(
        name="serve only after five seconds",
        invariant="restart",
        apply=refuse_after_start,
        scenario=check_healthy_service,
    ),
    Mutation(
        name="keep the agents' copies from restarted entries",
        invariant="restart",
        apply=withhold_declarations,
        scenario=restart_all_entries,
    ),
    Mutation(
        name="give an answer to another request",
        invariant="own_answer",
        apply=mix_up_answers,
        scenario=answer_calls_out_of_order,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name='say "not run" after a run',
        invariant="not_run",
        apply=report_not_run,
        scenario=crash_only_engine,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="skip the claim",
        invariant="once",
        apply=skip_claim,
        scenario=send_call_twice,
    ),
    Mutation(
        name="trust a claim whose write was lost",
        invariant="once",
        apply=trust_lost_write,
        scenario=lose_claim_write,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="retry a call that may have run, and skip its claim",
        invariant="once",
        apply=retry_unclaimed,
        scenario=lost_service_answer,
    ),
    Mutation(
        name="ignore leaving",
        invariant="leaving",
        apply=ignore_leaving,
        scenario=remove_only_runner,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="end an entry before its requests",
        invariant="drain",
        apply=always_idle(entries.Entry),
        scenario=drain_scenario("entries"),
    ),
    Mutation(
        name="end an agent before its runs",
        invariant="drain",
        apply=always_idle(agents.Agent),
        scenario=drain_scenario("runners"),
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="take an older configuration",
        invariant="configuration",
        apply=accept_older_versions,
        scenario=deliver_older_versions,
    ),
    Mutation(
        name="let the deadline pass",
        invariant="answered",
        apply=ignore_deadlines,
        scenario=lose_service_call,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="answer twice",
        invariant="answered",
        apply=answer_twice,
        scenario=send_request,
    ),
    Mutation(
        name="place by chance",
        invariant="shared",
        apply=place_randomly,
        scenario=check_healthy_service,
    ),
    Mutation(
        name="forget what crashed an engine",
        invariant="poison",
        apply=forget_suspects,
        scenario=repeat_poison,
    ),
    Mutation(
        name="give each entry the whole limit",
        invariant="limits",
        apply=grant_whole_limit,
        scenario=exceed_limit,
    ),
    Mutation(
        name="grant every permit to load",
        invariant="loads",
        apply=grant_all_loads,
        scenario=upgrade_scenario(1),
    ),
    Mutation(
        name="let all runners of a model load at one time",
        invariant="upgrade",
        apply=release_all_runners,
        scenario=upgrade_scenario(3),
    ),
    Mutation(
        name="report a prompt as cached that was not",
        invariant="reported",
        apply=report_all_cached,
        scenario=send_request,
    ),
    Mutation(
        name='say "ran" of what never ran',
        invariant="reported",
        apply=report_ran,
        scenario=stop_all_engines,
        sizes=ONE_RUNNER,
    ),
]
