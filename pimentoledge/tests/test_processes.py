"""Tests of the programs as processes: killed, stopped and restarted."""

import json
import signal

import pytest

from pimentoledge.runners import fake_engines
from pimentoledge.tests import processes


@pytest.fixture
def deployment():
    started = processes.Deployment()
    yield started
    started.close()


def can_serve(entry) -> bool:
    """Returns whether an entry answers a short request."""
    return entry.ready() and entry.request_stream(1).status == 200


def expected_stream(tokens: int) -> tuple[str, bool]:
    return fake_engines.expected_text(processes.PROMPT, 0, tokens), True


def test_sigterm_cuts_no_stream_and_ends_with_zero(deployment):
    """Guards against a stream that breaks when its entry is replaced.

    The entry gets SIGTERM in the middle of a stream. The caller must read the
    whole answer, then the entry's process exits; the agent's exits as well.
    """
    _, agent = deployment.start_runner("r1")
    entry = deployment.start_entry("e1")
    processes.wait_until(lambda: can_serve(entry))
    response = entry.request_stream(120)
    first = response.read(10)
    entry.process.popen.send_signal(signal.SIGTERM)
    processes.wait_until(lambda: not entry.ready())
    rest = response.read()
    text, done = processes.read_stream((first + rest).splitlines(True))
    assert (text, done) == expected_stream(120)
    assert entry.process.wait() == 0
    assert agent.end() == 0


def test_a_killed_runner_vm_cuts_no_stream(deployment):
    """Guards against a stream that breaks when its runner's VM crashes.

    The engine and its agent are killed at once, so neither reports the crash.
    The entry detects the broken connection and continues the stream on the
    other runner after the text already sent.
    """
    pairs = [deployment.start_runner("r1"), deployment.start_runner("r2")]
    entry = deployment.start_entry("e1")
    processes.wait_until(lambda: can_serve(entry))
    response = entry.request_stream(200)
    first = response.read(200)
    used = chosen_server(entry)
    for each in pairs[int(used[1:]) - 1]:
        each.end(signal.SIGKILL)
    text, done = processes.read_stream(
        (first + response.read()).splitlines(True)
    )
    assert (text, done) == expected_stream(200)


def chosen_server(entry) -> str:
    """Returns the server of the last route decision in an entry's log."""
    server = entry.process.find(r"route .*choice=(\S+)")
    while not entry.process.lines.empty():
        line = entry.process.lines.get()
        if "route" in line:
            server = line.split("choice=")[1].split()[0]
    return server


def test_a_killed_entry_serves_at_once_after_its_restart(deployment):
    """Guards against an entry that can't serve after a crash.

    It stores no state, so it must serve as soon as it has read the
    configuration, without an operator's help.
    """
    deployment.start_runner("r1")
    killed = deployment.start_entry("e1")
    processes.wait_until(lambda: can_serve(killed))
    assert killed.process.end(signal.SIGKILL) == -signal.SIGKILL
    restarted = deployment.start_entry("e1")
    processes.wait_until(lambda: can_serve(restarted))
    assert processes.read_stream(
        restarted.request_stream(20)
    ) == expected_stream(20)


# Seven processes start one after the other, which is slow on a busy machine.
@pytest.mark.timeout(300)
def test_entries_restart_with_the_store_down(deployment):
    """Guards against entries that can't restart during a store outage.

    First one entry is killed and restarted: it copies the configuration from
    the other entry. Then both are killed at once, so that no entry has the
    configuration any more: they copy it from the agents, each of which stores
    a part of it.
    """
    addresses = [processes.free_mailbox() for _ in range(2)]
    peers = ",".join(addresses)
    for name in ("r1", "r2"):
        deployment.start_runner(name, peers=peers)

    def start(number):
        return deployment.start_entry(
            f"e{number}", addresses[number], peers=peers
        )

    entries = [start(0), start(1)]
    for each in entries:
        processes.wait_until(lambda each=each: can_serve(each))
    deployment.store.end(signal.SIGKILL)
    entries[0].process.end(signal.SIGKILL)
    entries[0] = start(0)
    processes.wait_until(lambda: can_serve(entries[0]))
    for each in entries:
        each.process.end(signal.SIGKILL)
    entries = [start(0), start(1)]
    for each in entries:
        processes.wait_until(lambda each=each: can_serve(each))
        assert processes.read_stream(
            each.request_stream(20)
        ) == expected_stream(20)


def test_a_card_posted_before_and_after_a_kill_runs_once(deployment):
    """Guards against a second run when a call is repeated via another entry.

    The entry that accepted a job card is killed, and the client posts it again.
    The second entry must return the first run's answer: the claim is stored by
    the agent beside the service and in the store, not by the entry.
    """
    deployment.start_service("c1")
    killed, survivor = deployment.start_entry("e1"), deployment.start_entry(
        "e2"
    )
    answer = processes.wait_until(
        lambda: a if (a := killed.post_card("k1")).status == 200 else None
    )
    killed.process.end(signal.SIGKILL)
    second_answer = survivor.post_card("k1")
    assert (second_answer.status, second_answer.data) == (200, answer.data)
    error = json.loads(survivor.post_card("").data)["error"]
    assert error["code"] == "KEY_NEEDED"
    assert error["outcome"] == "not_run"
