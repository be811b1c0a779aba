"""Starts the programs as separate processes, for tests."""

import json
import os
import queue
import re
import signal
import socket
import subprocess
import sys
import threading
import time

import urllib3

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.stores import objects

WAIT_SECONDS = 60.0
KEY = "process-key"
PROMPT = "What the service manual says of this hub. " * 30


def basic_declarations(key: str) -> list[declarations.Declaration]:
    """Returns a model, a service and a contract that grants both to a key."""
    return [
        declarations.Model(name="m", weights="w1"),
        declarations.Service(name="cards"),
        declarations.Contract(
            organisation="o",
            key_digests=[emulators.key_digest(key)],
            models=["m"],
            services=["cards"],
        ),
    ]


def free_mailbox() -> str:
    """Returns a mailbox address that is not in use."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{opened.getsockname()[1]}"


def wait_until(condition):
    """Waits until a condition is true, and returns its value.

    Fails after WAIT_SECONDS.
    """
    end = time.monotonic() + WAIT_SECONDS
    while not (value := condition()):
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.02)
    return value


class Process:
    """A program that runs as a process.

    A thread reads its output, so that the process never blocks on a full pipe.

    Attributes:
        lines: output that no caller has consumed; an empty line ends it.
        consumed_lines: output that `find` has consumed.
    """

    def __init__(self, *arguments: str):
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("PIMENTOLEDGE_")
        }
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "pimentoledge", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env=environment,
        )
        self.lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.consumed_lines: list[str] = []
        self.thread = threading.Thread(target=self.queue_lines)
        self.thread.start()

    def queue_lines(self):
        for line in self.popen.stdout:
            self.lines.put(line)
        self.lines.put("")

    def find(self, pattern: str) -> str:
        """Waits for an output line that matches, and returns its first group.

        Fails when the output ends.
        """
        while True:
            line = self.lines.get(timeout=WAIT_SECONDS)
            self.consumed_lines.append(line)
            assert line, "".join(self.consumed_lines)
            if match := re.search(pattern, line):
                return match.group(1)

    def end(self, signal_number: int = signal.SIGTERM) -> int:
        """Signals the process and returns its exit status."""
        self.popen.send_signal(signal_number)
        return self.wait()

    def wait(self) -> int:
        status = self.popen.wait(WAIT_SECONDS)
        self.thread.join()
        self.popen.stdout.close()
        return status

    def close(self):
        if self.popen.poll() is None:
            self.end(signal.SIGKILL)


class Deployment:
    """A store, runners, services, agents and entries as processes."""

    def __init__(self):
        self.started: list[Process] = []
        self.store = self.start_process("fake", "store")
        self.url = self.store.find(r"(http://\S+)")
        self.client = objects.ObjectClient(url=self.url)
        self.client.start()
        for each in basic_declarations(KEY):
            self.declare(each)

    def start_process(self, *arguments: str) -> Process:
        process = Process(*arguments)
        self.started.append(process)
        return process

    def close(self):
        self.client.close()
        for each in reversed(self.started):
            each.close()

    def declare(self, declaration, expected=0):
        answer = self.client.call(
            stores.Write(
                call="c",
                path=declarations.path_of(declaration),
                value=declarations.encode(declaration),
                expected=expected,
                write_id=f"w{len(self.started)}",
            )
        )
        assert answer.outcome == stores.Outcome.WRITTEN

    def start_agent(
        self,
        name: str,
        kind: str,
        backend: str,
        peers: str = "",
        admin: str = "127.0.0.1:0",
    ) -> Process:
        extra_flags = [f"--peers={peers}"] if peers else []
        process = self.start_process(
            "agent",
            f"--name={name}",
            f"--kind={kind}",
            f"--backend={backend}",
            f"--store={self.url}",
            "--mailbox=tcp://127.0.0.1:0",
            f"--admin-listen={admin}",
            "--slots=8",
            *extra_flags,
        )
        address = process.find(r"listens at (tcp://\S+)")
        process.mailbox = address
        self.declare(
            declarations.BackendServer(
                name=name,
                kind=declarations.ServerKind(kind),
                serves="m" if kind == "runner" else "cards",
                agent=address,
            )
        )
        return process

    def start_runner(self, name: str, **flags: str) -> tuple[Process, Process]:
        engine = self.start_process(
            "fake", "engine", f"--name={name}", "--step-seconds=0.01"
        )
        backend = engine.find(r"(http://\S+)")
        return engine, self.start_agent(name, "runner", backend, **flags)

    def start_service(self, name: str, **flags: str) -> tuple[Process, Process]:
        service = self.start_process("fake", "service")
        backend = service.find(r"(http://\S+)")
        return service, self.start_agent(name, "service", backend, **flags)

    def start_entry(
        self,
        name: str,
        mailbox: str = "tcp://127.0.0.1:0",
        admin: str = "127.0.0.1:0",
        **flags: str,
    ) -> "Entry":
        extra_flags = [f"--{flag}={value}" for flag, value in flags.items()]
        process = self.start_process(
            "entry",
            f"--name={name}",
            f"--store={self.url}",
            f"--mailbox={mailbox}",
            "--listen=127.0.0.1:0",
            f"--admin-listen={admin}",
            "--drain-seconds=0.2",
            *extra_flags,
        )
        return Entry(process, process.find(r"serves (\S+)"))


class Entry:
    """An entry process and a client of its API."""

    def __init__(self, process: Process, address: str):
        self.process = process
        self.url = f"http://{address}"
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)
        self.headers = {"Authorization": f"Bearer {KEY}"}

    def ready(self) -> bool:
        return self.pool.request("GET", self.url + "/readyz").status == 200

    def request_stream(self, tokens: int):
        body = {
            "model": "m",
            "prompt": PROMPT,
            "max_tokens": tokens,
            "stream": True,
        }
        return self.pool.request(
            "POST",
            self.url + "/v1/completions",
            json=body,
            headers=self.headers,
            preload_content=False,
        )

    def post_card(self, key: str):
        return self.pool.request(
            "POST",
            self.url + "/services/cards/new",
            body=b"{}",
            headers={**self.headers, "Idempotency-Key": key},
        )


def read_stream(response) -> tuple[str, bool]:
    """Returns a stream's text, and whether the stream is complete."""
    text, done = "", False
    for line in response:
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: ") :].strip()
        if data == b"[DONE]":
            done = True
            continue
        event = json.loads(data)
        assert "error" not in event, event
        text += "".join(each["text"] for each in event["choices"])
    return text, done
