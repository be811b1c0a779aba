"""Processes of which a task or a thread ends unexpectedly."""

import time

import pytest

from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import daemons
from pimentoledge.tests import planted_processes

# Lets a method fail in a process that has run for a moment.
PROGRAM = """
import asyncio, sys, time
from pimentoledge.nodes import mailboxes
from pimentoledge.routing import cache_monitors, daemons, fleet_sizes
from pimentoledge.routing import lease_holders, peers, stored_quarantines
from pimentoledge.routing import watchers

started = time.monotonic()

def fail(*_):
    if time.monotonic() - started > 1.0:
        print("failing", flush=True)
        raise ValueError("planted")

def receive_one(self):
    time.sleep(0.1)
    fail()

async def run(self, *_):
    while True:
        await asyncio.sleep(0.1)
        fail()

owner = {owner}
method = "{method}"
setattr(owner, method, {replacement})
sys.exit(daemons.main())
"""
CASES = {
    "main loop": ("peers.PeerMessenger", "tick", "fail"),
    "receiving thread": ("mailboxes.Mailbox", "_receive_one", "receive_one"),
    "watcher": ("watchers.Watcher", "_run", "run"),
    "lease holder": ("lease_holders.LeaseHolder", "_run", "run"),
    "fleet size": ("fleet_sizes.FleetSize", "_run", "run"),
    "quarantines": ("stored_quarantines.StoredQuarantines", "_run", "run"),
    "cache monitor": ("cache_monitors.CacheMonitor", "_keep", "run"),
}


@pytest.mark.parametrize("case", CASES.values(), ids=list(CASES))
def test_a_process_ends_when_one_of_its_tasks_has_ended(case, tmp_path):
    """Guards against a process that lives on and serves nothing."""
    owner, method, replacement = case
    platform = stand_in_platforms.StandInPlatform()
    platform.start(plain=1, runners=1)
    program = PROGRAM.format(
        owner=owner, method=method, replacement=replacement
    )
    try:
        with planted_processes.start(
            program, platform.store.address, tmp_path
        ) as process:
            planted_processes.read_until(process, b"failing")
            failed_at = time.monotonic()
            process.wait(timeout=5)
            took = time.monotonic() - failed_at
            output = process.stdout.read()
    finally:
        platform.close()
    assert process.returncode == daemons.FAILURE_EXIT
    assert b"unexpected error; the process ends" in output
    assert b"planted" in output
    assert took < 1.0
