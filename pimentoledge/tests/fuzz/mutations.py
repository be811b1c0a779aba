"""Deliberate faults of the decisions, each with a scenario that shows it.

A check that can't fail proves nothing. Each mutation takes away what guards
one line of oracles.LINES; its scenario passes without it, and with it must
be stopped by the check of that very line.
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
    """One deliberate fault.

    Attributes:
        name: what is broken.
        line: key of oracles.LINES that must catch it.
        apply: breaks the decisions, given pytest's monkeypatch.
        scenario: does what shows it, given a Driver.
        sizes: arguments of the World.
    """

    name: str
    line: str
    apply: Callable
    scenario: Callable
    sizes: dict = attrs.field(factory=dict)


def evolve_dispatch(monkeypatch, **fields):
    """Makes admission see other beliefs than the entry had."""
    real = admission.Admission._find_mismatch

    def untrue(self, dispatch, truth):
        return real(self, attrs.evolve(dispatch, **fields), truth)

    monkeypatch.setattr(admission.Admission, "_find_mismatch", untrue)


def stale_dispatch(driver):
    """An engine restarts, and an entry doesn't know it yet."""
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
    """An operator loads other weights by hand; the entry knows the old ones.

    The store is down, so that the agent doesn't load the declared ones again.
    """
    world = driver.world
    world.objects.down = True
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)
    driver.load(driver.agent(0).backend, "w2")
    world.settle(2.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(3.0)


def grant_loads(monkeypatch):
    """Grants every permit to load, whoever else loads."""
    monkeypatch.setattr(permits.LoadPermits, "_denial_reason", lambda *_: "")


def release_early(monkeypatch):
    """Lets any number of a model's runners be out of service at a time."""
    monkeypatch.setattr(permits, "_may_leave_service", lambda *_: True)


def upgrade(loads):
    """Returns a scenario: new weights are declared for all runners."""

    def scenario(driver):
        driver.world.declare_weights("w2", loads)
        driver.upgrade_all()

    return scenario


def share_salt(monkeypatch):
    """Lets all organisations share cached blocks."""
    monkeypatch.setattr(runs.Run, "salt", lambda self, weights: "all")


def two_organisations(driver):
    """Two organisations send the same prompt."""
    for organisation in machines.ORGANISATIONS:
        driver.complete(driver.entry(0), organisation, PROMPT)
        driver.world.settle(1.0)


def accept_short(monkeypatch):
    """Takes a stream for complete though the engine counts more tokens."""
    real = agents.Agent.engine_ended

    def engine_ended(self, event, now):
        run = self.runs.get((event.request, event.attempt))
        if run is not None:
            event = attrs.evolve(event, completion_tokens=run.tokens)
        return real(self, event, now)

    monkeypatch.setattr(agents.Agent, "engine_ended", engine_ended)


def lose_word(driver):
    """One piece of a stream is lost between the engine and its agent."""
    world = driver.world
    asked = driver.complete(driver.entry(0), "acme", PROMPT)
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
    assert isinstance(asked.ended, actions.ReplyEnd)


def relay_late(monkeypatch):
    """Takes frames of any attempt and agent."""
    real = streams.Stream.accept

    def accept(self, frame):
        return real(self, attrs.evolve(frame, attempt=self.attempt))

    def frames(self, batch, sender, now):
        todo = []
        for frame in batch:
            ticket = self.tickets.get(frame.request)
            if ticket is not None:
                todo += real_frames(self, [frame], ticket.agent, now)
        return todo

    real_frames = entries.Entry.frames
    monkeypatch.setattr(streams.Stream, "accept", accept)
    monkeypatch.setattr(entries.Entry, "frames", frames)


def late_frames(driver):
    """An agent is cut off in mid-stream; its frames come after a retry."""
    world = driver.world
    asked = driver.complete(driver.entry(0), "acme", PROMPT, tokens=12)
    world.settle(0.08)
    assert asked.text
    assert asked.ended is None
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
        if each.source is first and each.target == asked.entry.address
    ]
    late = list(channel.queue)
    channel.queue.clear()
    assert late
    world.give(asked.entry, events.Unreachable(address=first.address))
    world.settle(0.08)
    channel.queue.extend(late)
    world.settle(2.0)
    assert isinstance(asked.ended, actions.ReplyEnd)


def cross_answers(monkeypatch):
    """Gives an answer to whichever request waits for that agent."""

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


def two_calls(driver):
    """Two calls are out; the second is answered first."""
    world = driver.world
    for card in ("a", "b"):
        driver.call(driver.entry(0), "acme", card)
    while len(world.work) < 2:
        world.deliver_messages()
        world.advance(0.005)
    world.reach_backend(1)
    world.settle(1.0)


def say_not_run(monkeypatch):
    """Forgets that an earlier attempt ran."""
    monkeypatch.setattr(
        retries, "_worse", lambda one, other: results.Ran.NOT_RUN
    )


def say_ran(monkeypatch):
    """Tells every caller that its request ran."""
    real = entries.Entry.end_error

    def end_error(self, ticket, error, now):
        return real(self, ticket, attrs.evolve(error, ran="ran"), now)

    monkeypatch.setattr(entries.Entry, "end_error", end_error)


def all_crash(driver):
    """The engine dies while it runs a request, and no other is left."""
    world = driver.world
    driver.complete(driver.entry(0), "acme", "POISON" * 100)
    world.settle(5.0)


def none_up(driver):
    """No engine is up when a request comes."""
    world = driver.world
    for address in world.runners:
        world.processes[address].backend.crash(world.now)
    world.settle(1.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(8.0)


def skip_claim(monkeypatch):
    """Grants each call without a record in the store."""

    def claim(self, dispatch, **_):
        granted = claim_verdicts.Granted(
            request=dispatch.request, attempt=dispatch.attempt
        )
        return [granted]

    monkeypatch.setattr(claims.Claims, "claim", claim)


def trust_lost_write(monkeypatch):
    """Takes a write whose answer was lost for done."""
    real = claim_shards.ShardClaims.answer

    def answer(self, answer, now):
        if answer.outcome == stores.Outcome.LOST:
            version = (self.version or 0) + 1
            done = stores.Outcome.WRITTEN
            answer = attrs.evolve(answer, outcome=done, version=version)
        return real(self, answer, now)

    monkeypatch.setattr(claim_shards.ShardClaims, "answer", answer)


def lost_claim(driver):
    """A claim's write is lost, its agent restarts, the caller resends."""
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
    """Tries each call again, though a service may have run it."""
    monkeypatch.setattr(request_tickets.Ticket, "repeatable", lambda _: True)


def retry_unclaimed(monkeypatch):
    """Takes both guards of a call away."""
    retry_calls(monkeypatch)
    skip_claim(monkeypatch)


def lost_service_answer(driver):
    """A service runs a call, and its answer is lost."""
    world = driver.world
    for address in world.services:
        world.processes[address].backend.lose_answers = 1
    driver.call(driver.entry(0), "acme", "k")
    world.settle(8.0)


def resend(driver):
    """A caller sends its call again with the same key."""
    for _ in range(2):
        driver.call(driver.entry(0), "acme", "k")
        driver.world.settle(2.0)


def ignore_leaving(monkeypatch):
    """Takes every declared server for one that stays."""
    real = declarations.decode

    def decode(path, stored):
        found = real(path, stored)
        server = found.value_or(None)
        if isinstance(server, declarations.BackendServer):
            server.state = declarations.ServerState.IN
        return found

    monkeypatch.setattr(declarations, "decode", decode)


def leave(driver):
    """The only runner is declared as leaving; requests go on coming."""
    world = driver.world
    server = world.declared(declarations.BackendServer, "r0")
    server.state = declarations.ServerState.LEAVING
    world.declare(server)
    driver.oracle.left["r0"] = world.now
    world.settle(6.0)
    driver.complete(driver.entry(0), "acme", PROMPT)
    world.settle(1.0)


def always_idle(kind):
    """Returns what makes a process end before its work has."""

    def apply(monkeypatch):
        monkeypatch.setattr(kind, "idle", lambda self: True)

    return apply


def drain(which):
    """Returns a scenario: a process is told to end while it serves."""

    def scenario(driver):
        world = driver.world
        driver.complete(driver.entry(0), "acme", PROMPT, tokens=30)
        world.settle(0.1)
        world.drain(world.processes[getattr(world, which)[0]])
        world.settle(3.0)

    return scenario


def take_older(monkeypatch):
    """Takes every version that comes for the newest."""
    monkeypatch.setattr(
        configuration.Configuration,
        "is_newer",
        lambda self, stored, from_store: True,
    )


def older_versions(driver):
    """News of a declaration comes late, behind news of a newer version."""
    world = driver.world
    seen = []
    give = world.give

    def note(process, event):
        seen.append((process, event))
        give(process, event)

    world.give = note
    for weights in ("w2", "w3"):
        world.declare(declarations.Model(name="m", weights=weights))
        world.settle(2.0)
    for process, event in seen:
        if isinstance(event, events.FromNode):
            give(process, event)


def never_late(monkeypatch):
    """Lets deadlines pass."""
    monkeypatch.setattr(entries.Entry, "too_late", lambda *_: [])


def stuck_service(driver):
    """A service takes a call and never answers it."""
    world = driver.world
    driver.call(driver.entry(0), "acme", "k")
    while not world.work:
        world.deliver_messages()
        world.advance(0.005)
    world.work.clear()
    world.settle(10.0)


def answer_twice(monkeypatch):
    """Forgets that a request was answered."""

    def end(self, ticket, now):
        return []

    monkeypatch.setattr(entries.Entry, "end", end)


def one_request(driver):
    """One request, and its deadline passes."""
    driver.complete(driver.entry(0), "acme", PROMPT)
    driver.world.settle(8.0)


def place_anywhere(monkeypatch):
    """Chooses servers by chance."""
    rng = random.Random(1)
    real = placement.Placer.candidate

    def candidate(self, *args):
        return attrs.evolve(real(self, *args), cost=rng.random())

    monkeypatch.setattr(placement.Placer, "candidate", candidate)


def check_service(driver):
    """Nothing is wrong, and all that must then hold is checked."""
    for _ in range(3):
        driver.check_service()


def never_poison(monkeypatch):
    """Forgets at once what ran in an engine that died."""
    monkeypatch.setattr(quarantine.Quarantine, "_add", lambda *_: None)


def poison(driver):
    """A caller sends a request again and again that crashes each engine."""
    world = driver.world
    for number in range(6):
        prompt = oracles.POISON * 100
        driver.complete(driver.entry(number), "acme", prompt)
        world.settle(2.0)
        for address in world.runners:
            world.processes[address].backend.restart(world.now)
        world.settle(1.0)


def own_whole_limit(monkeypatch):
    """Gives each entry the whole limit of each contract."""
    monkeypatch.setattr(
        limits.ContractLimits,
        "owner_of",
        lambda self, organisation: self.address,
    )


def many_at_once(driver):
    """One organisation sends more than its limit through both entries."""
    for number in range(12):
        prompt = machines.prompt_of(number, 0)
        driver.complete(driver.entry(number), "zenith", prompt, tokens=20)
        driver.world.settle(0.01)
    driver.world.settle(2.0)


def claim_all_cached(monkeypatch):
    """Tells callers that their whole prompt was cached."""
    real = entries.Entry.finished

    def finished(self, ticket, message, now):
        cached = message.prompt_tokens
        return real(
            self, ticket, attrs.evolve(message, cached_tokens=cached), now
        )

    monkeypatch.setattr(entries.Entry, "finished", finished)


def start_slowly(monkeypatch):
    """Refuses everything in the first five seconds of a life."""
    real = entries.Entry.accept
    born = {}

    def accept(self, event, now):
        if now < born.setdefault(id(self), now) + 5.0:
            error = results.Error(code=results.Code.SHUTTING_DOWN)
            return [actions.ReplyError(request=event.request, error=error)]
        return real(self, event, now)

    monkeypatch.setattr(entries.Entry, "accept", accept)


def keep_copies(monkeypatch):
    """Makes agents give nobody the declarations that they have."""
    monkeypatch.setattr(subscription.Subscriber, "_answer_fetch", lambda *_: [])


def all_restart(driver):
    """All entries restart while the store is down."""
    driver.check_all_restart_without_store()


def drop_incarnation(monkeypatch):
    """Admits whatever engine life the entry meant."""
    evolve_dispatch(monkeypatch, incarnation="")


def drop_weights(monkeypatch):
    """Admits whatever weights the entry meant."""
    evolve_dispatch(monkeypatch, weights="")


MUTATIONS = [
    Mutation(
        name="drop the incarnation check",
        line="cache",
        apply=drop_incarnation,
        scenario=stale_dispatch,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="drop the weights check",
        line="cache",
        apply=drop_weights,
        scenario=older_weights,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="share the prefix salt across organisations",
        line="cache",
        apply=share_salt,
        scenario=two_organisations,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="accept a short stream",
        line="stream",
        apply=accept_short,
        scenario=lose_word,
    ),
    Mutation(
        name="relay a late frame",
        line="stream",
        apply=relay_late,
        scenario=late_frames,
    ),
    Mutation(
        name="serve only after five seconds",
        line="restart",
        apply=start_slowly,
        scenario=check_service,
    ),
    Mutation(
        name="keep the agents' copies from restarted entries",
        line="restart",
        apply=keep_copies,
        scenario=all_restart,
    ),
    Mutation(
        name="give an answer to another request",
        line="own",
        apply=cross_answers,
        scenario=two_calls,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name='say "not run" after a run',
        line="not_run",
        apply=say_not_run,
        scenario=all_crash,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="skip the claim",
        line="once",
        apply=skip_claim,
        scenario=resend,
    ),
    Mutation(
        name="trust a claim whose write was lost",
        line="once",
        apply=trust_lost_write,
        scenario=lost_claim,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="retry a call that may have run, and skip its claim",
        line="once",
        apply=retry_unclaimed,
        scenario=lost_service_answer,
    ),
    Mutation(
        name="ignore leaving",
        line="leaving",
        apply=ignore_leaving,
        scenario=leave,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="end an entry before its requests",
        line="drain",
        apply=always_idle(entries.Entry),
        scenario=drain("entries"),
    ),
    Mutation(
        name="end an agent before its runs",
        line="drain",
        apply=always_idle(agents.Agent),
        scenario=drain("runners"),
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="take an older configuration",
        line="configuration",
        apply=take_older,
        scenario=older_versions,
    ),
    Mutation(
        name="let the deadline pass",
        line="answered",
        apply=never_late,
        scenario=stuck_service,
        sizes=ONE_RUNNER,
    ),
    Mutation(
        name="answer twice",
        line="answered",
        apply=answer_twice,
        scenario=one_request,
    ),
    Mutation(
        name="place by chance",
        line="shared",
        apply=place_anywhere,
        scenario=check_service,
    ),
    Mutation(
        name="forget what crashed an engine",
        line="poison",
        apply=never_poison,
        scenario=poison,
    ),
    Mutation(
        name="give each entry the whole limit",
        line="limits",
        apply=own_whole_limit,
        scenario=many_at_once,
    ),
    Mutation(
        name="grant every permit to load",
        line="loads",
        apply=grant_loads,
        scenario=upgrade(1),
    ),
    Mutation(
        name="let all runners of a model load at one time",
        line="upgrade",
        apply=release_early,
        scenario=upgrade(3),
    ),
    Mutation(
        name="report a prompt as cached that was not",
        line="told",
        apply=claim_all_cached,
        scenario=one_request,
    ),
    Mutation(
        name='say "ran" of what never ran',
        line="told",
        apply=say_ran,
        scenario=none_up,
        sizes=ONE_RUNNER,
    ),
]
