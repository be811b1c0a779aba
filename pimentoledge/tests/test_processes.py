"""The programs as processes: killed, told to end, and started again."""

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


def serves(entry) -> bool:
    """Returns whether an entry answers a short request."""
    return entry.ready() and entry.ask(1).status == 200


def expected(tokens: int) -> tuple[str, bool]:
    return fake_engines.expected_text(processes.PROMPT, 0, tokens), True


def test_sigterm_cuts_no_stream_and_ends_with_zero(deployment):
    """An entry is replaced while a mechanic reads a long answer.

    SIGTERM comes in the middle of the stream. The caller reads the whole
    answer, then the process ends by itself; so does the agent's.
    """
    _, agent = deployment.runner("r1")
    entry = deployment.entry("e1")
    processes.wait_until(lambda: serves(entry))
    response = entry.ask(120)
    first = response.read(10)
    entry.process.popen.send_signal(signal.SIGTERM)
    processes.wait_until(lambda: not entry.ready())
    rest = response.read()
    text, done = processes.read_stream((first + rest).splitlines(True))
    assert (text, done) == expected(120)
    assert entry.process.wait() == 0
    assert agent.end() == 0


def test_a_killed_runner_vm_cuts_no_stream(deployment):
    """A VM with an engine and its agent dies in the middle of a stream.

    Both are killed at once, so nobody is left to say so. The entry sees the
    connection break and goes on at the other runner behind what was sent.
    """
    pairs = [deployment.runner("r1"), deployment.runner("r2")]
    entry = deployment.entry("e1")
    processes.wait_until(lambda: serves(entry))
    response = entry.ask(200)
    first = response.read(200)
    used = chosen_server(entry)
    for each in pairs[int(used[1:]) - 1]:
        each.end(signal.SIGKILL)
    text, done = processes.read_stream(
        (first + response.read()).splitlines(True)
    )
    assert (text, done) == expected(200)


def chosen_server(entry) -> str:
    """Returns the server of the newest route line of an entry's log."""
    used = entry.process.find(r"route .*choice=(\S+)")
    while not entry.process.lines.empty():
        line = entry.process.lines.get()
        if "route" in line:
            used = line.split("choice=")[1].split()[0]
    return used


def test_a_killed_entry_serves_at_once_after_its_restart(deployment):
    """An entry is killed, and its VM's slot starts it again.

    It kept nothing. It must serve as soon as it has read the configuration,
    with no help from an operator.
    """
    deployment.runner("r1")
    one = deployment.entry("e1")
    processes.wait_until(lambda: serves(one))
    assert one.process.end(signal.SIGKILL) == -signal.SIGKILL
    again = deployment.entry("e1")
    processes.wait_until(lambda: serves(again))
    assert processes.read_stream(again.ask(20)) == expected(20)


# Seven processes start, one after the other; on a busy machine that takes long.
@pytest.mark.timeout(300)
def test_entries_restart_with_the_store_down(deployment):
    """The platform's store is gone, and entries are replaced all the same.

    First one entry is killed and started again: the other one gives it the
    configuration. Then both are killed at once, so that no entry is left
    that knows it: they get it from the agents, which keep a share each.
    """
    addresses = [processes.free_mailbox() for _ in range(2)]
    peers = ",".join(addresses)
    for name in ("r1", "r2"):
        deployment.runner(name, peers=peers)

    def start(number):
        return deployment.entry(f"e{number}", addresses[number], peers=peers)

    entries = [start(0), start(1)]
    for each in entries:
        processes.wait_until(lambda each=each: serves(each))
    deployment.store.end(signal.SIGKILL)
    entries[0].process.end(signal.SIGKILL)
    entries[0] = start(0)
    processes.wait_until(lambda: serves(entries[0]))
    for each in entries:
        each.process.end(signal.SIGKILL)
    entries = [start(0), start(1)]
    for each in entries:
        processes.wait_until(lambda each=each: serves(each))
        assert processes.read_stream(each.ask(20)) == expected(20)


def test_a_card_posted_before_and_after_a_kill_runs_once(deployment):
    """The entry that took a job card is killed, and the page posts again.

    The second entry gives the first run's answer: the claim is kept by the
    agent beside the service and by the store, not by the entry.
    """
    deployment.service("c1")
    one, other = deployment.entry("e1"), deployment.entry("e2")
    answer = processes.wait_until(
        lambda: a if (a := one.post_card("k1")).status == 200 else None
    )
    one.process.end(signal.SIGKILL)
    again = other.post_card("k1")
    assert (again.status, again.data) == (200, answer.data)
    unknown = json.loads(other.post_card("").data)["error"]
    assert unknown["code"] == "KEY_NEEDED"
    assert unknown["outcome"] == "not_run"
