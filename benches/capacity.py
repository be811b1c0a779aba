"""Measures the slopes that docs/CAPACITY.md is worked out from.

python -m benches.capacity [NAME ...] runs the named measurements, or all,
and prints for each its points and the line fitted to them. Processor time is
that of this process (time.process_time), memory what tracemalloc counts, but
for connections, where it is the process's resident memory.
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
KEY = hashlib.blake2b(b"key", digest_size=32).hexdigest()
MICRO = 1e6
PAGE_BYTES = 4096


@attrs.define(kw_only=True)
class Line:
    """Points of a measurement, and the line fitted to them.

    Attributes:
        what: what grows with what.
        unit: unit of the second coordinate.
        points: measured pairs.
    """

    what: str
    unit: str
    points: list[tuple[float, float]]

    def show(self) -> None:
        """Prints the points and the fit."""
        xs, ys = zip(*self.points, strict=True)
        fit = statistics.linear_regression(xs, ys)
        print(f"{self.what}")
        for x, y in self.points:
            print(f"    {x:>10,.0f}  {y:>14,.3f} {self.unit}")
        print(
            f"    fit: {fit.slope:,.5f} {self.unit} each"
            f" + {fit.intercept:,.3f} {self.unit}\n"
        )


def cpu(function: Callable[[], object], count: int) -> float:
    """Returns the least processor time of one of `count` runs, in us."""
    best = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(count):
            function()
        best = min(best, time.process_time() - started)
    return best / count * MICRO


def stored(number: int, declaration: declarations.Declaration) -> stores.Object:
    """Returns a declaration as the store would hold it."""
    return stores.Object(
        path=declarations.path_of(declaration),
        version=number,
        value=declarations.encode(declaration),
    )


def view(servers: int) -> configuration.Configuration:
    """Returns a configuration with one model and its servers."""
    declared: list[declarations.Declaration] = [
        declarations.Model(name="m", weights="w1"),
        declarations.Contract(
            organisation="o", key_digests=[KEY], models=["m"]
        ),
    ]
    declared += [server(number) for number in range(servers)]
    made = configuration.Configuration()
    made.apply(
        [stored(number + 1, each) for number, each in enumerate(declared)]
    )
    return made


def server(number: int) -> declarations.BackendServer:
    """Returns a declared runner."""
    return declarations.BackendServer(
        name=f"runner-{number}",
        serves="m",
        agent=f"tcp://10.0.{number // 250}.{number % 250}:7100",
        data_centre=f"dc-{number % 15}",
    )


def entry(servers: int) -> entries.Entry:
    """Returns an entry that knows its configuration."""
    return entries.Entry(
        name="e",
        address="tcp://10.9.0.1:7000",
        data_centre="dc-0",
        seed=1,
        block_bytes=256,
        view=view(servers),
        seeds=[],
    )


def truth(name: str) -> messages.ServerStatus:
    """Returns a truth that a healthy runner would tell."""
    return messages.ServerStatus(
        server=name,
        incarnation="i" * 16,
        weights="w1",
        slots=64,
        token_seconds=0.0001,
        step_seconds=0.032,
    )


class Driver:
    """Puts requests through an entry's state machine.

    Attributes:
        core: the entry.
        now: the time given to it.
        numbers: requests so far.
    """

    def __init__(self, *, servers: int):
        self.core = entry(servers)
        self.now = 100.0
        self.numbers = 0

    def open(self, prompt: str) -> messages.Dispatch:
        """Sends one request in; returns its dispatch, admitted."""
        self.numbers += 1
        self.now += 0.001
        request = events.CallerRequest(
            request=f"r{self.numbers}",
            key_digest=KEY,
            completion=messages.Completion(
                model="m", prompt=prompt, max_tokens=480
            ),
        )
        todo = self.core.handle(request, self.now)
        sends = [each for each in todo if isinstance(each, actions.Send)]
        dispatch = next(
            each.message
            for each in sends
            if isinstance(each.message, messages.Dispatch)
        )
        self.tell(
            dispatch,
            messages.Admitted(
                request=dispatch.request,
                attempt=dispatch.attempt,
                truth=truth(dispatch.server),
            ),
        )
        return dispatch

    def tell(
        self, dispatch: messages.Dispatch, message: object
    ) -> list[actions.Action]:
        """Gives the entry a message of a dispatch's agent."""
        agent = self.core.configuration.server(dispatch.server).agent
        event = events.FromNode(sender=agent, message=message)
        return self.core.handle(event, self.now)

    def finish(self, dispatch: messages.Dispatch, sequence: int = 0) -> None:
        """Ends a request well."""
        message = messages.Finished(
            request=dispatch.request,
            attempt=dispatch.attempt,
            sequence=sequence,
            reason="stop",
            prompt_tokens=10,
            cached_tokens=0,
            completion_tokens=0,
            truth=truth(dispatch.server),
        )
        self.tell(dispatch, message)

    def whole(self, prompt: str) -> None:
        """Puts one request through, without its tokens."""
        self.finish(self.open(prompt))


def request_by_prompt() -> list[Line]:
    """Processor time of a request by the length of its prompt."""
    points = []
    for kilobytes in (1, 4, 16, 64):
        driver = Driver(servers=10)
        prompt = "x" * (kilobytes * 1024)
        cost = cpu(functools.partial(driver.whole, prompt), 300)
        points.append((kilobytes, cost))
    what = "entry: processor time of a request, by KB of prompt, 10 runners"
    return [Line(what=what, unit="us", points=points)]


def request_by_runners() -> list[Line]:
    """Processor time of a request by the number of the model's runners."""
    points = []
    for servers in (10, 150, 700, 2400):
        driver = Driver(servers=servers)
        for number in range(servers):
            driver.core.learn(truth(f"runner-{number}"), driver.now)
        cost = cpu(functools.partial(driver.whole, "x" * 8192), 60)
        points.append((servers, cost))
    what = "entry: processor time of a request, by runners of its model, 8 KB"
    return [Line(what=what, unit="us", points=points)]


def frames_by_batch() -> list[Line]:
    """Processor time of a message of frames, decoded and ordered."""
    points = []
    for size in (1, 8, 32, 64):
        driver = Driver(servers=1)
        opened = [driver.open("x" * 512) for _ in range(size)]
        sequences = iter(range(10**9))

        def one(driver=driver, opened=opened, sequences=sequences):
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
                sender=driver.core.configuration.server("runner-0").agent,
                configuration=1,
            )
            driver.core.handle(codecs.CODEC.decode(data).unwrap(), driver.now)

        points.append((size, cpu(one, 2000)))
    what = (
        "agent and entry: processor time of a message of frames, encoded,"
        " decoded and ordered, by its frames"
    )
    return [Line(what=what, unit="us", points=points)]


def reply_queue() -> list[Line]:
    """Processor time of a token from the state machine to its thread."""
    points = []
    for pieces in (1, 4, 16):
        waiting = replies.ReplyQueue(limit_bytes=1 << 20)
        text = actions.ReplyText(request="r", text=" word", tokens=1)

        def one(waiting=waiting, text=text, pieces=pieces):
            for _ in range(pieces):
                waiting.put(text)
            waiting.get_all(0)

        points.append((pieces, cpu(one, 5000)))
    what = "entry: processor time of putting and taking texts, by their number"
    return [Line(what=what, unit="us", points=points)]


def message_bytes() -> list[Line]:
    """Bytes of the messages of a request, by its prompt and its frames."""
    prompts, frames = [], []
    for kilobytes in (1, 4, 16):
        driver = Driver(servers=1)
        dispatch = driver.open("x" * kilobytes * 1024)
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
        Line(
            what="bytes of a dispatch, by KB of prompt",
            unit="B",
            points=prompts,
        ),
        Line(what="bytes of a message, by its frames", unit="B", points=frames),
    ]


def held(build: Callable[[int], object], sizes: tuple[int, ...]) -> list:
    """Returns (size, bytes held by what `build` returns for it)."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        kept = build(size)
        gc.collect()
        points.append((size, float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del kept
    return points


def memory_of_requests() -> list[Line]:
    """Memory of open requests at an entry's state machine."""

    def build(size: int) -> Driver:
        driver = Driver(servers=10)
        for number in range(size):
            driver.open(f"{number} " + "x" * 8192)
        return driver

    what = "entry: bytes of open requests with 8 KB prompts, by their number"
    points = held(build, (50, 200, 500))
    return [Line(what=what, unit="B", points=points)]


def memory_of_loads() -> list[Line]:
    """Memory of what an entry knows of the runners it has heard of."""

    def build(size: int) -> Driver:
        driver = Driver(servers=1)
        for number in range(size):
            driver.core.learn(truth(f"runner-{number}"), 1.0)
        return driver

    what = "entry: bytes of load and membership knowledge, by runners heard of"
    points = held(build, (100, 1000, 4000))
    return [Line(what=what, unit="B", points=points)]


def memory_of_servers() -> list[Line]:
    """Memory of the declared backend servers at a node."""
    what = "entry: bytes of declared backend servers, by their number"
    points = held(view, (1000, 4000, 12000))
    return [Line(what=what, unit="B", points=points)]


def memory_of_hints() -> list[Line]:
    """Memory of an entry's hints about cached prefixes."""

    def build(size: int) -> placement.Placer:
        driver = Driver(servers=10)
        for number in range(size):
            driver.whole(f"{number} " + "x" * 8192)
        return driver.core.placer

    what = "entry: bytes of hints, by distinct prompts of 8 KB (32 blocks)"
    points = held(build, (100, 400, 1000))
    return [Line(what=what, unit="B", points=points)]


def polls() -> list[Line]:
    """Processor time and bytes of an agent's poll, by declared servers."""
    times, sizes = [], []
    for servers in (100, 1000, 12000):
        served = agent_subscriptions.AgentSubscriptions(
            address="tcp://10.9.0.1:7000", view=view(servers)
        )
        served.declare([f"tcp://10.9.0.{each}:7000" for each in range(24)])
        own = declarations.path_of(server(5))
        versions = [(own, 10**6), ("declared/models/m", 10**6)]
        poll = configuration_messages.Poll(
            server="runner-5", versions=versions, held=[]
        )
        sender = server(5).agent
        one = functools.partial(served.on_poll, poll, sender, 1.0)
        (answer,) = one()
        poll.held = answer.message.held
        times.append((servers, cpu(one, 500)))
        both = [
            codecs.CODEC.encode(each, sender=sender, configuration=1)
            for each in (poll, answer.message)
        ]
        sizes.append((servers, float(sum(map(len, both)))))
    what = "entry: processor time of an agent's poll, by declared servers"
    return [
        Line(what=what, unit="us", points=times),
        Line(what="bytes of a poll and its answer", unit="B", points=sizes),
    ]


def resident() -> float:
    """Returns the resident memory of this process in bytes."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return float(pages) * PAGE_BYTES


def connections() -> list[Line]:
    """Resident memory of connections to other processes."""
    points, before, opened = [], resident(), []
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
        points.append((target, resident() - before))
    sender.close()
    for peer in opened:
        peer.close()
    what = "node: resident bytes of connections, both ends in one process"
    return [Line(what=what, unit="B", points=points)]


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
            for line in measurement():
                line.show()


if __name__ == "__main__":
    main()
