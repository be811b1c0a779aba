"""Synthetic workloads with nested shared prompt prefixes.

Two deployments, each with a pool of large and a pool of small runners:

* manuals: mostly interactive questions about service manuals, nested by brand,
  model and year; short quotes go to the small runners.
* dossiers: batch checks of a lot's dossier against a rule set, with interactive
  notes on the same runners; short quotes go to the small runners.
"""

import bisect
import enum
import functools
import itertools
import random

import attrs

from pimentoledge.decisions import declarations
from pimentoledge.decisions import prefixes

ENTRIES = 4
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ORGANISATIONS = 8
BLOCK_BYTES = 256
TOKEN_BYTES = 4
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
WEIGHTS = "w1"
DURATION_SECONDS = 60.0
WARM_UP_SECONDS = 10.0
FAULT_AT = 30.0

INTERACTIVE = declarations.Priority.INTERACTIVE
BATCH = declarations.Priority.BATCH
_DEADLINES = {INTERACTIVE: 10.0, BATCH: 120.0}


class Deployment(enum.StrEnum):
    """Name of one of the two workloads."""

    MANUALS = "manuals"
    DOSSIERS = "dossiers"


@attrs.frozen(kw_only=True)
class RunnerPool:
    """A pool of equal runners of one model.

    Attributes:
        model: model name.
        runners: number of runners.
        cache_tokens: capacity of one runner's prefix cache in tokens.
        token_seconds: prefill time of one uncached token.
        step_seconds: time of one batch step without prefill.
        slots: maximum number of requests in one runner's batch.
    """

    model: str
    runners: int
    cache_tokens: int
    token_seconds: float
    step_seconds: float
    slots: int


_LARGE = RunnerPool(
    model="large",
    runners=9,
    cache_tokens=96_000,
    token_seconds=0.00012,
    step_seconds=0.02,
    slots=16,
)
_SMALL = RunnerPool(
    model="small",
    runners=3,
    cache_tokens=24_000,
    token_seconds=0.00005,
    step_seconds=0.01,
    slots=16,
)
POOLS = {
    Deployment.MANUALS: (_LARGE, _SMALL),
    Deployment.DOSSIERS: (attrs.evolve(_LARGE, runners=5), _SMALL),
}


@attrs.frozen(kw_only=True)
class Arrival:
    """A request as it reaches an entry.

    Attributes:
        request: request id.
        at: time of arrival.
        entry: number of the entry that the load balancer chose.
        organisation: organisation of the request.
        model: model name.
        priority: priority of the request.
        blocks: chained digests of the prompt's blocks.
        prompt_tokens: tokens in the prompt.
        output_tokens: tokens that will be generated.
        deadline: seconds that the caller allows.
    """

    request: str
    at: float
    entry: int
    organisation: str
    model: str
    priority: declarations.Priority
    blocks: list[bytes]
    prompt_tokens: int
    output_tokens: int
    deadline: float


class Zipf:
    """Draws integers from a Zipf distribution.

    Attributes:
        cumulative: cumulative weights of the integers.
    """

    def __init__(self, *, count: int, exponent: float):
        weights = [1 / (each + 1) ** exponent for each in range(count)]
        self.cumulative = list(itertools.accumulate(weights))

    def draw(self, rng: random.Random) -> int:
        """Returns a number from 0 to count - 1."""
        point = rng.random() * self.cumulative[-1]
        return bisect.bisect(self.cumulative, point)


@functools.cache
def _segment(name: str, tokens: int) -> bytes:
    """Returns random text; the same name gives the same text."""
    return random.Random(name).randbytes(tokens * TOKEN_BYTES)


def _length(name: str, min_tokens: int, max_tokens: int) -> int:
    return random.Random(name).randint(min_tokens, max_tokens)


class Generator:
    """Generates the arrivals of one deployment and one seed.

    Attributes:
        seed: random seed.
        rng: random generator.
        organisations: draws an organisation; a few are large.
        shift: whether about half of the large runners' work goes to one prefix,
            not cached until then, from FAULT_AT on.
        arrivals: the generated arrivals.
    """

    def __init__(self, *, seed: int, shift: bool):
        self.seed = seed
        self.rng = random.Random(seed)
        self.organisations = Zipf(count=ORGANISATIONS, exponent=1.1)
        self.shift = shift
        self.arrivals: list[Arrival] = []

    def draws_hot_prefix(self, at: float, share: float) -> bool:
        """Draws whether a request goes to the newly hot prefix."""
        return self.shift and at >= FAULT_AT and self.rng.random() < share

    def add(
        self,
        at: float,
        organisation: int,
        model: str,
        priority: declarations.Priority,
        segments: list[bytes],
        output_tokens: int,
    ):
        """Adds a request whose prompt consists of the segments."""
        # The seed in the name makes the prompts of each seed hash to other
        # servers.
        name = f"org-{self.seed}-{organisation}"
        salt = prefixes.salt(
            organisation=name, model=model, adapter="", weights=WEIGHTS
        )
        text = b"".join(segments)
        blocks = prefixes.chain(salt=salt, text=text, block_bytes=BLOCK_BYTES)
        arrival = Arrival(
            request="",
            at=at,
            entry=self.rng.randrange(ENTRIES),
            organisation=name,
            model=model,
            priority=priority,
            blocks=blocks,
            prompt_tokens=len(text) // TOKEN_BYTES,
            output_tokens=output_tokens,
            deadline=_DEADLINES[priority],
        )
        self.arrivals.append(arrival)

    def unique_tail(self, min_tokens: int, max_tokens: int) -> bytes:
        """Returns text that no other request has."""
        return self.rng.randbytes(
            self.rng.randint(min_tokens, max_tokens) * TOKEN_BYTES
        )

    def arrival_times(self, rate: float):
        """Yields Poisson arrivals of a rate per second."""
        at = self.rng.expovariate(rate)
        while at < DURATION_SECONDS:
            yield at
            at += self.rng.expovariate(rate)

    def manuals(self, rate: float):
        """Adds questions about manuals, 15 % of them with batch priority."""
        brands = Zipf(count=4, exponent=1.0)
        models = Zipf(count=6, exponent=1.0)
        years = Zipf(count=3, exponent=0.7)
        for at in self.arrival_times(rate):
            prefix = (
                self.organisations.draw(self.rng),
                brands.draw(self.rng),
                models.draw(self.rng),
                years.draw(self.rng),
            )
            if self.draws_hot_prefix(at, 0.6):
                prefix = (1, 3, 5, 2)
            priority = BATCH if self.rng.random() < 0.15 else INTERACTIVE
            org, brand, model, year = prefix
            segments = [
                _segment_between(f"preamble {org}", 300, 500),
                _segment_between(f"brand {org} {brand}", 1000, 2000),
                _segment_between(f"model {org} {brand} {model}", 2000, 4000),
                _segment_between(f"year {prefix}", 800, 1600),
                self.unique_tail(80, 400),
            ]
            output = self.rng.randint(30, 120)
            self.add(at, org, "large", priority, segments, output)

    def quotes(self, rate: float):
        """Adds short interactive quotes for the small runners."""
        lists = Zipf(count=4, exponent=0.8)
        for at in self.arrival_times(rate):
            org = self.organisations.draw(self.rng)
            number = lists.draw(self.rng)
            segments = [
                _segment_between(f"counter {org}", 300, 600),
                _segment_between(f"list {org} {number}", 500, 1200),
                self.unique_tail(50, 250),
            ]
            output = self.rng.randint(30, 100)
            self.add(at, org, "small", INTERACTIVE, segments, output)

    def dossiers(self, rate: float):
        """Adds batch checks of lots, several per lot within some seconds."""
        rules = Zipf(count=3, exponent=1.5)
        checks_per_lot = 8
        for start in self.arrival_times(rate / checks_per_lot):
            org = self.organisations.draw(self.rng)
            rule = rules.draw(self.rng)
            if self.draws_hot_prefix(start, 0.5):
                org, rule = 2, 2
            shared = [
                _segment_between(f"rules {org} {rule}", 3000, 6000),
                self.unique_tail(1500, 5000),
            ]
            at = start
            for _ in range(self.rng.randint(2, 2 * checks_per_lot - 2)):
                segments = [*shared, self.unique_tail(60, 200)]
                self.add(at, org, "large", BATCH, segments, 2)
                at += self.rng.expovariate(0.8)

    def notes(self, rate: float):
        """Adds interactive notes for the runners of the batch checks."""
        templates = Zipf(count=3, exponent=1.0)
        for at in self.arrival_times(rate):
            org = self.organisations.draw(self.rng)
            number = templates.draw(self.rng)
            segments = [
                _segment_between(f"desk {org}", 400, 800),
                _segment_between(f"template {org} {number}", 600, 1200),
                self.unique_tail(50, 200),
            ]
            output = self.rng.randint(30, 80)
            self.add(at, org, "large", INTERACTIVE, segments, output)


def _segment_between(name: str, min_tokens: int, max_tokens: int) -> bytes:
    return _segment(name, _length(name, min_tokens, max_tokens))


@functools.cache
def arrivals(
    deployment: Deployment, seed: int, shift: bool, load: float
) -> tuple[Arrival, ...]:
    """Returns the arrivals of a workload in order of time.

    Args:
        deployment: the workload.
        seed: random seed.
        shift: whether the hot prefix changes at FAULT_AT.
        load: factor on all rates.
    """
    generator = Generator(seed=seed, shift=shift)
    match deployment:
        case Deployment.MANUALS:
            generator.manuals(rate=14.0 * load)
            generator.quotes(rate=14.0 * load)
        case Deployment.DOSSIERS:
            generator.dossiers(rate=12.0 * load)
            generator.notes(rate=4.0 * load)
            generator.quotes(rate=14.0 * load)
    ordered = sorted(generator.arrivals, key=lambda each: each.at)
    in_time = [each for each in ordered if each.at < DURATION_SECONDS]
    return tuple(
        attrs.evolve(each, request=f"r{number}")
        for number, each in enumerate(in_time)
    )
