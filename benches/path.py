"""Measures the whole path: callers, one entry, agents and fake engines.

Each runs in its own process, connected over loopback. Run as
`python -m benches.path PART`, where PART is

* `latency`: first-token latency at a steady rate, at the engine directly and
  through the router;
* `streams`: tokens, processor time and memory at several numbers of streams;
* `requests`: throughput of short completions with a few callers.

Prints a line of JSON for each point.
"""

import argparse
import contextlib
import hashlib
import itertools
import json
import socket
import sys
import time

from benches import clients
from benches import processes
from pimentoledge.decisions import actions
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.nodes import messages
from pimentoledge.runners import wires
from pimentoledge.stores import objects

_API_KEY = "bench-key"
_MODEL = "m"
_READY_TIMEOUT_SECONDS = 30.0
_WARMUP_SECONDS = 3.0
_PATH = "/v1/completions"


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Deployment:
    """A deployment of a store, runners with their agents, and one entry.

    Attributes:
        runners: number of runners.
        slots: slots of each runner.
        step: seconds between two tokens of a stream.
        store: client of the object API.
        engines: engine processes and their addresses.
        agents: agent processes.
        entry: the entry process.
        address: address at which the entry serves callers.
    """

    def __init__(self, *, runners: int, slots: int, step: float):
        self.runners = runners
        self.slots = slots
        self.step = step
        self.exit_stack = contextlib.ExitStack()
        self.store = None
        self.engines: list[tuple[processes.Process, tuple[str, int]]] = []
        self.agents: list[processes.Process] = []
        self.entry = None
        self.address = ("127.0.0.1", 0)

    def start(self) -> None:
        """Starts every process and waits until the entry serves requests."""
        url = self._start_process("fake", "store").line()
        self.store = objects.ObjectClient(url=url)
        self.store.start()
        self._declare(declarations.Model(name=_MODEL, weights="w1"))
        digest = hashlib.blake2b(_API_KEY.encode(), digest_size=32).hexdigest()
        self._declare(
            declarations.Contract(
                organisation="o", key_digests=[digest], models=[_MODEL]
            )
        )
        for number in range(self.runners):
            self._start_runner(f"r{number}", url)
        self.address = ("127.0.0.1", _free_port())
        self.entry = self._start_process(
            "entry",
            *("--name", "entry"),
            *("--mailbox", f"tcp://127.0.0.1:{_free_port()}"),
            *("--store", url),
            *("--listen", f"127.0.0.1:{self.address[1]}"),
            *("--admin-listen", f"127.0.0.1:{_free_port()}"),
            *("--drain-seconds", "0"),
            *("--log-level", "error"),
        )
        self._wait_until_serving()

    def close(self) -> None:
        """Ends every process."""
        if self.store is not None:
            self.store.close()
        self.exit_stack.close()

    def usage(self) -> processes.Usage:
        """Returns the resources that the entry has used so far."""
        return self.entry.usage()

    def _start_runner(self, name: str, store: str) -> None:
        engine = self._start_process(
            "fake",
            "engine",
            *("--name", name),
            *("--slots", str(self.slots)),
            *("--step-seconds", str(self.step)),
            *("--token-seconds", "0.00001"),
        )
        url = engine.line()
        host, _, port = url.removeprefix("http://").partition(":")
        self.engines.append((engine, (host, int(port))))
        mailbox = f"tcp://127.0.0.1:{_free_port()}"
        self.agents.append(
            self._start_process(
                "agent",
                *("--name", name),
                *("--kind", "runner"),
                *("--mailbox", mailbox),
                *("--admin-listen", f"127.0.0.1:{_free_port()}"),
                *("--store", store),
                *("--backend", url),
                *("--slots", str(self.slots)),
                *("--log-level", "error"),
            )
        )
        self._declare(
            declarations.BackendServer(
                name=name, serves=_MODEL, agent=mailbox, slots=self.slots
            )
        )

    def _start_process(self, *arguments: str) -> processes.Process:
        process = processes.Process(
            arguments=["-m", "pimentoledge", *arguments], daemon=True
        )
        self.exit_stack.callback(process.close)
        return process

    def _declare(self, declaration: declarations.Declaration) -> None:
        path = declarations.path_of(declaration)
        write = stores.Write(
            call=f"bench-{path}",
            path=path,
            value=declarations.encode(declaration),
            expected=0,
            write_id=f"bench-{path}",
        )
        answer = self.store.call(write)
        if answer.outcome != stores.Outcome.WRITTEN:
            raise RuntimeError(f"{path} was not written: {answer.outcome}")

    def _wait_until_serving(self) -> None:
        """Waits until the entry serves a completion."""
        deadline = time.monotonic() + _READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            load = clients.StreamLoad(address=self.address)
            try:
                stream = load.begin(_router_request("ready", 1))
                load.run(time.perf_counter() + 1.0)
                if stream.complete():
                    return
            except ConnectionError:
                pass
            finally:
                load.close()
            time.sleep(0.2)
        raise RuntimeError(
            "the entry served no completion within"
            f" {_READY_TIMEOUT_SECONDS:g} s"
        )


def _router_request(prompt: str, tokens: int) -> bytes:
    body = clients.body_of(model=_MODEL, prompt=prompt, tokens=tokens)
    return clients.head_of(path=_PATH, key=_API_KEY, length=len(body)) + body


def _engine_request(prompt: str, tokens: int) -> bytes:
    run = actions.RunCompletion(
        request=f"bench-{prompt}",
        attempt=1,
        priority="interactive",
        completion=messages.Completion(
            model=_MODEL, prompt=prompt, max_tokens=tokens
        ),
    )
    body = wires.encode(wires.CompletionBody(run=run, salt="o"))
    head = clients.head_of(
        path=wires.COMPLETIONS_PATH, key="", length=len(body)
    )
    return head + body


def _prompts(label: str):
    for number in itertools.count():
        yield f"{label} {number}: " + f"a manual, page {number}. " * 40


def _send_at_rate(address, build_request, prompts, rate: float, seconds: float):
    """Sends requests at a constant rate; returns their streams."""
    load = clients.StreamLoad(address=address)
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = started + number / rate
        load.run(due)
        time.sleep(max(0.0, due - time.perf_counter()))
        load.begin(build_request(next(prompts), 4))
    load.run(time.perf_counter() + 5.0)
    load.close()
    return load.streams


def _quantiles(streams) -> dict[str, float]:
    latencies = sorted(
        each.first_text_at - each.started_at
        for each in streams
        if each.first_text_at
    )
    figures = {"answered": len(latencies), "asked": len(streams)}
    for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
        figures[name] = round(
            latencies[int(share * (len(latencies) - 1))] * 1e3, 2
        )
    return figures


def latency(args: argparse.Namespace) -> None:
    """Compares first-token latency with and without the router."""
    deployment = Deployment(runners=2, slots=64, step=0.005)
    try:
        deployment.start()
        router_prompts, engine_prompts = _prompts("routed"), _prompts("direct")
        engine_address = deployment.engines[0][1]
        _send_at_rate(
            engine_address,
            _engine_request,
            engine_prompts,
            args.rate,
            _WARMUP_SECONDS,
        )
        _send_at_rate(
            deployment.address,
            _router_request,
            router_prompts,
            args.rate,
            _WARMUP_SECONDS,
        )
        streams_by_path = {"direct": [], "routed": []}
        before = deployment.usage()
        for _ in range(2):
            streams_by_path["direct"] += _send_at_rate(
                engine_address,
                _engine_request,
                engine_prompts,
                args.rate,
                args.seconds,
            )
            streams_by_path["routed"] += _send_at_rate(
                deployment.address,
                _router_request,
                router_prompts,
                args.rate,
                args.seconds,
            )
        after = deployment.usage()
    finally:
        deployment.close()
    quantiles = {
        name: _quantiles(each) for name, each in streams_by_path.items()
    }
    added_latency = {
        name: round(quantiles["routed"][name] - quantiles["direct"][name], 2)
        for name in ("p50", "p95", "p99")
    }
    cpu = (after.cpu - before.cpu) / len(streams_by_path["routed"])
    _print_json(
        part="latency",
        rate=args.rate,
        ms=quantiles,
        added_ms=added_latency,
        cpu_ms_per_request_and_idle=round(cpu * 1e3, 2),
    )


def streams(args: argparse.Namespace) -> None:
    """Measures tokens, processor time and memory with open streams."""
    deployment = Deployment(
        runners=args.runners, slots=args.slots, step=args.step
    )
    try:
        deployment.start()
        time.sleep(_WARMUP_SECONDS)
        for count in args.streams:
            _print_json(
                **_measure_open_streams(deployment, count, args.seconds)
            )
            time.sleep(_WARMUP_SECONDS)
    finally:
        deployment.close()


def _measure_open_streams(
    deployment: Deployment, count: int, seconds: float
) -> dict:
    idle = deployment.usage()
    load = clients.StreamLoad(address=deployment.address)
    prompts = _prompts(f"held {count}")
    for _ in range(count):
        load.begin(_router_request(next(prompts), 1 << 16))
        load.run(time.perf_counter() + 0.002)
    load.run(time.perf_counter() + _WARMUP_SECONDS)
    measured_processes = [deployment.entry, *deployment.agents]
    before = [each.usage() for each in measured_processes]
    events, started = load.events, time.perf_counter()
    load.run(started + seconds)
    elapsed = time.perf_counter() - started
    after = [each.usage() for each in measured_processes]
    received, open_count = load.events - events, load.open_count()
    load.close()
    cpu_seconds = [b.cpu - a.cpu for a, b in zip(before, after, strict=True)]
    return {
        "part": "streams",
        "streams": count,
        "open_at_end": open_count,
        "wanted_per_s": round(count / deployment.step),
        "events_per_s": round(received / elapsed),
        "entry_cores": round(cpu_seconds[0] / elapsed, 3),
        "entry_us_per_token": round(cpu_seconds[0] / max(received, 1) * 1e6, 1),
        "agents_us_per_token": round(
            sum(cpu_seconds[1:]) / max(received, 1) * 1e6, 1
        ),
        "entry_rss_mb": round(after[0].rss / 1e6, 1),
        "entry_idle_rss_mb": round(idle.rss / 1e6, 1),
        "kb_per_stream": round((after[0].rss - idle.rss) / count / 1e3, 1),
    }


def requests(args: argparse.Namespace) -> None:
    """Measures short completions that each caller sends one after another."""
    deployment = Deployment(runners=4, slots=64, step=0.001)
    try:
        deployment.start()
        for callers in (1, 8, 32):
            _print_json(
                **_measure_closed_loop(deployment, callers, args.seconds)
            )
    finally:
        deployment.close()


def _measure_closed_loop(
    deployment: Deployment, callers: int, seconds: float
) -> dict:
    load = clients.StreamLoad(address=deployment.address)
    prompts = _prompts(f"closed {callers}")
    before, started = deployment.usage(), time.perf_counter()
    while time.perf_counter() < started + seconds:
        while load.open_count() < callers:
            load.begin(_router_request(next(prompts), 1))
        for key, _ in load.selector.select(1.0):
            load.read(key.fileobj, key.data)
    elapsed = time.perf_counter() - started
    after = deployment.usage()
    completed = [each for each in load.streams if each.complete()]
    load.close()
    cpu_seconds = after.cpu - before.cpu
    return {
        "part": "requests",
        "callers": callers,
        "per_s": round(len(completed) / elapsed),
        "failed": sum(each.failed for each in load.streams),
        "entry_cores": round(cpu_seconds / elapsed, 3),
        "entry_ms_per_request": round(
            cpu_seconds / max(len(completed), 1) * 1e3, 3
        ),
        "ttft_ms": _quantiles(completed),
    }


def _print_json(**figures: object) -> None:
    json.dump(figures, sys.stdout)
    print(flush=True)


def main() -> None:
    """Parses the arguments and runs a part."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawTextHelpFormatter
    )
    parts = {"latency": latency, "streams": streams, "requests": requests}
    parser.add_argument("part", choices=parts)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--runners", type=int, default=8)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--step", type=float, default=0.032)
    parser.add_argument(
        "--streams", type=int, nargs="+", default=[50, 200, 440, 500]
    )
    args = parser.parse_args()
    parts[args.part](args)


if __name__ == "__main__":
    main()
