"""Starts and watches the processes of a measurement."""

import json
import os
import select
import subprocess
import sys

import attrs

_TICK = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_START_SECONDS = 30
_END_SECONDS = 15


class Process:
    """One part of a measurement, as a process of its own.

    A part of these scripts says that it runs by one line of JSON and ends
    when its standard input ends; a daemon ends by SIGTERM.

    Attributes:
        child: the process.
        daemon: whether it ends by SIGTERM.
    """

    def __init__(self, *, arguments: list[str], daemon: bool = False):
        self.daemon = daemon
        self.child = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def line(self) -> str:
        """Waits for the first line that the process writes."""
        ready, _, _ = select.select([self.child.stdout], [], [], _START_SECONDS)
        line = self.child.stdout.readline() if ready else ""
        if not line:
            self.child.kill()
            raise RuntimeError(f"{self.child.args} did not start")
        return line.strip()

    def usage(self) -> "Usage":
        """Returns what the process has used so far."""
        return usage_of(self.child.pid)

    def close(self) -> str:
        """Ends the process.

        Returns:
            What else it wrote.
        """
        if self.daemon:
            self.child.terminate()
        try:
            rest, _ = self.child.communicate(timeout=_END_SECONDS)
        except subprocess.TimeoutExpired:
            self.child.kill()
            rest, _ = self.child.communicate()
        return rest


@attrs.frozen(kw_only=True)
class Usage:
    """What a process has used.

    Attributes:
        cpu: processor time in seconds, user and system.
        rss: resident memory in bytes.
        threads: threads it has now.
    """

    cpu: float
    rss: int
    threads: int


def usage_of(pid: int) -> Usage:
    """Returns what a process has used so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return Usage(
        cpu=(int(fields[11]) + int(fields[12])) / _TICK,
        rss=int(fields[21]) * _PAGE,
        threads=int(fields[17]),
    )


def signal_ready(**fields: object) -> None:
    """Tells the starter that this process runs."""
    print(json.dumps(fields), flush=True)


def wait_for_end() -> None:
    """Waits until the starter wants this process to end."""
    sys.stdin.read()
