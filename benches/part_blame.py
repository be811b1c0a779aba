"""Compares rules that blame a prompt part for the deaths of servers.

In virtual time, with the routers' own evidence (routing.suspects) at each
router: requests arrive at any router, a router sees only its own connections,
and reports reach the others after a delay, or after a cut between them. Prints
a table in Markdown for each scene.

Usage: python -m benches.part_blame [SEEDS [TEXT IN A RULE'S NAME]]
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import heapq
import itertools
import random
import statistics
import sys
from unittest import mock

import attrs
import xxhash

from pimentoledge.routing import blames
from pimentoledge.routing import crash_evidence
from pimentoledge.routing import server_deaths
from pimentoledge.routing import suspects

SERVERS = 12
ROUTERS = 10
# Sound requests a second.
RATE = 40.0
END_SECONDS = 60.0
CRASHES_FROM = 8.0
CRASHES_UNTIL = 50.0
# Time until a crashed server is back.
RESTART_SECONDS = 4.0
# Ranges of delays in seconds.
READ_SECONDS = (0.1, 0.5)
SECOND_EVENT_SECONDS = (0.03, 0.06)
REST_SECONDS = (0.3, 2.2)
REPORT_SECONDS = (0.02, 0.4)
# Until a closed connection's server is found dead, and a silent one's.
PROOF_SECONDS = (0.005, 0.1)
LATE_PROOF_SECONDS = (0.3, 3.6)
# Until a silent server's connections break.
SILENCE_SECONDS = (1.0, 3.0)
FIRST_PARTS = 5
DOCUMENTS = 60
DOCUMENT_SHARE = 0.8
BAD_SHARE_BEFORE = 0.05
# Part of the page's rule: sends later than this after the fifth crash count.
CONTACT_SECONDS = 3.0
FIFTH = 4


@attrs.frozen(kw_only=True)
class Scene:
    """What happens in a run.

    Attributes:
        name: name for the table.
        bad: requests a second with a part that crashes servers, for each such
            part.
        parts: number of such parts.
        first: whether the part stands first in the prompt.
        shared: whether all such parts follow the same first part.
        worked: whether sound requests had the part before.
        healed_at: when the part stops to crash servers, and sound requests have
            it again.
        models: number of models; the part crashes the first one's only, and
            sound requests of the others have it.
        losses: when a third of the servers is lost.
        silent: whether lost servers fall silent.
        all_lost: whether losses take all servers.
        cut: when the routers are cut into two halves, and until when.
        late: whether a death is proven only by its lapsed entry.
        restarted: when all routers restart at the same moment.
        servers: number of servers.
    """

    name: str
    bad: float = 0.0
    parts: int = 1
    first: bool = False
    shared: bool = False
    worked: bool = False
    healed_at: float | None = None
    models: int = 1
    losses: tuple[float, ...] = ()
    silent: bool = False
    all_lost: bool = False
    cut: tuple[float, float] | None = None
    late: bool = False
    restarted: tuple[float, ...] = ()
    servers: int = SERVERS


@attrs.frozen(kw_only=True)
class Rule:
    """A way to find the part to blame.

    Attributes:
        name: name for the table.
        explain: decides what is to blame.
        part_crashes: crashes that convict a part.
        parts: whether parts are suspected at all.
        acquits: whether a request that had begun its answer is no suspect.
        reports: whether routers report successes to each other.
        by_model: whether a part counts for each model apart.
        mass_loss: servers that die together and count as one crash.
        by_time: whether a success counts from its own time, rather than
            releases the crashes that are known when it is.
        trust_seconds: how long a success before a crash counts for a part.
        rival_weight: weight of a crash that a part with less trust may have
            caused.
        own_crashes: unexplained crashes that are enough for what has the number
            in all.
    """

    name: str
    explain: Callable = blames.explain
    part_crashes: int = 3
    parts: bool = True
    acquits: bool = True
    reports: bool = True
    by_model: bool = True
    mass_loss: int = crash_evidence.MASS_LOSS_SERVERS
    by_time: bool = True
    trust_seconds: float = crash_evidence.TRUST_SECONDS
    rival_weight: float = blames.RIVAL_WEIGHT
    own_crashes: int = blames.MIN_OWN_CRASHES


def count_alone(
    evidence: Iterable[blames.Evidence],
) -> dict[str, dict[str, float]]:
    """Blames each suspect with enough crashes, explained or not."""
    return {
        each.key: each.crashes
        for each in evidence
        if each.is_enough(each.crashes)
    }


def share(evidence: Iterable[blames.Evidence]) -> dict[str, dict[str, float]]:
    """Divides each crash among the suspects with as many crashes or more."""
    suspected = list(evidence)
    blamed = {}
    for each in suspected:
        weights = {}
        for incarnation, weight in each.crashes.items():
            rivals = sum(
                incarnation in other.crashes
                and len(other.crashes) >= len(each.crashes)
                for other in suspected
            )
            weights[incarnation] = weight / rivals
        if (
            len(weights) >= blames.MIN_PART_CRASHES
            and sum(weights.values()) >= blames.MIN_PART_CRASHES / 2
        ):
            blamed[each.key] = weights
    return blamed


class _ReleasingSuspects(suspects.Suspects):
    """Releases on a success the crashes that are known by then."""

    def record_success(self, key: str, when: float) -> bool:
        suspect = self.subjects.get(key)
        if suspect is None:
            return False
        released = [self._release(key, each) for each in suspect.crashes]
        if any(released):
            self.on_success(key)
        return any(released)


@attrs.define(kw_only=True)
class Run:
    """Figures of one run.

    Attributes:
        died: servers that a part has crashed.
        sends: when requests with each bad part reached servers.
        deaths: when servers died of each bad part.
        sound: sound requests by second.
        refused: sound requests refused by second.
    """

    died: int = 0
    sends: dict[str, list[float]] = attrs.field(factory=dict)
    deaths: dict[str, list[float]] = attrs.field(factory=dict)
    sound: dict[int, int] = attrs.field(factory=dict)
    refused: dict[int, int] = attrs.field(factory=dict)

    def late_sends(self) -> int:
        """Returns the most late sends of a part."""
        return max(
            (
                sum(
                    each > deaths[FIFTH] + CONTACT_SECONDS
                    for each in self.sends[part]
                )
                for part, deaths in self.deaths.items()
                if len(deaths) > FIFTH
            ),
            default=0,
        )

    def refused_share(self) -> float:
        """Returns the share of sound requests that were refused."""
        return sum(self.refused.values()) / max(1, sum(self.sound.values()))

    def worst_second(self) -> float:
        """Returns the largest share of a second's sound requests refused."""
        return max(
            (
                self.refused.get(second, 0) / number
                for second, number in self.sound.items()
                if number >= RATE / 2
            ),
            default=0.0,
        )


@attrs.define(kw_only=True)
class _Request:
    router: int
    subjects: tuple[server_deaths.Subject, ...]
    bad: str | None
    sent: float
    begun: bool = False


class _World:
    """Servers and routers in virtual time."""

    def __init__(self, *, rule: Rule, scene: Scene, seed: int):
        self.rule = rule
        self.scene = scene
        self.random = random.Random(seed)
        self.run = Run()
        self.now = 0.0
        self._queue: list = []
        self._order = itertools.count()
        self._own = itertools.count()
        self.servers = scene.servers
        self.alive = [True] * self.servers
        self.lives = [0] * self.servers
        self.running: list[dict[int, _Request]] = [
            {} for _ in range(self.servers)
        ]
        self.routers = [self._router(number) for number in range(ROUTERS)]
        self._merging = False

    def _router(self, number: int) -> suspects.Suspects:
        kind = suspects.Suspects if self.rule.by_time else _ReleasingSuspects
        router = kind(explain=self.rule.explain)
        if self.rule.trust_seconds:
            router.watched_from = self.now
        router.on_change = lambda key, incarnation: self._report_crash(
            number, key, incarnation
        )
        router.on_success = lambda key: self._report_success(number, key)
        router.rank = (
            lambda key: (xxhash.xxh3_64_intdigest(key.encode()) + number)
            % ROUTERS
        )
        return router

    def at(self, when: float, call: Callable, *arguments: object) -> None:
        heapq.heappush(self._queue, (when, next(self._order), call, arguments))

    def after(self, seconds: tuple[float, float], call, *arguments) -> None:
        self.at(self.now + self.random.uniform(*seconds), call, *arguments)

    def play(self) -> Run:
        self._plan()
        while self._queue:
            self.now, _, call, arguments = heapq.heappop(self._queue)
            if self.now > END_SECONDS:
                break
            call(*arguments)
        return self.run

    def _plan(self) -> None:
        scene = self.scene
        weights = [1 / (each + 1) for each in range(DOCUMENTS)]
        documents = [f"d{each}" for each in range(DOCUMENTS)]
        when = 0.0
        while when < END_SECONDS:
            when += self.random.expovariate(RATE)
            parts = [f"s{self.random.randrange(FIRST_PARTS)}"]
            if self.random.random() < DOCUMENT_SHARE:
                parts += self.random.choices(documents, weights)
            model = self.random.randrange(scene.models)
            if self.random.random() < BAD_SHARE_BEFORE and self._is_sound(
                when, model
            ):
                parts = ["s0", "bad0"]
            self.at(when, self._arrive, parts, model, None)
        for number in range(scene.parts if scene.bad else 0):
            bad = f"bad{number}"
            when = CRASHES_FROM
            while when < (scene.healed_at or CRASHES_UNTIL):
                when += self.random.expovariate(scene.bad)
                place = 0 if scene.shared else number % FIRST_PARTS
                first = [f"s{place}", bad]
                parts = [bad, documents[0]] if scene.first else first
                self.at(when, self._arrive, parts, 0, bad)
        for each in scene.losses:
            for server in range(0, self.servers, 1 if scene.all_lost else 3):
                self.at(
                    each + self.random.uniform(0, 0.2),
                    lambda server=server: self._end(server, scene.silent),
                )

        for each in scene.restarted:
            self.at(each, self._restart_routers)

    def _restart_routers(self) -> None:
        """Replaces all routers; the store keeps what is quarantined."""
        stored = {
            (key, incarnation): (each.subjects[key].depth, crash)
            for each in self.routers
            for key in each.quarantines
            for incarnation, crash in each.subjects[key].counted().items()
        }
        self.routers = [self._router(number) for number in range(ROUTERS)]
        self._merging = True
        for each in self.routers:
            for (key, incarnation), (depth, crash) in stored.items():
                each.record_crash(
                    server_deaths.Subject(key=key, depth=depth),
                    incarnation,
                    crash.when,
                )
        self._merging = False

    def _is_sound(self, when: float, model: int) -> bool:
        scene = self.scene
        before = scene.worked and when < CRASHES_FROM
        after = scene.healed_at is not None and when > scene.healed_at
        return before or after or model > 0

    def _subjects(
        self, parts: list[str], model: int
    ) -> tuple[server_deaths.Subject, ...]:
        content = server_deaths.Subject(key=f"content{next(self._own)}")
        if not self.rule.parts:
            return (content,)
        prefix = f"{model}/" if self.rule.by_model else ""
        return content, *(
            server_deaths.Subject(key=prefix + part, depth=depth)
            for depth, part in enumerate(parts, 1)
        )

    def _arrive(self, parts: list[str], model: int, bad: str | None) -> None:
        number = self.random.randrange(ROUTERS)
        router = self.routers[number]
        subjects = self._subjects(parts, model)
        second = int(self.now)
        if bad is None:
            self.run.sound[second] = self.run.sound.get(second, 0) + 1
        if router.blocking(subjects, self.now):
            if bad is None:
                self.run.refused[second] = self.run.refused.get(second, 0) + 1
            return
        servers = [each for each in range(self.servers) if self.alive[each]]
        if not servers:
            return
        router.start_trial(subjects, self.now)
        server = self.random.choice(servers)
        identity = next(self._own)
        request = _Request(
            router=number, subjects=subjects, bad=bad, sent=self.now
        )
        self.running[server][identity] = request
        if bad is not None:
            self.run.sends.setdefault(bad, []).append(self.now)
        self.after(
            READ_SECONDS, self._begin, server, self.lives[server], identity
        )

    def _begin(self, server: int, life: int, identity: int) -> None:
        if self.lives[server] != life or identity not in self.running[server]:
            return
        request = self.running[server][identity]
        if request.bad is not None:
            self.run.died += 1
            self.run.deaths.setdefault(request.bad, []).append(self.now)
            self._end(server, silent=False)
            return
        self.after(SECOND_EVENT_SECONDS, self._prove, server, life, identity)
        self.after(REST_SECONDS, self._finish, server, life, identity)

    def _prove(self, server: int, life: int, identity: int) -> None:
        if self.lives[server] != life:
            return
        request = self.running[server][identity]
        request.begun = True
        for each in request.subjects:
            self.routers[request.router].record_success(each.key, self.now)

    def _finish(self, server: int, life: int, identity: int) -> None:
        if self.lives[server] == life:
            del self.running[server][identity]

    def _end(self, server: int, silent: bool) -> None:
        if not self.alive[server]:
            return
        incarnation = f"{server}.{self.lives[server]}"
        lost, self.running[server] = self.running[server], {}
        self.alive[server] = False
        self.lives[server] += 1
        late = silent or self.scene.late
        for number in {each.router for each in lost.values()}:
            self.after(
                LATE_PROOF_SECONDS if late else PROOF_SECONDS,
                lambda number=number: self.routers[number].record_death(
                    incarnation, self.now
                ),
            )
        for each in lost.values():
            subjects = each.subjects
            if self.rule.acquits and each.begun:
                subjects = ()
            noticed = SILENCE_SECONDS if silent else (0.0, 0.0)
            self.after(
                noticed, self._break, each, subjects, incarnation, silent
            )
        self.at(self.now + RESTART_SECONDS, self._restart, server)

    def _break(
        self,
        request: _Request,
        subjects: tuple[server_deaths.Subject, ...],
        incarnation: str,
        silent: bool,
    ) -> None:
        self.routers[request.router].record_break(
            subjects,
            incarnation,
            sent=request.sent,
            now=self.now,
            silent=silent,
        )

    def _restart(self, server: int) -> None:
        self.alive[server] = True

    def _reaches(self, sender: int, receiver: int) -> float:
        """Returns when a message from one router reaches another."""
        when = self.now + self.random.uniform(*REPORT_SECONDS)
        cut = self.scene.cut
        half = ROUTERS // 2
        is_across = (sender < half) != (receiver < half)
        if cut and is_across and cut[0] <= self.now < cut[1]:
            when = cut[1] + self.random.uniform(*REPORT_SECONDS)
        return when

    def _report(self, sender: int, call: Callable) -> None:
        if self._merging:
            return
        for number in range(ROUTERS):
            if number != sender:
                self.at(
                    self._reaches(sender, number), self._merge, call, number
                )

    def _merge(self, call: Callable, number: int) -> None:
        self._merging = True
        call(self.routers[number])
        self._merging = False

    def _report_crash(self, sender: int, key: str, incarnation: str) -> None:
        suspect = self.routers[sender].subjects[key]
        crash = suspect.crashes[incarnation]
        subject = server_deaths.Subject(key=key, depth=suspect.depth)
        values = attrs.asdict(crash)
        self._report(
            sender,
            lambda router: router.record_crash(subject, incarnation, **values),
        )

    def _report_success(self, sender: int, key: str) -> None:
        if not self.rule.reports:
            return
        when = self.routers[sender].subjects[key].succeeded_at
        self._report(sender, lambda router: router.record_success(key, when))


@contextlib.contextmanager
def _constants(rule: Rule):
    """Applies a rule's figures to the modules that it varies."""
    figures = [
        (blames, "MIN_PART_CRASHES", rule.part_crashes),
        (blames, "MIN_PART_WEIGHT", float(rule.part_crashes)),
        (blames, "RIVAL_WEIGHT", rule.rival_weight),
        (blames, "MIN_OWN_CRASHES", rule.own_crashes),
        (crash_evidence, "MASS_LOSS_SERVERS", rule.mass_loss),
        (crash_evidence, "TRUST_SECONDS", rule.trust_seconds),
    ]
    with contextlib.ExitStack() as stack:
        for module, name, value in figures:
            stack.enter_context(mock.patch.object(module, name, value))
        yield


NO_MASS_LOSS = 10**6


RULES = [
    Rule(name="contents alone (before)", parts=False),
    Rule(
        name="3 crashes, a success releases what is known",
        explain=count_alone,
        by_time=False,
        acquits=False,
    ),
    Rule(
        name="3 crashes since the last success",
        explain=count_alone,
        acquits=False,
    ),
    Rule(name="the same, begun answers acquitted", explain=count_alone),
    Rule(name="3 crashes, shared among suspects", explain=share),
    Rule(name="3 explained, nobody acquitted", acquits=False),
    Rule(name="3 explained, successes not reported", reports=False),
    Rule(name="3 explained, losses count apart", mass_loss=NO_MASS_LOSS),
    Rule(name="3 explained, for all models", by_model=False),
    Rule(
        name="3 explained, the most first (former)",
        trust_seconds=0.0,
        own_crashes=3,
    ),
    Rule(name="3 explained, trust for 5 s", trust_seconds=5.0),
    Rule(name="3 explained, trust for 60 s", trust_seconds=60.0),
    Rule(name="3 explained, rivals or not", rival_weight=1.0),
    Rule(name="3 explained, half with rivals", rival_weight=0.5),
    Rule(name="3 explained, all its own", own_crashes=3),
    Rule(name="3 explained, one its own", own_crashes=1),
    Rule(name="2 explained", part_crashes=2),
    Rule(name="3 explained (chosen)"),
    Rule(name="4 explained", part_crashes=4),
]
SCENES = [
    Scene(name="second part, 1 a second", bad=1.0),
    Scene(name="second part, 3 a second", bad=3.0),
    Scene(name="first part, 3 a second", bad=3.0, first=True),
    Scene(name="a part that had worked, 3 a second", bad=3.0, worked=True),
    Scene(name="3 a second, deaths proven late", bad=3.0, late=True),
    Scene(name="three parts, 1 a second each", bad=1.0, parts=3),
    Scene(
        name="three parts after the same one, 1 a second each",
        bad=1.0,
        parts=3,
        shared=True,
    ),
    Scene(name="one model's part, 2 a second", bad=2.0, models=2),
    Scene(name="a third lost three times", losses=(10, 15, 20)),
    Scene(name="a third silent three times", losses=(10, 15, 20), silent=True),
    Scene(name="all servers lost twice", losses=(10, 20), all_lost=True),
    Scene(
        name="all servers silent twice",
        losses=(10, 20),
        all_lost=True,
        silent=True,
    ),
    Scene(name="second part, 20 a second", bad=20.0),
    Scene(
        name="1 a second beside a third lost twice",
        bad=1.0,
        losses=(9.0, 16.0),
    ),
    Scene(name="routers cut into halves, 2 a second", bad=2.0, cut=(7, 25)),
    Scene(
        name="all routers restarted twice, three parts after the same one",
        bad=1.0,
        parts=3,
        shared=True,
        restarted=(10.0, 25.0),
    ),
    Scene(
        name="five parts after the same one, three servers",
        bad=1.0,
        parts=5,
        shared=True,
        servers=3,
    ),
    Scene(
        name="the same, all routers restarted twice",
        bad=1.0,
        parts=5,
        shared=True,
        servers=3,
        restarted=(10.0, 25.0),
    ),
    Scene(name="a part that is mended at 14 s", bad=2.0, healed_at=14.0),
]


def _row(rule: Rule, scene: Scene, seeds: int) -> str:
    with _constants(rule):
        runs = [
            _World(rule=rule, scene=scene, seed=seed).play()
            for seed in range(seeds)
        ]
    died = statistics.mean(each.died for each in runs)
    late = [each.late_sends() for each in runs]
    refused = statistics.mean(each.refused_share() for each in runs)
    worst = [each.worst_second() for each in runs]
    return (
        f"| {rule.name} | {died:.1f} | {statistics.mean(late):.1f}"
        f" ({max(late)}) | {refused:.4f} | {statistics.mean(worst):.3f}"
        f" ({max(worst):.2f}) |"
    )


def main() -> None:
    """Prints the tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    only = sys.argv[2] if len(sys.argv) > 2 else ""
    print(f"Seeds: 0 to {seeds - 1}.")
    for scene in SCENES:
        print(
            f"\n{scene.name}\n\n"
            "| a part is quarantined after | servers crashed |"
            " late sends (most) | sound refused | worst second (most) |\n"
            "| --- | --- | --- | --- | --- |"
        )
        for rule in RULES:
            if only not in rule.name:
                continue
            print(_row(rule, scene, seeds), flush=True)


if __name__ == "__main__":
    main()
