"""Router processes in which a test plants an error."""

import contextlib
import os
import subprocess
import sys
import threading

from pimentoledge.routing import daemons

# Ends a process that a failed test would wait for.
GUARD_SECONDS = 30.0


@contextlib.contextmanager
def start(
    program, store_address, folder, *, guard_seconds=GUARD_SECONDS, **settings
):
    """Starts a program that runs a router, and kills it at the end.

    Args:
        program: source of the program.
        store_address: IP:PORT of the store.
        folder: directory for the settings file.
        guard_seconds: the process is killed after so many seconds.
        **settings: further settings; underscores stand for hyphens.

    Yields:
        The process, whose standard output is a pipe.
    """
    chosen = {
        "name": "r",
        "store-address": store_address,
        "listen": "127.0.0.1:0",
        "ready-listen": "127.0.0.1:0",
        "metrics-listen": "127.0.0.1:0",
        "peer-listen": "127.0.0.1:0",
    }
    for name, value in settings.items():
        chosen[name.replace("_", "-")] = value
    path = folder / f"{chosen['name']}.toml"
    path.write_text(
        "".join(f'{name} = "{value}"\n' for name, value in chosen.items())
    )
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        env={**os.environ, daemons.CONFIG_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    )
    guard = threading.Timer(guard_seconds, process.kill)
    guard.start()
    try:
        yield process
    finally:
        guard.cancel()
        process.kill()
        process.wait()
        process.stdout.close()


def read_until(process, text):
    """Reads output up to the line with a text, and returns that line.

    Fails when the process ends before.
    """
    lines = []
    for line in process.stdout:
        lines.append(line)
        if text in line:
            return line
    raise AssertionError(b"".join(lines).decode())


def read_in_background(process):
    """Reads all output, so that the process never blocks on a full pipe."""
    threading.Thread(target=process.stdout.read, daemon=True).start()
