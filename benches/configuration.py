"""Measures the distribution of the configuration between processes.

Nodes use pynng and HTTP over loopback; each runs the distribution part of an
entry, without callers. They are spread over three data centres. Run:

    python -m benches.configuration [--nodes 5 20 60] [--contracts 36000]

More than MAX_PROCESSES nodes share processes, sixty as two in each, to stay
within forty processes in all.
"""

import argparse
import json
import multiprocessing
import pathlib
import resource
import secrets
import sys
import threading
import time

from pimentoledge import allocators
from pimentoledge.decisions import actions
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import distribution
from pimentoledge.decisions import stores
from pimentoledge.nodes import codecs
from pimentoledge.nodes import loops
from pimentoledge.stores import fake_objects
from pimentoledge.stores import fake_servers
from pimentoledge.stores import objects
from pimentoledge.stores import store_tasks

MAX_PROCESSES = 30
FIRST_PORT = 27100
CHANGE_COUNT = 20
IDLE_SECONDS = 30.0
BUSY_SECONDS = 20.0
BUSY_CHANGES_PER_SECOND = 5.0
# TCP and IP add 40 bytes to a message, TCP timestamps 12 and pynng 8.
MESSAGE_OVERHEAD_BYTES = 60
DATA_CENTRES = ("north", "east", "south")
WAIT_SECONDS = 60.0


class DistributionCore:
    """An entry's core reduced to the distribution of the configuration.

    Attributes:
        distributor: the state machine that is measured.
        configuration: the configuration in force.
        in_force_at: when each contract of the measurement came into force.
        last_root: root digest of the configuration after the last event.
    """

    def __init__(self, *, distributor: distribution.Distributor):
        self.distributor = distributor
        self.configuration = distributor.configuration
        self.in_force_at: dict[str, float] = {}
        self.last_root = 0

    def handle(self, event: object, now: float) -> list[actions.Action]:
        """Handles an event and records contracts that came into force."""
        outputs = self.distributor.handle(event, now)
        if self.configuration.root != self.last_root:
            self.last_root = self.configuration.root
            self.record_new_contracts()
        return outputs

    def record_new_contracts(self) -> None:
        """Records when new contracts of the measurement came into force."""
        prefix = declarations.PREFIXES[declarations.Contract] + "new-"
        for path in self.configuration.paths.below(prefix):
            self.in_force_at.setdefault(path, time.monotonic())

    def tick(self, now: float) -> list[actions.Action]:
        """Performs due work."""
        return self.distributor.wake(now)

    def partners(self) -> set[str]:
        """Returns no processes, since there are no requests."""
        return set()

    def next_wake(self) -> float | None:
        """Returns the time at which `tick` is due."""
        return self.distributor.next_wake()

    def flush(self) -> list[actions.Action]:
        """Returns no actions, since none are buffered."""
        return []


class Node:
    """A node with an event loop, a mailbox and a store client.

    Attributes:
        core: its state machine.
        loop: the event loop that runs it.
        store: the task that makes its calls to the store.
    """

    def __init__(self, *, number: int, store_url: str, seeds: list[str]):
        address = f"tcp://127.0.0.1:{FIRST_PORT + number}"
        self.core = DistributionCore(
            distributor=distribution.Distributor(
                name=f"entry-{number}",
                address=address,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                seed=secrets.randbits(64),
                view=configuration.Configuration(),
                seeds=seeds,
            )
        )
        self.loop = loops.EventLoop(
            core=self.core, mailbox_address=address, perform=self.perform
        )
        self.store = store_tasks.StoreTask(
            client=objects.ObjectClient(url=store_url, timeout=20.0),
            deliver=self.loop.inbox.put,
        )

    def start(self) -> None:
        """Opens the sockets and starts the threads."""
        self.loop.start()
        self.store.start()
        self.loop.run_thread()

    def close(self) -> None:
        """Closes the sockets and ends the threads."""
        self.loop.close()
        self.store.close()

    def perform(self, todo: list[actions.Action]) -> None:
        """Performs the state machine's actions."""
        for action in todo:
            match action:
                case actions.CallStore():
                    self.store.call(action.call)
                case actions.ReleaseMemory():
                    allocators.release_free_memory()


class SentBytesCounter:
    """Counts the messages that this process encodes, and their bytes.

    Replaces the codec's `encode` by one that counts.
    """

    def __init__(self):
        self.sent_bytes = 0
        self.sent_messages = 0
        self.lock = threading.Lock()
        self.original_encode = codecs.CODEC.encode
        codecs.CODEC.encode = self.encode_and_count

    def encode_and_count(self, message: object, **fields: object) -> bytes:
        """Encodes a message and counts it."""
        data = self.original_encode(message, **fields)
        with self.lock:
            self.sent_bytes += len(data) + MESSAGE_OVERHEAD_BYTES
            self.sent_messages += 1
        return data


def run_nodes(
    numbers: list[int], store_url: str, seeds: list[str], pipe: object
) -> None:
    """Runs nodes in a process that is controlled over a pipe."""
    counter = SentBytesCounter()
    nodes = [Node(number=n, store_url=store_url, seeds=seeds) for n in numbers]
    for node in nodes:
        node.start()
    while True:
        match pipe.recv():
            case "state":
                pipe.send(
                    {
                        "whole": [
                            node.core.configuration.is_complete()
                            for node in nodes
                        ],
                        "entries": [
                            len(node.core.configuration.entries())
                            for node in nodes
                        ],
                        "reached": [dict(n.core.in_force_at) for n in nodes],
                        "cpu": time.process_time(),
                        "sent": counter.sent_bytes,
                        "messages": counter.sent_messages,
                        "rss": resident_mb(),
                    }
                )
            case "close":
                break
    for node in nodes:
        node.close()
    pipe.send("closed")


def resident_mb() -> float:
    """Returns this process's resident memory in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def build_contract(name: str) -> declarations.Contract:
    """Returns a contract of typical size."""
    return declarations.Contract(
        organisation=name,
        key_digests=[declarations.key_digest(name)],
        models=[f"model-{number}" for number in range(4)],
        services=["orders"],
    )


class Fleet:
    """Processes of nodes that use one store.

    Attributes:
        count: number of nodes.
        stored_objects: objects of the fake store.
        server: HTTP server of the fake store.
        processes: the processes.
        pipes: the pipe to each process.
    """

    def __init__(self, *, count: int, contracts: int):
        self.count = count
        self.stored_objects = fake_objects.FakeObjects()
        self.server = fake_servers.FakeObjectServer(
            objects=self.stored_objects, threads=200
        )
        for number in range(contracts):
            self.put(build_contract(f"organisation-{number:05d}"))
        self.processes: list[multiprocessing.Process] = []
        self.pipes: list[object] = []

    def put(self, declaration: declarations.Declaration) -> str:
        """Writes a declaration to the store and returns its path."""
        path = declarations.path_of(declaration)
        write = stores.Write(
            call="bench",
            path=path,
            value=declarations.encode(declaration),
            expected=0,
            write_id=path,
        )
        answer = self.stored_objects.call(write)
        if answer.outcome != stores.Outcome.WRITTEN:
            raise RuntimeError(f"{path} was not written: {answer.outcome}")
        return path

    def start(self) -> float:
        """Starts all nodes; returns seconds until all are fully configured."""
        self.server.start()
        started = time.monotonic()
        nodes_per_process = -(-self.count // MAX_PROCESSES)
        seeds = [f"tcp://127.0.0.1:{FIRST_PORT + n}" for n in range(3)]
        for first in range(0, self.count, nodes_per_process):
            self.start_process(
                list(range(first, min(first + nodes_per_process, self.count))),
                seeds,
            )
        self.wait_until(
            lambda: all(w for s in self.collect_states() for w in s["whole"])
        )
        return time.monotonic() - started

    def start_process(self, numbers: list[int], seeds: list[str]) -> None:
        """Starts a process that runs the nodes of these numbers."""
        parent_pipe, child_pipe = multiprocessing.Pipe()
        process = multiprocessing.get_context("spawn").Process(
            target=run_nodes, args=(numbers, self.server.url, seeds, child_pipe)
        )
        process.start()
        self.processes.append(process)
        self.pipes.append(parent_pipe)

    def collect_states(self) -> list[dict]:
        """Returns the state of each process."""
        for pipe in self.pipes:
            pipe.send("state")
        return [pipe.recv() for pipe in self.pipes]

    def wait_until(self, condition) -> None:
        """Waits for a condition; raises TimeoutError after WAIT_SECONDS."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"condition not met within {WAIT_SECONDS:g} s"
                )
            time.sleep(0.1)

    def sum_of(self, field: str) -> float:
        """Returns the sum of a state field over the processes."""
        return sum(state[field] for state in self.collect_states())

    def store_call_count(self) -> int:
        """Returns the number of calls that the store has received."""
        return sum(self.stored_objects.counts.values())

    def close(self) -> None:
        """Ends the processes that this fleet started."""
        for pipe in self.pipes:
            pipe.send("close")
        for process in self.processes:
            process.join(WAIT_SECONDS)
        self.server.close()


def measure_propagation(fleet: Fleet) -> list[float]:
    """Returns, sorted, the seconds until each change reached all nodes."""
    delays = []
    for number in range(CHANGE_COUNT):
        started = time.monotonic()
        path = fleet.put(build_contract(f"new-{number:03d}"))
        time.sleep(1.0)

        def reached(path: str = path) -> list[float]:
            times = [
                r.get(path)
                for s in fleet.collect_states()
                for r in s["reached"]
            ]
            return times if all(times) else []

        fleet.wait_until(reached)
        delays.append(max(reached()) - started)
    return sorted(delays)


def measure_usage(
    fleet: Fleet, seconds: float, changes: float
) -> dict[str, float]:
    """Measures the resources used by a node and the calls to the store."""
    cpu, sent_bytes, messages = (
        fleet.sum_of(each) for each in ("cpu", "sent", "messages")
    )
    store_calls, started, written = (
        fleet.store_call_count(),
        time.monotonic(),
        0,
    )
    while time.monotonic() < started + seconds:
        time.sleep(min(0.05, seconds))
        expected = (time.monotonic() - started) * changes
        while written < expected:
            fleet.put(build_contract(f"more-{secrets.token_hex(4)}"))
            written += 1
    # Exclude the writes made above, which are not calls of the nodes.
    store_calls = fleet.store_call_count() - store_calls - written
    elapsed = time.monotonic() - started
    per_node = 1 / (elapsed * fleet.count)
    return {
        "changes": written,
        "seconds": elapsed,
        "cpu_percent_of_a_core": (fleet.sum_of("cpu") - cpu) * per_node * 100,
        "bytes_per_second": (fleet.sum_of("sent") - sent_bytes) * per_node,
        "messages_per_second": (fleet.sum_of("messages") - messages) * per_node,
        "store_calls_per_minute": store_calls / elapsed * 60,
    }


def measure(count: int, contracts: int) -> dict[str, object]:
    """Measures a fleet with a number of nodes."""
    fleet = Fleet(count=count, contracts=contracts)
    try:
        seconds = fleet.start()
        start_figures = {
            "seconds": seconds,
            "store_calls": fleet.store_call_count() - contracts,
        }
        fleet.wait_until(
            lambda: all(
                n == count for s in fleet.collect_states() for n in s["entries"]
            )
        )
        time.sleep(5.0)
        idle = measure_usage(fleet, IDLE_SECONDS, 0)
        delays = measure_propagation(fleet)
        busy = measure_usage(fleet, BUSY_SECONDS, BUSY_CHANGES_PER_SECOND)
        states = fleet.collect_states()
        return {
            "nodes": count,
            "processes": len(fleet.processes),
            "contracts": contracts,
            "start": start_figures,
            "last_node_seconds": {
                "p50": delays[len(delays) // 2],
                "max": delays[-1],
            },
            "idle": idle,
            "busy": busy,
            "per_change": per_change(idle, busy),
            "rss_mb_of_a_process": max(state["rss"] for state in states),
        }
    finally:
        fleet.close()


def per_change(idle: dict, busy: dict) -> dict[str, float]:
    """Returns the cost of one change at one node, above the idle cost."""
    rate = busy["changes"] / busy["seconds"]
    cpu = busy["cpu_percent_of_a_core"] - idle["cpu_percent_of_a_core"]
    sent = busy["bytes_per_second"] - idle["bytes_per_second"]
    return {"cpu_ms": cpu / 100 / rate * 1000, "bytes_sent": sent / rate}


def measure_memory(contracts: int) -> dict[str, float]:
    """Measures memory and time of one configuration in this process."""
    before = resident_mb()
    built = configuration.Configuration()
    started = time.process_time()
    for number in range(contracts):
        declaration = build_contract(f"organisation-{number:05d}")
        path = declarations.path_of(declaration)
        value = declarations.encode(declaration)
        built.apply([stores.Object(path=path, version=number + 1, value=value)])
    fill_seconds = time.process_time() - started
    stored_object = built.in_force(path)
    started = time.process_time()
    for number in range(contracts):
        stored_object.version = contracts + number + 1
        built.apply([stored_object])
    return {
        "contracts": contracts,
        "value_bytes": len(value),
        "resident_mb": resident_mb() - before,
        "fill_us_each": fill_seconds / contracts * 1e6,
        "change_us_each": (time.process_time() - started) / contracts * 1e6,
    }


def main() -> int:
    """Runs the measurements and prints them as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[5, 20, 60])
    parser.add_argument("--contracts", type=int, default=36_000)
    parser.add_argument("--declared", type=int, default=100)
    args = parser.parse_args()
    print(json.dumps({"memory": measure_memory(args.contracts)}), flush=True)
    for count in args.nodes:
        print(json.dumps(measure(count, args.declared)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
