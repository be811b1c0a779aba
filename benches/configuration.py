"""Measures the distribution of the configuration between processes.

Real pynng and HTTP over loopback; each node is an entry's part of the
distribution without callers. Nodes stand in three data centres. Run:

    python -m benches.configuration [--nodes 5 20 60] [--contracts 36000]

Sixty nodes run as two in each process, to keep within forty processes.
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

MOST_PROCESSES = 30
FIRST_PORT = 27100
CHANGES = 20
IDLE_SECONDS = 30.0
BUSY_SECONDS = 20.0
BUSY_PER_SECOND = 5.0
# Bytes that TCP, IP and pynng add to a message: 40, 12 for timestamps, 8.
OVERHEAD_BYTES = 60
DATA_CENTRES = ("north", "east", "south")
WAIT_SECONDS = 60.0


class Core:
    """An entry's core with the distribution alone.

    Attributes:
        distributor: the machine that is measured.
        configuration: what is in force.
        reached: when each contract of the measurement came into force.
    """

    def __init__(self, *, distributor: distribution.Distributor):
        self.distributor = distributor
        self.configuration = distributor.configuration
        self.reached: dict[str, float] = {}
        self.root = 0

    def handle(self, event: object, now: float) -> list[actions.Action]:
        """Takes an event."""
        todo = self.distributor.handle(event, now)
        if self.configuration.root != self.root:
            self.root = self.configuration.root
            self.note()
        return todo

    def note(self) -> None:
        """Notes which new contracts are in force."""
        prefix = declarations.PREFIXES[declarations.Contract] + "new-"
        for path in self.configuration.paths.below(prefix):
            self.reached.setdefault(path, time.monotonic())

    def tick(self, now: float) -> list[actions.Action]:
        """Does what is due."""
        return self.distributor.wake(now)

    def partners(self) -> set[str]:
        """Returns the processes that a request waits for: none."""
        return set()

    def next_wake(self) -> float | None:
        """Returns when `tick` is due."""
        return self.distributor.next_wake()

    def flush(self) -> list[actions.Action]:
        """Returns nothing: nothing is held back."""
        return []


class Node:
    """One node: loop, mailbox and store client.

    Attributes:
        core: its state machine.
        loop: the thread that owns it.
        store: its calls to the store.
    """

    def __init__(self, *, number: int, store_url: str, seeds: list[str]):
        address = f"tcp://127.0.0.1:{FIRST_PORT + number}"
        self.core = Core(
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
        """Opens sockets and starts threads."""
        self.loop.start()
        self.store.start()
        self.loop.run_thread()

    def close(self) -> None:
        """Closes sockets and threads."""
        self.loop.close()
        self.store.close()

    def perform(self, todo: list[actions.Action]) -> None:
        """Makes the calls to the store."""
        for action in todo:
            match action:
                case actions.CallStore():
                    self.store.call(action.call)
                case actions.ReleaseMemory():
                    allocators.release_free_memory()


class Bytes:
    """Counts the bytes of messages that this process sends."""

    def __init__(self):
        self.sent = 0
        self.messages = 0
        self.lock = threading.Lock()
        self.encode = codecs.CODEC.encode
        codecs.CODEC.encode = self.counted

    def counted(self, message: object, **fields: object) -> bytes:
        """Encodes a message and counts it."""
        data = self.encode(message, **fields)
        with self.lock:
            self.sent += len(data) + OVERHEAD_BYTES
            self.messages += 1
        return data


def run_nodes(
    numbers: list[int], store_url: str, seeds: list[str], pipe: object
) -> None:
    """A process of one or two nodes, driven over a pipe."""
    counted = Bytes()
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
                        "reached": [dict(n.core.reached) for n in nodes],
                        "cpu": time.process_time(),
                        "sent": counted.sent,
                        "messages": counted.messages,
                        "rss": resident(),
                    }
                )
            case "close":
                break
    for node in nodes:
        node.close()
    pipe.send("closed")


def resident() -> float:
    """Returns this process's resident memory in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def contract(name: str) -> declarations.Contract:
    """Returns a contract of the usual size."""
    return declarations.Contract(
        organisation=name,
        key_digests=[declarations.key_digest(name)],
        models=[f"model-{number}" for number in range(4)],
        services=["orders"],
    )


class Fleet:
    """Processes of nodes before one store.

    Attributes:
        count: number of nodes.
        objects: the store's stand-in.
    """

    def __init__(self, *, count: int, contracts: int):
        self.count = count
        self.objects = fake_objects.FakeObjects()
        self.server = fake_servers.FakeObjectServer(
            objects=self.objects, threads=200
        )
        for number in range(contracts):
            self.put(contract(f"organisation-{number:05d}"))
        self.processes: list[multiprocessing.Process] = []
        self.pipes: list[object] = []

    def put(self, declaration: declarations.Declaration) -> str:
        """Writes a declaration into the store, and returns its path."""
        path = declarations.path_of(declaration)
        write = stores.Write(
            call="bench",
            path=path,
            value=declarations.encode(declaration),
            expected=0,
            write_id=path,
        )
        answer = self.objects.call(write)
        if answer.outcome != stores.Outcome.WRITTEN:
            raise RuntimeError(f"{path}: {answer.outcome}")
        return path

    def start(self) -> float:
        """Starts all nodes; returns seconds until each had everything."""
        self.server.start()
        began = time.monotonic()
        size = -(-self.count // MOST_PROCESSES)
        seeds = [f"tcp://127.0.0.1:{FIRST_PORT + n}" for n in range(3)]
        for first in range(0, self.count, size):
            self.add(list(range(first, min(first + size, self.count))), seeds)
        self.until(lambda: all(w for s in self.states() for w in s["whole"]))
        return time.monotonic() - began

    def add(self, numbers: list[int], seeds: list[str]) -> None:
        """Starts a process."""
        mine, theirs = multiprocessing.Pipe()
        process = multiprocessing.get_context("spawn").Process(
            target=run_nodes, args=(numbers, self.server.url, seeds, theirs)
        )
        process.start()
        self.processes.append(process)
        self.pipes.append(mine)

    def states(self) -> list[dict]:
        """Asks each process for its state."""
        for pipe in self.pipes:
            pipe.send("state")
        return [pipe.recv() for pipe in self.pipes]

    def until(self, condition) -> None:
        """Waits for a condition, with a bound."""
        end = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("waited in vain")
            time.sleep(0.1)

    def total(self, field: str) -> float:
        """Returns a sum over the processes."""
        return sum(state[field] for state in self.states())

    def calls(self) -> int:
        """Returns the number of calls that the store has had."""
        return sum(self.objects.counts.values())

    def close(self) -> None:
        """Ends the processes that this fleet started."""
        for pipe in self.pipes:
            pipe.send("close")
        for process in self.processes:
            process.join(WAIT_SECONDS)
        self.server.close()


def time_to_last(fleet: Fleet) -> list[float]:
    """Returns for each of some changes how long the last node took."""
    took = []
    for number in range(CHANGES):
        began = time.monotonic()
        path = fleet.put(contract(f"new-{number:03d}"))
        time.sleep(1.0)

        def reached(path: str = path) -> list[float]:
            found = [r.get(path) for s in fleet.states() for r in s["reached"]]
            return found if all(found) else []

        fleet.until(reached)
        took.append(max(reached()) - began)
    return sorted(took)


def use(fleet: Fleet, seconds: float, changes: float) -> dict[str, float]:
    """Returns what a node and the store spend over some seconds."""
    cpu, sent, messages = (
        fleet.total(each) for each in ("cpu", "sent", "messages")
    )
    calls, began, made = fleet.calls(), time.monotonic(), 0
    while time.monotonic() < began + seconds:
        time.sleep(min(0.05, seconds))
        due = (time.monotonic() - began) * changes
        while made < due:
            fleet.put(contract(f"more-{secrets.token_hex(4)}"))
            made += 1
    # The writes of the bench itself are not the nodes' calls.
    calls = fleet.calls() - calls - made
    took = time.monotonic() - began
    per_node = 1 / (took * fleet.count)
    return {
        "changes": made,
        "seconds": took,
        "cpu_percent_of_a_core": (fleet.total("cpu") - cpu) * per_node * 100,
        "bytes_per_second": (fleet.total("sent") - sent) * per_node,
        "messages_per_second": (fleet.total("messages") - messages) * per_node,
        "store_calls_per_minute": calls / took * 60,
    }


def measure(count: int, contracts: int) -> dict[str, object]:
    """Measures one number of nodes."""
    fleet = Fleet(count=count, contracts=contracts)
    try:
        seconds = fleet.start()
        started = {"seconds": seconds, "store_calls": fleet.calls() - contracts}
        fleet.until(
            lambda: all(
                n == count for s in fleet.states() for n in s["entries"]
            )
        )
        time.sleep(5.0)
        idle = use(fleet, IDLE_SECONDS, 0)
        took = time_to_last(fleet)
        busy = use(fleet, BUSY_SECONDS, BUSY_PER_SECOND)
        states = fleet.states()
        return {
            "nodes": count,
            "processes": len(fleet.processes),
            "contracts": contracts,
            "start": started,
            "last_node_seconds": {
                "p50": took[len(took) // 2],
                "max": took[-1],
            },
            "idle": idle,
            "busy": busy,
            "per_change": per_change(idle, busy),
            "rss_mb_of_a_process": max(state["rss"] for state in states),
        }
    finally:
        fleet.close()


def per_change(idle: dict, busy: dict) -> dict[str, float]:
    """Returns what one change costs one node beyond idling."""
    rate = busy["changes"] / busy["seconds"]
    cpu = busy["cpu_percent_of_a_core"] - idle["cpu_percent_of_a_core"]
    sent = busy["bytes_per_second"] - idle["bytes_per_second"]
    return {"cpu_ms": cpu / 100 / rate * 1000, "bytes_sent": sent / rate}


def memory(contracts: int) -> dict[str, float]:
    """Measures one node's configuration in this process."""
    before = resident()
    view = configuration.Configuration()
    began = time.process_time()
    for number in range(contracts):
        each = contract(f"organisation-{number:05d}")
        path = declarations.path_of(each)
        value = declarations.encode(each)
        view.apply([stores.Object(path=path, version=number + 1, value=value)])
    filled = time.process_time() - began
    found = view.in_force(path)
    began = time.process_time()
    for number in range(contracts):
        found.version = contracts + number + 1
        view.apply([found])
    return {
        "contracts": contracts,
        "value_bytes": len(value),
        "resident_mb": resident() - before,
        "fill_us_each": filled / contracts * 1e6,
        "change_us_each": (time.process_time() - began) / contracts * 1e6,
    }


def main() -> int:
    """Runs the measurements and prints them as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="*", default=[5, 20, 60])
    parser.add_argument("--contracts", type=int, default=36_000)
    parser.add_argument("--declared", type=int, default=100)
    given = parser.parse_args()
    print(json.dumps({"memory": memory(given.contracts)}), flush=True)
    for count in given.nodes:
        print(json.dumps(measure(count, given.declared)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
