"""Starts the processes of a measurement and reads their usage."""

import json
import os
import select
import subprocess
import sys

import attrs

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_START_TIMEOUT_SECONDS = 30
_EXIT_TIMEOUT_SECONDS = 15


class Process:
    """A child process of a measurement.

    A process of these scripts prints one line of JSON when it is ready and
    ends when its standard input ends; a daemon ends by SIGTERM.

    Attributes:
        child: the process.
        daemon: whether it is ended by SIGTERM.
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
        """Waits for a line of the process's output and returns it."""
        ready, _, _ = select.select(
            [self.child.stdout], [], [], _START_TIMEOUT_SECONDS
        )
        line = self.child.stdout.readline() if ready else ""
        if not line:
            self.child.kill()
            raise RuntimeError(f"{self.child.args} did not start")
        return line.strip()

    def usage(self) -> "Usage":
        """Returns the resources that the process has used so far."""
        return usage_of(self.child.pid)

    def close(self) -> str:
        """Ends the process.

        Returns:
            The rest of its output.
        """
        if self.daemon:
            self.child.terminate()
        try:
            output, _ = self.child.communicate(timeout=_EXIT_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.child.kill()
            output, _ = self.child.communicate()
        return output


@attrs.frozen(kw_only=True)
class Usage:
    """Resources that a process has used.

    Attributes:
        cpu: processor time in seconds, user and system.
        rss: resident memory in bytes.
        threads: current number of threads.
    """

    cpu: float
    rss: int
    threads: int


def usage_of(pid: int) -> Usage:
    """Returns the resources that a process has used so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return Usage(
        cpu=(int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND,
        rss=int(fields[21]) * _PAGE_BYTES,
        threads=int(fields[17]),
    )


def signal_ready(**fields: object) -> None:
    """Tells the parent process that this one is ready."""
    print(json.dumps(fields), flush=True)


def wait_for_end() -> None:
    """Waits until the parent process closes standard input."""
    sys.stdin.read()
