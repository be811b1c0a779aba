"""How long a request waits at a server for its first event."""

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources

# Added for each request that a server has while it has free slots, at a server
# of ten slots; a larger batch shares its step among more.
SHARED_STEP_SECONDS = 0.0015
SHARED_STEP_SLOTS = 10
# For each request beyond its slots, at a server of eight; more slots are free
# sooner.
QUEUE_SECONDS = 0.06
QUEUE_SLOTS = 8


@attrs.frozen(kw_only=True)
class PromptWork:
    """What a runner has to do before a prompt's first event.

    Attributes:
        to_read: tokens that it must read.
        fetch_seconds: to fetch what another server keeps.
        duplicate_tokens: of what it must read, tokens that another runner
            keeps or is about to have read.
    """

    to_read: int = 0
    fetch_seconds: float = 0.0
    duplicate_tokens: int = 0


@attrs.frozen(kw_only=True)
class MeanLoad:
    """What a runner of a data centre has, in the mean.

    Attributes:
        busy: requests.
        queued: requests without an event.
        unread: prompt tokens that it has yet to read.
        since: when that was so.
    """

    busy: float
    queued: float
    unread: float
    since: float


@attrs.frozen(kw_only=True)
class Speeds:
    """What first events have shown.

    Attributes:
        base_seconds: to a first event with nothing to read.
        token_seconds: for each token that is to be read before it.
        fetch_seconds: to fetch a token within a data centre.
        mean_unread: tokens that a request is to have read, in the mean.
        elsewhere: what runners of other data centres have, as told. What
            their own routers sent them is not known one by one here, and one
            of which nothing is known would look idle.
    """

    base_seconds: float = 0.0
    token_seconds: float = 0.0
    fetch_seconds: float = 0.0
    mean_unread: float = 0.0
    elsewhere: dict[str, MeanLoad] = attrs.field(factory=dict)


def prompt_work(
    *,
    data_centre: str,
    held: int,
    shared: int,
    unshared: int,
    sources: cache_sources.Sources,
    speeds: Speeds,
) -> PromptWork:
    """Returns what a runner has to do for a prompt.

    Args:
        data_centre: the runner's.
        held: tokens of the shared parts that it keeps.
        shared: tokens of the shared parts.
        unshared: tokens that no other request shares.
        sources: what can be fetched.
        speeds: what first events have shown.
    """
    source = sources.for_runner(data_centre, held)
    seconds = 0.0
    if source is not None:
        apart = source.data_centre != data_centre
        times = cache_sources.REMOTE_TRANSFER_FACTOR if apart else 1.0
        seconds = speeds.fetch_seconds * times * (source.tokens - held)
        held = source.tokens
    return PromptWork(
        to_read=unshared + shared - held,
        fetch_seconds=seconds,
        duplicate_tokens=max(0, sources.pending_tokens - held),
    )


@attrs.frozen(kw_only=True)
class ExpectedWait:
    """The expected time to a first event at a server, and what it is made of.

    Attributes:
        busy: requests that the server has.
        own_seconds: for the prompt itself.
        step_seconds: for the steps of what runs, and for a slot.
        reader_seconds: for others' prompts, which are read meanwhile.
    """

    busy: float
    own_seconds: float
    step_seconds: float
    reader_seconds: float

    @property
    def others_seconds(self) -> float:
        """What others take of it."""
        return self.step_seconds + self.reader_seconds

    @property
    def seconds(self) -> float:
        """All of it: what is to be read is read one after the other."""
        return self.own_seconds + self.others_seconds


def expected_wait(
    backend: backends.Backend, prompt: PromptWork, speeds: Speeds, now: float
) -> ExpectedWait:
    """Returns the expected time until a first event."""
    slots = max(1, backend.registration.slots)
    busy = estimated_busy(backend, speeds, now)
    shared = SHARED_STEP_SLOTS / max(SHARED_STEP_SLOTS, slots)
    steps = SHARED_STEP_SECONDS * min(busy, slots) * shared
    queued = QUEUE_SECONDS * max(0, busy + 1 - slots) * QUEUE_SLOTS / slots
    ahead = tokens_ahead(backend, prompt.to_read, speeds, now)
    own = speeds.base_seconds + prompt.fetch_seconds
    return ExpectedWait(
        busy=busy,
        own_seconds=own + speeds.token_seconds * prompt.to_read,
        step_seconds=steps + queued,
        reader_seconds=speeds.token_seconds * ahead,
    )


def estimated_busy(
    backend: backends.Backend, speeds: Speeds, now: float
) -> float:
    """Returns how many requests a server is believed to have."""
    mean = speeds.elsewhere.get(backend.registration.data_centre)
    return max(backend.estimated_requests(now), mean.busy if mean else 0)


def tokens_ahead(
    backend: backends.Backend, to_read: int, speeds: Speeds, now: float
) -> float:
    """Returns how many tokens of others a server reads before a prompt.

    Chunks of prompts are read in turn: of a longer prompt as much is read
    meanwhile as of this one, and a short prompt waits little for a long one.
    """
    queued = backend.queued(now)
    known = backend.unread(speeds.mean_unread, now, speeds.token_seconds)
    mean = speeds.elsewhere.get(backend.registration.data_centre)
    if mean is not None and mean.unread > known:
        known, queued = mean.unread, max(queued, mean.queued)
    if not queued:
        return 0.0
    return queued * min(to_read, known / queued)
