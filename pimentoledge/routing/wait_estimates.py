"""Estimates how long a request waits at a server for its first event."""

import attrs

from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources

# Step time added per running request, at a server of SHARED_STEP_SLOTS slots.
# Servers with more slots share a step among more requests.
SHARED_STEP_SECONDS = 0.0015
SHARED_STEP_SLOTS = 10
# Largest share of the base of the time to a first event that is taken for
# decode steps.
MAX_BASE_STEPS = 0.5
# Wait per request beyond the slots, at a server of QUEUE_SLOTS slots. With more
# slots, one becomes free sooner.
QUEUE_SECONDS = 0.06
QUEUE_SLOTS = 8


@attrs.frozen(kw_only=True)
class PromptWork:
    """A runner's work before a prompt's first event.

    Attributes:
        to_read: tokens to prefill.
        fetch_seconds: time to fetch cached parts from another server.
        duplicate_tokens: tokens of `to_read` that another runner has cached or
            will have prefilled soon.
    """

    to_read: int = 0
    fetch_seconds: float = 0.0
    duplicate_tokens: int = 0


@attrs.frozen(kw_only=True)
class MeanLoad:
    """The mean load of a data centre's runners.

    Attributes:
        busy: requests per runner.
        queued: requests per runner without a first event.
        unread: prompt tokens per runner that are not prefilled yet.
        since: time as of which the means hold.
    """

    busy: float
    queued: float
    unread: float
    since: float


@attrs.frozen(kw_only=True)
class Speeds:
    """Speeds estimated from first events, and the load in other data centres.

    Attributes:
        base_seconds: time to a first event with nothing to prefill.
        token_seconds: additional time for each token to prefill.
        fetch_seconds: time to fetch a token within a data centre.
        mean_unread: mean number of prompt tokens of a request to prefill.
        remote_means: reported mean load of runners by other data centre. The
            load of single runners there is not reported to this router, and
            without the mean they would appear idle.
        per_server: whether each server's own speed counts, as with load
            control.
    """

    base_seconds: float = 0.0
    token_seconds: float = 0.0
    fetch_seconds: float = 0.0
    mean_unread: float = 0.0
    remote_means: dict[str, MeanLoad] = attrs.field(factory=dict)
    per_server: bool = False


def prompt_work(
    *,
    data_centre: str,
    cached: int,
    shared: int,
    unshared: int,
    sources: cache_sources.Sources,
    speeds: Speeds,
) -> PromptWork:
    """Returns a runner's prefill and fetch work for a prompt.

    Args:
        data_centre: the runner's data centre.
        cached: tokens of the shared parts in the runner's cache.
        shared: tokens of the shared parts.
        unshared: tokens that no other request shares.
        sources: where cached parts can be fetched.
        speeds: speeds estimated from first events.
    """
    source = sources.for_runner(data_centre, cached)
    seconds = 0.0
    if source is not None:
        remote = source.data_centre != data_centre
        factor = cache_sources.REMOTE_TRANSFER_FACTOR if remote else 1.0
        seconds = speeds.fetch_seconds * factor * (source.tokens - cached)
        cached = source.tokens
    return PromptWork(
        to_read=unshared + shared - cached,
        fetch_seconds=seconds,
        duplicate_tokens=max(0, sources.pending_tokens - cached),
    )


@attrs.frozen(kw_only=True)
class ExpectedWait:
    """The expected time to a first event at a server, by component.

    Attributes:
        busy: estimated number of requests at the server.
        own_seconds: time for the prompt's own fetch and prefill.
        step_seconds: time for decode steps of running requests and for a slot.
        reader_seconds: time for the prefill of other requests' prompts.
        read_seconds: part of `own_seconds` in which the prompt is prefilled.
        later_seconds: time for the prefill of other requests' prompts after
            this one's first event.
        event_seconds: time between two events of a stream there; 0 if
            unknown.
        delay_seconds: by how much the stream delays the others in that time.
    """

    busy: float
    own_seconds: float
    step_seconds: float
    reader_seconds: float
    read_seconds: float = 0.0
    later_seconds: float = 0.0
    event_seconds: float = 0.0
    delay_seconds: float = 0.0

    @property
    def others_seconds(self) -> float:
        """The part of the wait caused by other requests."""
        return self.step_seconds + self.reader_seconds

    @property
    def seconds(self) -> float:
        """The total wait, a sum because prefills run one after the other."""
        return self.own_seconds + self.others_seconds


def expected_wait(
    backend: backends.Backend, prompt: PromptWork, speeds: Speeds, now: float
) -> ExpectedWait:
    """Returns the expected wait for a request's first event at a server."""
    if speeds.per_server:
        return _wait_by_speed(backend, prompt, speeds, now)
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


def _wait_by_speed(
    backend: backends.Backend, prompt: PromptWork, speeds: Speeds, now: float
) -> ExpectedWait:
    """Returns the expected wait by the server's own speed."""
    slots = max(1, backend.registration.slots)
    step_factor, prefill_factor = backend.speed.factors(now)
    busy = estimated_busy(backend, speeds, now)
    others = min(busy, slots)
    running = min(busy + 1, slots)
    event_seconds = delay_seconds = 0.0
    line = backend.speed.pace.line
    if line is None:
        shared = SHARED_STEP_SLOTS / max(SHARED_STEP_SLOTS, slots)
        steps = SHARED_STEP_SECONDS * running * shared * step_factor
    else:
        base, slope = line
        event_seconds = step_factor * (base + slope * running)
        delay_seconds = step_factor * slope * others
        # The base of the time to a first event includes the mean steps.
        steps = max(
            -MAX_BASE_STEPS * speeds.base_seconds * prefill_factor,
            event_seconds - backend.speed.pace.mean_seconds(),
        )
    queued = QUEUE_SECONDS * max(0, busy + 1 - slots) * QUEUE_SLOTS / slots
    token_seconds = speeds.token_seconds * prefill_factor
    known, ahead = _unread_and_ahead(
        backend, prompt.to_read, speeds, token_seconds, now
    )
    own = speeds.base_seconds * prefill_factor + prompt.fetch_seconds
    return ExpectedWait(
        busy=busy,
        own_seconds=own + token_seconds * prompt.to_read,
        step_seconds=steps + queued * step_factor,
        reader_seconds=token_seconds * ahead,
        read_seconds=token_seconds * prompt.to_read,
        later_seconds=token_seconds * max(0.0, known - ahead),
        event_seconds=event_seconds,
        delay_seconds=delay_seconds,
    )


def estimated_busy(
    backend: backends.Backend, speeds: Speeds, now: float
) -> float:
    """Returns the estimated number of requests at a server."""
    mean = speeds.remote_means.get(backend.registration.data_centre)
    return max(backend.estimated_requests(now), mean.busy if mean else 0)


def tokens_ahead(
    backend: backends.Backend, to_read: int, speeds: Speeds, now: float
) -> float:
    """Returns the tokens of other prompts prefilled before a prompt is done.

    Chunks of prompts are prefilled in turn: of each longer prompt as much is
    prefilled meanwhile as of this one, so a short prompt waits little for a
    long one.
    """
    token_seconds = speeds.token_seconds
    if speeds.per_server:
        token_seconds *= backend.speed.prefill_factor(now)
    return _unread_and_ahead(backend, to_read, speeds, token_seconds, now)[1]


def _unread_and_ahead(
    backend: backends.Backend,
    to_read: int,
    speeds: Speeds,
    token_seconds: float,
    now: float,
) -> tuple[float, float]:
    """Returns the tokens to prefill, and those before a prompt is done."""
    queued = backend.queued(now)
    known = backend.unread(speeds.mean_unread, now, token_seconds)
    mean = speeds.remote_means.get(backend.registration.data_centre)
    if mean is not None and mean.unread > known:
        known, queued = mean.unread, max(queued, mean.queued)
    if not queued:
        return known, 0.0
    return known, queued * min(to_read, known / queued)
