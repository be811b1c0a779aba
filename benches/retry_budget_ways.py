"""Compares ways to keep the retry budget across restarts of routers.

In virtual time: routers with requests of clients, servers that refuse a part of
all attempts, heartbeats between routers, kills, and clients that move from one
router to another. Each way decides which retries are sent. Prints a table in
Markdown: the worst window, as a part of the retries that are allowed there, and
the share of requests that was served in the scene's span.

Usage: python -m benches.retry_budget_ways [SEEDS [ROUTERS ...]]
"""

import bisect
from collections.abc import Callable
import heapq
import itertools
import random
import sys

import attrs

from pimentoledge.routing import retry_budgets

RATIO = 0.2
WINDOW_SECONDS = 10.0
END_SECONDS = 40.0
# Requests a second of one router.
RATE = 13.0
# Part of all attempts that servers refuse while they shed.
REFUSED_SHARE = 0.64
MAX_SENDS = 4
RETRY_SECONDS = 0.01
RESTART_SECONDS = 0.6
HEARTBEAT_SECONDS = 0.5
HEARTBEAT_DELAY_SECONDS = 0.003
# Part of a router's slack that it announces before it uses it.
RESERVED_SHARE = 0.25


def slack_of(routers: int) -> float:
    """Returns a slack as the deployments' sheets have it."""
    return 44 + 2 * routers


class Way:
    """Decides about the retries of one process of a router.

    Attributes:
        slack: retries allowed beside the ratio, of this router.
        started_at: when the process started.
    """

    def __init__(self, *, slack: float, started_at: float):
        self.slack = slack
        self.started_at = started_at
        self.requests: list[float] = []
        self.retries: list[float] = []

    def note_request(self, now: float) -> None:
        """Counts a request."""
        self.requests.append(now)

    def recent(self, times: list[float], now: float) -> int:
        """Returns how many times lie in the window that ends now."""
        return len(times) - bisect.bisect_left(times, now - WINDOW_SECONDS)

    def current_slack(self, now: float) -> float:
        """Returns the slack of the current window."""
        return self.slack

    def try_consume(self, now: float) -> bool:
        """Counts a retry if it is allowed; returns whether it is."""
        limit = RATIO * self.recent(self.requests, now)
        limit = retry_budgets.SAFETY_FACTOR * (limit + self.current_slack(now))
        if limit - self.recent(self.retries, now) < 1:
            return False
        self.retries.append(now)
        return True

    def heartbeat(self, now: float) -> object:
        """Returns what heartbeats tell other routers of this one."""
        return None

    def receive_former(self, heartbeat: object) -> None:
        """Handles what the others know of this router's former process."""


class HalfAtStart(Way):
    """Half of the slack in the first window, as it was before."""

    def current_slack(self, now: float) -> float:
        """Returns the slack of the current window."""
        young = now - self.started_at < WINDOW_SECONDS
        return self.slack / 2 if young else self.slack


class RatioAtStart(Way):
    """No slack in the first window."""

    def current_slack(self, now: float) -> float:
        """Returns the slack of the current window."""
        young = now - self.started_at < WINDOW_SECONDS
        return 0.0 if young else self.slack


class SlackBucket(Way):
    """A token bucket for the slack; the ratio applies to a window.

    Attributes:
        ratio_seconds: for how long a request allows retries.
    """

    ratio_seconds = WINDOW_SECONDS

    def __init__(self, *, slack: float, started_at: float):
        super().__init__(slack=slack, started_at=started_at)
        part = retry_budgets.SAFETY_FACTOR * slack
        self.capacity = max(part / 4, min(1.0, part))
        self.rate = (part - self.capacity) / WINDOW_SECONDS
        self.level = 0.0
        self.filled_at = started_at
        # Time of each retry, and the part of it that the ratio allowed.
        self.by_ratio: list[tuple[float, float]] = []

    def _left_by_ratio(self, now: float) -> float:
        start = now - self.ratio_seconds
        requests = len(self.requests) - bisect.bisect_left(self.requests, start)
        limit = retry_budgets.SAFETY_FACTOR * RATIO * requests
        if self.ratio_seconds < WINDOW_SECONDS:
            limit *= WINDOW_SECONDS / (WINDOW_SECONDS + self.ratio_seconds)
        self.by_ratio = [each for each in self.by_ratio if each[0] >= start]
        return max(0.0, limit - sum(part for _, part in self.by_ratio))

    def try_consume(self, now: float) -> bool:
        """Counts a retry if it is allowed; returns whether it is."""
        earned = self.rate * (now - self.filled_at)
        self.level = min(self.capacity, self.level + earned)
        self.filled_at = now
        left = self._left_by_ratio(now)
        if left + self.level < 1:
            return False
        part = min(1.0, left)
        self.by_ratio.append((now, part))
        self.level -= 1 - part
        return True


class ShortWindow(SlackBucket):
    """The same; a request allows retries for 2 s."""

    ratio_seconds = 2.0


class OneBucket(Way):
    """The product's budget: one token bucket for the ratio and the slack.

    Attributes:
        burst_share: part of the slack that the bucket holds.
    """

    burst_share = retry_budgets.BURST_SHARE

    def __init__(self, *, slack: float, started_at: float):
        super().__init__(slack=slack, started_at=started_at)
        self.budget = retry_budgets.Budget(
            ratio=RATIO,
            slack=slack,
            window_seconds=WINDOW_SECONDS,
            started_at=started_at,
            burst_share=self.burst_share,
        )

    def note_request(self, now: float) -> None:
        """Counts a request."""
        self.budget.note_request(now, 1)

    def try_consume(self, now: float) -> bool:
        """Counts a retry if it is allowed; returns whether it is."""
        return self.budget.try_consume(now, 1)


class QuarterBucket(OneBucket):
    """The same, with a quarter of the slack at once."""

    burst_share = 0.25


class LargeBucket(OneBucket):
    """The same, with three quarters of the slack at once."""

    burst_share = 0.75


class ToldByPeers(Way):
    """No slack until a peer has reported what the former process used.

    A process announces each part of its slack before it uses it.
    """

    def __init__(self, *, slack: float, started_at: float):
        super().__init__(slack=slack, started_at=started_at)
        # Announced uses: time and amount.
        self.announced: list[tuple[float, float]] = []
        self.former: list[tuple[float, float]] | None = None
        self.used = 0.0

    def _announced(self, now: float) -> float:
        uses = self.announced + (self.former or [])
        return sum(
            amount for when, amount in uses if now - when < WINDOW_SECONDS
        )

    def current_slack(self, now: float) -> float:
        """Returns the slack of the current window."""
        return sum(
            amount
            for when, amount in self.announced
            if now - when < WINDOW_SECONDS
        )

    def heartbeat(self, now: float) -> object:
        """Announces the next part; returns all that is announced."""
        old = now - self.started_at >= WINDOW_SECONDS
        if self.former is not None or old:
            part = RESERVED_SHARE * self.slack
            used_up = self.recent(
                self.retries, now
            ) >= retry_budgets.SAFETY_FACTOR * (
                RATIO * self.recent(self.requests, now)
                + self.current_slack(now)
                - part / 2
            )
            if used_up and self._announced(now) + part <= self.slack:
                self.announced.append((now, part))
        return list(self.announced) + (self.former or [])

    def receive_former(self, heartbeat: object) -> None:
        """Handles what the others know of this router's former process."""
        self.former = heartbeat


@attrs.frozen(kw_only=True)
class Scene:
    """When servers shed, which routers are killed, and when clients move.

    Attributes:
        name: name of the scene.
        kills: returns the times and routers of kills, for a number of routers.
        sheds: from when to when servers refuse a part of all attempts.
        moves_at: when the clients of the first half of the routers move to
            the second half.
        span: from when to when requests count as served or not.
    """

    name: str
    kills: Callable[[int], list[tuple[float, list[int]]]] = lambda routers: []
    sheds: tuple[tuple[float, float], ...] = ((1.0, 30.0),)
    moves_at: float = END_SECONDS
    span: tuple[float, float] = (4.0, 16.0)


def _all(*times: float) -> Callable[[int], list[tuple[float, list[int]]]]:
    return lambda routers: [(each, list(range(routers))) for each in times]


def _rolling(seconds: float) -> Callable:
    return lambda routers: [
        (6.0 + seconds * number / routers, [number])
        for number in range(routers)
    ]


CALM = {"sheds": ((11.0, 30.0),), "span": (11.0, 23.0)}
SCENES = (
    Scene(name="no kill"),
    Scene(name="all at 6 s", kills=_all(6.0)),
    Scene(name="all at 4, 7, 10 s", kills=_all(4.0, 7.0, 10.0)),
    Scene(
        name="all each 1.5 s, 8 times",
        kills=_all(*(4.0 + 1.5 * each for each in range(8))),
    ),
    Scene(name="one by one in 8 s", kills=_rolling(8.0)),
    Scene(
        name="one by one in 8 s, twice",
        kills=lambda routers: (
            _rolling(8.0)(routers)
            + [(when + 8.0, who) for when, who in _rolling(8.0)(routers)]
        ),
    ),
    Scene(
        name="half at 6 and 9 s",
        kills=lambda routers: [
            (6.0, list(range(0, routers, 2))),
            (9.0, list(range(0, routers, 2))),
        ],
    ),
    Scene(name="calm until 11 s", **CALM),
    Scene(name="calm, all at 12.5 s", kills=_all(12.5), **CALM),
    Scene(name="calm, all at 13, 15 s", kills=_all(13.0, 15.0), **CALM),
    Scene(name="calm, clients move at 12.5 s", moves_at=12.5, **CALM),
    Scene(
        name="0.5 s of shedding each 5 s",
        sheds=tuple((each, each + 0.5) for each in range(11, 31, 5)),
        span=(11.0, 31.0),
    ),
)
WAYS = (
    HalfAtStart,
    RatioAtStart,
    SlackBucket,
    ShortWindow,
    QuarterBucket,
    OneBucket,
    LargeBucket,
    ToldByPeers,
)


@attrs.define(kw_only=True)
class Outcome:
    """What a run came to.

    Attributes:
        requests: times of requests.
        retries: times of retries.
        served: times of requests that were served.
    """

    requests: list[float] = attrs.field(factory=list)
    retries: list[float] = attrs.field(factory=list)
    served: list[float] = attrs.field(factory=list)

    def worst(self, slack: float) -> float:
        """Returns the most retries of a window, as a part of the allowed."""

        def count(times: list[float], start: float) -> int:
            end = start + WINDOW_SECONDS
            return bisect.bisect(times, end) - bisect.bisect_left(times, start)

        worst = 0.0
        for start in self.retries:
            requests = max(
                count(self.requests, start - shift * WINDOW_SECONDS)
                for shift in (0, 0.5, 1)
            )
            allowed = RATIO * requests + slack
            worst = max(worst, count(self.retries, start) / allowed)
        return worst

    def served_share(self, start: float, end: float) -> float:
        """Returns the served part of the requests of a time span."""
        sent = [each for each in self.requests if start <= each < end]
        done = [each for each in self.served if start <= each < end]
        return len(done) / max(1, len(sent))


class Run:
    """One run of a way in a scene."""

    def __init__(
        self, *, way: type[Way], scene: Scene, routers: int, seed: int
    ):
        self.way = way
        self.scene = scene
        self.random = random.Random(seed)
        self.routers = routers
        self.outcome = Outcome()
        self.order = itertools.count()
        self.queue: list = []
        self.processes: list[Way | None] = [
            self._process(-100.0) for _ in range(routers)
        ]
        self.known = [[None] * routers for _ in range(routers)]
        for when, who in scene.kills(routers):
            self._at(when, self._kill, who)
        for number in range(routers):
            self._at(self.random.random() / RATE, self._request, number)
            self._at(
                HEARTBEAT_SECONDS * self.random.random(),
                self._heartbeat,
                number,
            )

    def _process(self, now: float) -> Way:
        slack = slack_of(self.routers) / self.routers
        return self.way(slack=slack, started_at=now)

    def _at(self, when: float, call: Callable, *arguments: object) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call, arguments))

    def play(self) -> Outcome:
        """Plays the run."""
        while self.queue and self.queue[0][0] < END_SECONDS:
            when, _, call, arguments = heapq.heappop(self.queue)
            call(when, *arguments)
        return self.outcome

    def _kill(self, now: float, who: list[int]) -> None:
        for number in who:
            self.processes[number] = None
            self.known[number] = [None] * self.routers
            self._at(now + RESTART_SECONDS, self._start, number)

    def _start(self, now: float, number: int) -> None:
        self.processes[number] = self._process(now)

    def _heartbeat(self, now: float, number: int) -> None:
        self._at(now + HEARTBEAT_SECONDS, self._heartbeat, number)
        process = self.processes[number]
        if process is None:
            return
        report = process.heartbeat(now)
        for other in range(self.routers):
            if other != number and self.processes[other] is not None:
                self._at(
                    now + HEARTBEAT_DELAY_SECONDS,
                    self._receive,
                    other,
                    number,
                    report,
                    process,
                )

    def _receive(
        self, now: float, own: int, sender: int, report: object, sent_by: Way
    ) -> None:
        former = self.known[own][sender]
        if self.processes[sender] is not sent_by:
            return
        if former is not None and former[0] is not sent_by:
            sent_by.receive_former(former[1])
        self.known[own][sender] = (sent_by, report)

    def _request(self, now: float, number: int) -> None:
        self._at(now + self.random.expovariate(RATE), self._request, number)
        self.outcome.requests.append(now)
        if now >= self.scene.moves_at and number < self.routers // 2:
            number += (self.routers + 1) // 2
        process = self.processes[number]
        if process is not None:
            process.note_request(now)
            self._send(now, number, process, now, 1)

    def _send(
        self, now: float, number: int, process: Way, began: float, sends: int
    ) -> None:
        refuses = any(start <= now < end for start, end in self.scene.sheds)
        if not refuses or self.random.random() >= REFUSED_SHARE:
            self.outcome.served.append(began)
            return
        self._at(
            now + RETRY_SECONDS, self._retry, number, process, began, sends
        )

    def _retry(
        self, now: float, number: int, process: Way, began: float, sends: int
    ) -> None:
        if self.processes[number] is not process or sends >= MAX_SENDS:
            return
        if process.try_consume(now):
            self.outcome.retries.append(now)
            self._send(now, number, process, began, sends + 1)


def main() -> None:
    """Prints the tables."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    for routers in [int(each) for each in sys.argv[2:]] or [4, 22]:
        print(f"\n{routers} routers, {seeds} seeds: worst, served\n")
        print("| scene | " + " | ".join(each.__name__ for each in WAYS) + " |")
        print("| --- |" + " --- |" * len(WAYS))
        for scene in SCENES:
            cells = []
            for way in WAYS:
                runs = [
                    Run(way=way, scene=scene, routers=routers, seed=seed).play()
                    for seed in range(1, seeds + 1)
                ]
                worst = max(each.worst(slack_of(routers)) for each in runs)
                served = sum(each.served_share(*scene.span) for each in runs)
                cells.append(f"{worst:.2f}, {served / seeds:.3f}")
            print(f"| {scene.name} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
