"""Measures the whole path: callers, one entry, agents and fake engines.

Every part is a process of its own on loopback. Run as
`python -m benches.path PART`, where PART is

* `latency`: first-token latency at a steady rate, at the engine directly and
  through the router;
* `streams`: tokens, processor time and memory at several numbers of streams;
* `requests`: short completions, as many as a few callers get through.

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

_KEY = "bench-key"
_MODEL = "m"
_READY_SECONDS = 30.0
_WARM_SECONDS = 3.0
_PATH = "/v1/completions"


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Deployment:
    """A store, runners with their agents, and one entry.

    Attributes:
        runners: number of runners.
        slots: slots of each.
        step: seconds between two tokens of a stream.
        store: client of the object API.
        engines: engines' processes and addresses.
        agents: agents' processes.
        entry: the entry's process.
        address: where the entry serves callers.
    """

    def __init__(self, *, runners: int, slots: int, step: float):
        self.runners = runners
        self.slots = slots
        self.step = step
        self.parts = contextlib.ExitStack()
        self.store = None
        self.engines: list[tuple[processes.Process, tuple[str, int]]] = []
        self.agents: list[processes.Process] = []
        self.entry = None
        self.address = ("127.0.0.1", 0)

    def start(self) -> None:
        """Starts every process and waits until the entry serves."""
        url = self._run("fake", "store").line()
        self.store = objects.ObjectClient(url=url)
        self.store.start()
        self._declare(declarations.Model(name=_MODEL, weights="w1"))
        digest = hashlib.blake2b(_KEY.encode(), digest_size=32).hexdigest()
        self._declare(
            declarations.Contract(
                organisation="o", key_digests=[digest], models=[_MODEL]
            )
        )
        for number in range(self.runners):
            self._start_runner(f"r{number}", url)
        self.address = ("127.0.0.1", _free_port())
        self.entry = self._run(
            "entry",
            *("--name", "entry"),
            *("--mailbox", f"tcp://127.0.0.1:{_free_port()}"),
            *("--store", url),
            *("--listen", f"127.0.0.1:{self.address[1]}"),
            *("--admin-listen", f"127.0.0.1:{_free_port()}"),
            *("--drain-seconds", "0"),
            *("--log-level", "error"),
        )
        self._wait()

    def close(self) -> None:
        """Ends every process."""
        if self.store is not None:
            self.store.close()
        self.parts.close()

    def usage(self) -> processes.Usage:
        """Returns what the entry has used so far."""
        return self.entry.usage()

    def _start_runner(self, name: str, store: str) -> None:
        engine = self._run(
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
            self._run(
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

    def _run(self, *arguments: str) -> processes.Process:
        part = processes.Process(
            arguments=["-m", "pimentoledge", *arguments], daemon=True
        )
        self.parts.callback(part.close)
        return part

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

    def _wait(self) -> None:
        """Waits until a completion goes through."""
        end = time.monotonic() + _READY_SECONDS
        while time.monotonic() < end:
            load = clients.StreamLoad(address=self.address)
            try:
                stream = load.begin(_routed("ready", 1))
                load.run(time.perf_counter() + 1.0)
                if stream.complete():
                    return
            except ConnectionError:
                pass
            finally:
                load.close()
            time.sleep(0.2)
        raise RuntimeError("the entry does not serve")


def _routed(prompt: str, tokens: int) -> bytes:
    body = clients.body_of(model=_MODEL, prompt=prompt, tokens=tokens)
    return clients.head_of(path=_PATH, key=_KEY, length=len(body)) + body


def _direct(prompt: str, tokens: int) -> bytes:
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


def _prompts(kind: str):
    for number in itertools.count():
        yield f"{kind} {number}: " + f"a manual, page {number}. " * 40


def _steady(address, request, prompts, rate: float, seconds: float):
    """Sends requests at a steady rate; returns their streams."""
    load = clients.StreamLoad(address=address)
    begun = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = begun + number / rate
        load.run(due)
        time.sleep(max(0.0, due - time.perf_counter()))
        load.begin(request(next(prompts), 4))
    load.run(time.perf_counter() + 5.0)
    load.close()
    return load.streams


def _quantiles(streams) -> dict[str, float]:
    times = sorted(
        each.first_text_at - each.started_at
        for each in streams
        if each.first_text_at
    )
    found = {"answered": len(times), "asked": len(streams)}
    for name, share in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99)):
        found[name] = round(times[int(share * (len(times) - 1))] * 1e3, 2)
    return found


def latency(given: argparse.Namespace) -> None:
    """Compares first-token latency with and without the router."""
    deployment = Deployment(runners=2, slots=64, step=0.005)
    try:
        deployment.start()
        routed, direct = _prompts("routed"), _prompts("direct")
        engine = deployment.engines[0][1]
        _steady(engine, _direct, direct, given.rate, _WARM_SECONDS)
        _steady(deployment.address, _routed, routed, given.rate, _WARM_SECONDS)
        rounds = {"direct": [], "routed": []}
        before = deployment.usage()
        for _ in range(2):
            rounds["direct"] += _steady(
                engine, _direct, direct, given.rate, given.seconds
            )
            rounds["routed"] += _steady(
                deployment.address, _routed, routed, given.rate, given.seconds
            )
        after = deployment.usage()
    finally:
        deployment.close()
    found = {name: _quantiles(each) for name, each in rounds.items()}
    added = {
        name: round(found["routed"][name] - found["direct"][name], 2)
        for name in ("p50", "p95", "p99")
    }
    cpu = (after.cpu - before.cpu) / len(rounds["routed"])
    _show(
        part="latency",
        rate=given.rate,
        ms=found,
        added_ms=added,
        cpu_ms_per_request_and_idle=round(cpu * 1e3, 2),
    )


def streams(given: argparse.Namespace) -> None:
    """Holds streams open and counts tokens, processor time and memory."""
    deployment = Deployment(
        runners=given.runners, slots=given.slots, step=given.step
    )
    try:
        deployment.start()
        time.sleep(_WARM_SECONDS)
        for count in given.streams:
            _show(**_held(deployment, count, given.seconds))
            time.sleep(_WARM_SECONDS)
    finally:
        deployment.close()


def _held(deployment: Deployment, count: int, seconds: float) -> dict:
    idle = deployment.usage()
    load = clients.StreamLoad(address=deployment.address)
    prompts = _prompts(f"held {count}")
    for _ in range(count):
        load.begin(_routed(next(prompts), 1 << 16))
        load.run(time.perf_counter() + 0.002)
    load.run(time.perf_counter() + _WARM_SECONDS)
    parts = [deployment.entry, *deployment.agents]
    before = [each.usage() for each in parts]
    events, begun = load.events, time.perf_counter()
    load.run(begun + seconds)
    took = time.perf_counter() - begun
    after = [each.usage() for each in parts]
    got, still = load.events - events, load.open_count()
    load.close()
    used = [b.cpu - a.cpu for a, b in zip(before, after, strict=True)]
    return {
        "part": "streams",
        "streams": count,
        "open_at_end": still,
        "wanted_per_s": round(count / deployment.step),
        "events_per_s": round(got / took),
        "entry_cores": round(used[0] / took, 3),
        "entry_us_per_token": round(used[0] / max(got, 1) * 1e6, 1),
        "agents_us_per_token": round(sum(used[1:]) / max(got, 1) * 1e6, 1),
        "entry_rss_mb": round(after[0].rss / 1e6, 1),
        "entry_idle_rss_mb": round(idle.rss / 1e6, 1),
        "kb_per_stream": round((after[0].rss - idle.rss) / count / 1e3, 1),
    }


def requests(given: argparse.Namespace) -> None:
    """Sends short completions, each caller one after another."""
    deployment = Deployment(runners=4, slots=64, step=0.001)
    try:
        deployment.start()
        for callers in (1, 8, 32):
            _show(**_closed(deployment, callers, given.seconds))
    finally:
        deployment.close()


def _closed(deployment: Deployment, callers: int, seconds: float) -> dict:
    load = clients.StreamLoad(address=deployment.address)
    prompts = _prompts(f"closed {callers}")
    before, begun = deployment.usage(), time.perf_counter()
    while time.perf_counter() < begun + seconds:
        while load.open_count() < callers:
            load.begin(_routed(next(prompts), 1))
        for key, _ in load.selector.select(1.0):
            load.read(key.fileobj, key.data)
    took = time.perf_counter() - begun
    after = deployment.usage()
    done = [each for each in load.streams if each.complete()]
    load.close()
    cpu = after.cpu - before.cpu
    return {
        "part": "requests",
        "callers": callers,
        "per_s": round(len(done) / took),
        "failed": sum(each.failed for each in load.streams),
        "entry_cores": round(cpu / took, 3),
        "entry_ms_per_request": round(cpu / max(len(done), 1) * 1e3, 3),
        "ttft_ms": _quantiles(done),
    }


def _show(**figures: object) -> None:
    json.dump(figures, sys.stdout)
    print(flush=True)


def main() -> None:
    """Reads the arguments and runs a part."""
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
    given = parser.parse_args()
    parts[given.part](given)


if __name__ == "__main__":
    main()
