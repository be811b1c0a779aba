"""Measures the fake engine alone, and the fake engine server with a client.

    python -m benches.fakes engine
    python -m benches.fakes pair --streams 64 --seconds 10

The server and the client of the pair run in two processes, so that the
processor time of each is known.
"""

import argparse
from collections.abc import Iterator
import multiprocessing
import resource
import threading
import time

from pimentoledge.decisions import actions
from pimentoledge.decisions import events
from pimentoledge.nodes import messages
from pimentoledge.runners import engines
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_servers
from pimentoledge.runners import streams

PROMPT_BYTES = 8192


def make_run(*, number: int, tokens: int) -> actions.RunCompletion:
    """Returns a completion; each sixteen consecutive ones share a prompt."""
    prompt = f"{number // 16:08d}" + "x" * (PROMPT_BYTES - 8)
    return actions.RunCompletion(
        request=f"r{number}",
        attempt=1,
        priority="interactive",
        completion=messages.Completion(
            model="m", prompt=prompt, max_tokens=tokens
        ),
    )


def measure_engine(*, requests: int, tokens: int) -> None:
    """Runs completions in virtual time and prints the throughput."""
    for text_every in (1, 16):
        engine = fake_engines.FakeEngine(
            slots=64, cache_blocks=20_000, token_seconds=1e-6
        )
        engine.text_every = text_every
        started_at = time.process_time()
        now = 0.0
        steps = 0
        for number in range(requests):
            engine.submit(make_run(number=number, tokens=tokens), "s", now)
        while (wake := engine.next_wake()) is not None:
            engine.step(wake)
            steps += 1
        elapsed = time.process_time() - started_at
        generated = engine.counters.generated_tokens
        print(
            f"pure engine, text_every {text_every}: {requests / elapsed:,.0f}"
            f" requests/s, {generated / elapsed:,.0f} tokens/s,"
            f" {steps / elapsed:,.0f} steps/s"
        )


def serve(pipe, streams: int, step_seconds: float) -> None:
    """Runs an engine server; sends its processor time and tokens on request."""
    engine = fake_engines.FakeEngine(
        slots=streams,
        cache_blocks=20_000,
        token_seconds=1e-6,
        step_seconds=step_seconds,
    )
    server = fake_servers.FakeEngineServer(engine=engine)
    server.start()
    pipe.send(server.url)
    while pipe.recv() != "end":
        pipe.send((processor_seconds(), engine.counters.generated_tokens))
    server.close()


def processor_seconds() -> float:
    """Returns the processor time of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


class Counter:
    """Counts the events of all streams.

    Attributes:
        tokens: tokens received.
        text_events: text events received.
        calls: calls of `count`.
    """

    def __init__(self):
        self.tokens = 0
        self.text_events = 0
        self.calls = 0

    def count(self, received: list[streams.Event]) -> None:
        """Counts events; receives them from the client."""
        self.calls += 1
        for event in received:
            if isinstance(event, events.EngineText):
                self.tokens += event.tokens
                self.text_events += 1


def measure_pair(
    *, streams: int, seconds: float, step_seconds: float, by: str
) -> None:
    """Runs a server and a client; prints the processor time per token."""
    parent_pipe, child_pipe = multiprocessing.Pipe()
    server = multiprocessing.get_context("spawn").Process(
        target=serve, args=(child_pipe, streams, step_seconds)
    )
    server.start()
    client = engines.EngineClient(url=parent_pipe.recv())
    client.start()
    counter = Counter()
    threads = start_streams(
        client=client, count=streams, by=by, counter=counter
    )
    time.sleep(1)
    parent_pipe.send("cost")
    server_before, generated_before = parent_pipe.recv()
    before = (processor_seconds(), counter.tokens, counter.text_events)
    calls = counter.calls
    start = time.monotonic()
    time.sleep(seconds)
    after = (processor_seconds(), counter.tokens, counter.text_events)
    cost, tokens, text_events = (
        y - x for x, y in zip(before, after, strict=True)
    )
    calls = counter.calls - calls
    elapsed = time.monotonic() - start
    parent_pipe.send("cost")
    server_after, generated_after = parent_pipe.recv()
    parent_pipe.send("end")
    server.join()
    for thread in threads:
        thread.join()
    client.close()
    server_cost = (server_after - server_before) / (
        generated_after - generated_before
    )
    print(
        f"pair by {by}, {streams} streams, step {step_seconds * 1000:g} ms:"
        f" {tokens / elapsed:,.0f} tokens/s (due {streams / step_seconds:,.0f})"
        f" in {text_events / elapsed:,.0f} events/s,"
        f" {calls / elapsed:,.0f} calls/s;"
        f" server {server_cost * 1e6:.1f} us a token,"
        f" client {cost / tokens * 1e6:.1f} us a token"
    )


def start_streams(
    *, client: engines.EngineClient, count: int, by: str, counter: Counter
) -> list[threading.Thread]:
    """Starts streams, read by one receiver or by one thread each."""
    threads = []
    for number in range(count):
        run = make_run(number=number, tokens=1_000_000)
        if by == "receiver":
            client.start_run(run, "s", counter.count)
            continue
        thread = threading.Thread(
            target=read_stream, args=(client.run(run, "s"), counter)
        )
        thread.start()
        threads.append(thread)
    return threads


def read_stream(received: Iterator[streams.Event], counter: Counter) -> None:
    """Reads one stream to its end."""
    for event in received:
        counter.count([event])


def main() -> None:
    """Runs the measurement that the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["engine", "pair"])
    parser.add_argument("--streams", type=int, default=64)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--step", type=float, default=0.032)
    parser.add_argument("--requests", type=int, default=5000)
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument(
        "--by", choices=["receiver", "iterator"], default="receiver"
    )
    arguments = parser.parse_args()
    if arguments.what == "engine":
        measure_engine(requests=arguments.requests, tokens=arguments.tokens)
    else:
        measure_pair(
            streams=arguments.streams,
            seconds=arguments.seconds,
            step_seconds=arguments.step,
            by=arguments.by,
        )


if __name__ == "__main__":
    main()
