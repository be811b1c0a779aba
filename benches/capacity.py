"""Measures the slopes that the figures of docs/CAPACITY.md are based on.

python -m benches.capacity [NAME ...] runs the named measurements, or all,
and prints for each its points and the line fitted to them. Processor time is
that of this process (time.process_time). Memory is what tracemalloc counts,
except for connections, which are measured by the process's resident memory.
"""

from collections.abc import Callable
import functools
import gc
import hashlib
import pathlib
import statistics
import sys
import time
import tracemalloc

import attrs

from pimentoledge.callers import replies
from pimentoledge.decisions import actions
from pimentoledge.decisions import agent_subscriptions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import entries
from pimentoledge.decisions import events
from pimentoledge.decisions import placement
from pimentoledge.decisions import stores
from pimentoledge.nodes import codecs
from pimentoledge.nodes import configuration_messages
from pimentoledge.nodes import mailboxes
from pimentoledge.nodes import messages

REPEATS = 3
KEY_DIGEST = hashlib.blake2b(b"key", digest_size=32).hexdigest()
MICROSECONDS_PER_SECOND = 1e6
PAGE_BYTES = 4096


@attrs.define(kw_only=True)
class Series:
    """Points of a measurement, printed with a line fitted to them.

    Attributes:
        title: what is measured, and by what it varies.
        unit: unit of the second coordinate.
        points: pairs of the varied quantity and the measured value.
    """

    title: str
    unit: str
    points: list[tuple[float, float]]

    def print_fit(self) -> None:
        """Prints the points and the fitted line."""
        xs, ys = zip(*self.points, strict=True)
        fit = statistics.linear_regression(xs, ys)
        print(f"{self.title}")
        for x, y in self.points:
            print(f"    {x:>10,.0f}  {y:>14,.3f} {self.unit}")
        print(
            f"    fit: {fit.slope:,.5f} {self.unit} each"
            f" + {fit.intercept:,.3f} {self.unit}\n"
        )


def min_cpu_us(function: Callable[[], object], count: int) -> float:
    """Returns the processor time of a call, the least mean of REPEATS, in us.

    Each mean is over `count` calls.
    """
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            function()
        best = min(best, time.process_time() - started)
    return best / count * MICROSECONDS_PER_SECOND


def stored_object(
    number: int, declaration: declarations.Declaration
) -> stores.Object:
    """Returns a declaration as an object of the store."""
    return stores.Object(
        path=declarations.path_of(declaration),
        version=number,
        value=declarations.encode(declaration),
    )


def build_configuration(servers: int) -> configuration.Configuration:
    """Returns a configuration with one model and its backend servers."""
    declared: list[declarations.Declaration] = [
        declarations.Model(name="m", weights="w1"),
        declarations.Contract(
            organisation="o", key_digests=[KEY_DIGEST], models=["m"]
        ),
    ]
    declared += [backend_server(number) for number in range(servers)]
    built = configuration.Configuration()
    built.apply(
        [
            stored_object(number + 1, each)
            for number, each in enumerate(declared)
        ]
    )
    return built


def backend_server(number: int) -> declarations.BackendServer:
    """Returns the declaration of a runner."""
    return declarations.BackendServer(
        name=f"runner-{number}",
        serves="m",
        agent=f"tcp://10.0.{number // 250}.{number % 250}:7100",
        data_centre=f"dc-{number % 15}",
    )


def build_entry(servers: int) -> entries.Entry:
    """Returns an entry whose configuration is complete."""
    return entries.Entry(
        name="e",
        address="tcp://10.9.0.1:7000",
        data_centre="dc-0",
        seed=1,
        block_bytes=256,
        view=build_configuration(servers),
        seeds=[],
    )


def healthy_status(name: str) -> messages.ServerStatus:
    """Returns the status that a healthy runner reports."""
    return messages.ServerStatus(
        server=name,
        incarnation="i" * 16,
        weights="w1",
        slots=64,
        token_seconds=0.0001,
        step_seconds=0.032,
    )


class Driver:
    """Sends requests through an entry's state machine.

    Attributes:
        entry: the entry.
        now: the time passed to it.
        request_count: requests so far.
    """

    def __init__(self, *, servers: int):
        self.entry = build_entry(servers)
        self.now = 100.0
        self.request_count = 0

    def open_request(self, prompt: str) -> messages.Dispatch:
        """Opens a request, admits it and returns its dispatch."""
        self.request_count += 1
        self.now += 0.001
        request = events.CallerRequest(
            request=f"r{self.request_count}",
            key_digest=KEY_DIGEST,
            completion=messages.Completion(
                model="m", prompt=prompt, max_tokens=480
            ),
        )
        outputs = self.entry.handle(request, self.now)
        sends = [each for each in outputs if isinstance(each, actions.Send)]
        dispatch = next(
            each.message
            for each in sends
            if isinstance(each.message, messages.Dispatch)
        )
        self.deliver(
            dispatch,
            messages.Admitted(
                request=dispatch.request,
                attempt=dispatch.attempt,
                truth=healthy_status(dispatch.server),
            ),
        )
        return dispatch

    def deliver(
        self, dispatch: messages.Dispatch, message: object
    ) -> list[actions.Action]:
        """Delivers a message from a dispatch's agent to the entry."""
        agent = self.entry.configuration.server(dispatch.server).agent
        event = events.FromNode(sender=agent, message=message)
        return self.entry.handle(event, self.now)

    def finish(self, dispatch: messages.Dispatch, sequence: int = 0) -> None:
        """Finishes a request successfully."""
        message = messages.Finished(
            request=dispatch.request,
            attempt=dispatch.attempt,
            sequence=sequence,
            reason="stop",
            prompt_tokens=10,
            cached_tokens=0,
            completion_tokens=0,
            truth=healthy_status(dispatch.server),
        )
        self.deliver(dispatch, message)

    def complete_request(self, prompt: str) -> None:
        """Opens and finishes a request that generates no tokens."""
        self.finish(self.open_request(prompt))


def request_by_prompt() -> list[Series]:
    """Measures processor time of a request by the length of its prompt."""
    points = []
    for kilobytes in (1, 4, 16, 64):
        driver = Driver(servers=10)
        prompt = "x" * (kilobytes * 1024)
        cost = min_cpu_us(
            functools.partial(driver.complete_request, prompt), 300
        )
        points.append((kilobytes, cost))
    title = "entry: processor time of a request, by KB of prompt, 10 runners"
    return [Series(title=title, unit="us", points=points)]


def request_by_runners() -> list[Series]:
    """Measures processor time of a request by its model's runners."""
    points = []
    for servers in (10, 150, 700, 2400):
        driver = Driver(servers=servers)
        for number in range(servers):
            driver.entry.learn(healthy_status(f"runner-{number}"), driver.now)
        cost = min_cpu_us(
            functools.partial(driver.complete_request, "x" * 8192), 60
        )
        points.append((servers, cost))
    title = "entry: processor time of a request, by runners of its model, 8 KB"
    return [Series(title=title, unit="us", points=points)]


def frames_by_batch() -> list[Series]:
    """Measures processor time of a Frames message by its frames."""
    points = []
    for size in (1, 8, 32, 64):
        driver = Driver(servers=1)
        opened = [driver.open_request("x" * 512) for _ in range(size)]
        sequences = iter(range(10**9))

        def deliver_frames(driver=driver, opened=opened, sequences=sequences):
            sequence = next(sequences)
            frames = [
                messages.Frame(
                    request=each.request,
                    attempt=1,
                    sequence=sequence,
                    text=" word",
                )
                for each in opened
            ]
            data = codecs.CODEC.encode(
                messages.Frames(frames=frames),
                sender=driver.entry.configuration.server("runner-0").agent,
                configuration=1,
            )
            driver.entry.handle(codecs.CODEC.decode(data).unwrap(), driver.now)

        points.append((size, min_cpu_us(deliver_frames, 2000)))
    title = (
        "agent and entry: processor time of a message of frames, encoded,"
        " decoded and ordered, by its frames"
    )
    return [Series(title=title, unit="us", points=points)]


def reply_queue() -> list[Series]:
    """Measures processor time of texts passed through a reply queue."""
    points = []
    for text_count in (1, 4, 16):
        queue = replies.ReplyQueue(limit_bytes=1 << 20)
        text = actions.ReplyText(request="r", text=" word", tokens=1)

        def put_and_get(queue=queue, text=text, text_count=text_count):
            for _ in range(text_count):
                queue.put(text)
            queue.get_all(0)

        points.append((text_count, min_cpu_us(put_and_get, 5000)))
    title = "entry: processor time of putting and taking texts, by their number"
    return [Series(title=title, unit="us", points=points)]


def message_bytes() -> list[Series]:
    """Measures bytes of a dispatch by its prompt, of Frames by its frames."""
    prompts, frames = [], []
    for kilobytes in (1, 4, 16):
        driver = Driver(servers=1)
        dispatch = driver.open_request("x" * kilobytes * 1024)
        data = codecs.CODEC.encode(
            dispatch, sender="tcp://10.9.0.1:7000", configuration=1
        )
        prompts.append((kilobytes, float(len(data))))
    for size in (1, 8, 64):
        batch = [
            messages.Frame(
                request="0123456789abcdef-1",
                attempt=1,
                sequence=9,
                text=" word",
            )
            for _ in range(size)
        ]
        data = codecs.CODEC.encode(
            messages.Frames(frames=batch),
            sender="tcp://10.9.0.1:7000",
            configuration=1,
        )
        frames.append((size, float(len(data))))
    return [
        Series(
            title="bytes of a dispatch, by KB of prompt",
            unit="B",
            points=prompts,
        ),
        Series(
            title="bytes of a message, by its frames", unit="B", points=frames
        ),
    ]


def traced_bytes(
    build: Callable[[int], object], sizes: tuple[int, ...]
) -> list:
    """Returns pairs of a size and the bytes of what `build` makes for it."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        built = build(size)
        gc.collect()
        points.append((size, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del built
    return points


def memory_of_requests() -> list[Series]:
    """Measures memory of open requests in an entry's state machine."""

    def build(size: int) -> Driver:
        driver = Driver(servers=10)
        for number in range(size):
            driver.open_request(f"{number} " + "x" * 8192)
        return driver

    title = "entry: bytes of open requests with 8 KB prompts, by their number"
    points = traced_bytes(build, (50, 200, 500))
    return [Series(title=title, unit="B", points=points)]


def memory_of_loads() -> list[Series]:
    """Measures memory of an entry's records about runners that reported."""

    def build(size: int) -> Driver:
        driver = Driver(servers=1)
        for number in range(size):
            driver.entry.learn(healthy_status(f"runner-{number}"), 1.0)
        return driver

    title = (
        "entry: bytes of load and membership records, by runners that reported"
    )
    points = traced_bytes(build, (100, 1000, 4000))
    return [Series(title=title, unit="B", points=points)]


def memory_of_servers() -> list[Series]:
    """Measures memory of declared backend servers in a node."""
    title = "entry: bytes of declared backend servers, by their number"
    points = traced_bytes(build_configuration, (1000, 4000, 12000))
    return [Series(title=title, unit="B", points=points)]


def memory_of_hints() -> list[Series]:
    """Measures memory of an entry's hints about cached prefixes."""

    def build(size: int) -> placement.Placer:
        driver = Driver(servers=10)
        for number in range(size):
            driver.complete_request(f"{number} " + "x" * 8192)
        return driver.entry.placer

    title = "entry: bytes of hints, by distinct prompts of 8 KB (32 blocks)"
    points = traced_bytes(build, (100, 400, 1000))
    return [Series(title=title, unit="B", points=points)]


def polls() -> list[Series]:
    """Measures time and bytes of an agent's poll by declared servers."""
    times, sizes = [], []
    for servers in (100, 1000, 12000):
        subscriptions = agent_subscriptions.AgentSubscriptions(
            address="tcp://10.9.0.1:7000", view=build_configuration(servers)
        )
        subscriptions.declare(
            [f"tcp://10.9.0.{each}:7000" for each in range(24)]
        )
        own_path = declarations.path_of(backend_server(5))
        versions = [(own_path, 10**6), ("declared/models/m", 10**6)]
        poll = configuration_messages.Poll(
            server="runner-5", versions=versions, held=[]
        )
        sender = backend_server(5).agent
        poll_once = functools.partial(subscriptions.on_poll, poll, sender, 1.0)
        (answer,) = poll_once()
        poll.held = answer.message.held
        times.append((servers, min_cpu_us(poll_once, 500)))
        encoded = [
            codecs.CODEC.encode(each, sender=sender, configuration=1)
            for each in (poll, answer.message)
        ]
        sizes.append((servers, float(sum(map(len, encoded)))))
    title = "entry: processor time of an agent's poll, by declared servers"
    return [
        Series(title=title, unit="us", points=times),
        Series(title="bytes of a poll and its answer", unit="B", points=sizes),
    ]


def resident_bytes() -> float:
    """Returns the resident memory of this process in bytes."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return float(pages) * PAGE_BYTES


def connections() -> list[Series]:
    """Measures resident memory of connections between mailboxes."""
    points, before, opened = [], resident_bytes(), []
    sender = mailboxes.Mailbox(
        address="tcp://127.0.0.1:0", deliver=lambda event: None
    )
    sender.start()
    for target in (25, 50, 100, 200):
        while len(opened) < target:
            peer = mailboxes.Mailbox(
                address="tcp://127.0.0.1:0", deliver=lambda event: None
            )
            peer.start()
            opened.append(peer)
            sender.open(peer.address, time.monotonic())
        time.sleep(0.5)
        points.append((target, resident_bytes() - before))
    sender.close()
    for peer in opened:
        peer.close()
    title = "node: resident bytes of connections, both ends in one process"
    return [Series(title=title, unit="B", points=points)]


MEASUREMENTS = (
    request_by_prompt,
    request_by_runners,
    frames_by_batch,
    reply_queue,
    message_bytes,
    memory_of_requests,
    memory_of_loads,
    memory_of_servers,
    memory_of_hints,
    polls,
    connections,
)


def main() -> None:
    """Runs the measurements named on the command line, or all."""
    names = sys.argv[1:]
    for measurement in MEASUREMENTS:
        if not names or measurement.__name__ in names:
            for series in measurement():
                series.print_fit()


if __name__ == "__main__":
    main()
