"""Tests of what works and what is refused during outages.

The table in docs/operations/outages.md refers to these tests by name.
"""

import json

import pytest
import urllib3

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.runners import fake_engines
from pimentoledge.tests import processes

WAIT_SECONDS = 20.0
KEY = "outage-key"
OPERATOR = "operator-key"
PROMPT = "What the manual says of this bearing. " * 30


@pytest.fixture
def addresses():
    return [processes.free_mailbox() for _ in range(2)]


@pytest.fixture
def emulator(addresses):
    started = emulators.Emulator(peers=",".join(addresses))
    started.start()
    for each in processes.basic_declarations(KEY):
        started.declare(each)
    yield started
    started.close()


class Caller:
    """A client of one entry's API and admin API."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)
        self.headers = {"Authorization": f"Bearer {KEY}"}

    def url(self, path):
        return f"http://{self.daemon.callers.address}{path}"

    def request_completion(self, tokens=20):
        body = {
            "model": "m",
            "prompt": PROMPT,
            "max_tokens": tokens,
            "stream": True,
        }
        return self.pool.request(
            "POST",
            self.url("/v1/completions"),
            json=body,
            headers=self.headers,
            preload_content=False,
        )

    def post(self, key):
        headers = {**self.headers, "Idempotency-Key": key}
        url = self.url("/services/cards/new")
        return self.pool.request("POST", url, body=b"{}", headers=headers)

    def get(self):
        url = self.url("/services/cards/list")
        return self.pool.request("GET", url, headers=self.headers)

    def serves_admin_pages(self):
        """Returns whether the pages of metrics and health are served."""
        base = f"http://{self.daemon.admin.address}"
        pages = [
            self.pool.request("GET", base + path)
            for path in ("/metrics", "/healthz", "/readyz")
        ]
        return all(each.status == 200 for each in pages)

    def call_admin_api(self, method, path, **headers):
        return self.pool.request(
            method,
            f"http://{self.daemon.admin.address}/admin/v1/{path}",
            body=b'{"concurrency": 7}' if method == "PATCH" else None,
            headers={"Authorization": f"Bearer {OPERATOR}", **headers},
        )


def start_entry(emulator, name, **flags):
    digest = emulators.key_digest(OPERATOR)
    daemon = emulator.add_entry(name, operator_key_digest=digest, **flags)
    caller = Caller(daemon)
    processes.wait_until(daemon.ready)
    processes.wait_until(lambda: caller.request_completion(1).status == 200)
    processes.wait_until(lambda: caller.get().status == 200)
    return caller


def is_complete(response, tokens=20):
    """Returns whether a stream has the whole expected answer."""
    expected = fake_engines.expected_text(PROMPT, 0, tokens)
    return processes.read_stream(response) == (expected, True)


def run_count(emulator, key):
    services = emulator.services.values()
    return sum(each.service.runs_by_key[key] for each in services)


def check_refusals(emulator, caller):
    """Checks that what needs the store is refused with the correct error."""
    refused = caller.post("during")
    error = json.loads(refused.data)["error"]
    assert (error["code"], error["outcome"]) == ("CLAIM_STORE_DOWN", "not_run")
    assert run_count(emulator, "during") == 0
    read = caller.call_admin_api("GET", "contracts/o")
    assert read.status == 200
    precondition = {"If-Match": read.headers["ETag"]}
    patched = caller.call_admin_api("PATCH", "contracts/o", **precondition)
    error = json.loads(patched.data)["error"]
    assert (error["number"], error["code"]) == (6003, "NOT_ACCEPTED")


def test_all_that_needs_no_claim_goes_on_with_the_store_down(emulator):
    """Guards against a store outage that stops requests which need no store.

    Completions, repeatable calls and the operators' reads must work. Requests
    that need the store must be refused at once with the correct outcome.
    """
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_service("c1", "cards")
    caller = start_entry(emulator, "e1")
    first = caller.post("before")
    assert first.status == 200
    emulator.objects.down = True
    assert is_complete(caller.request_completion())
    assert caller.get().status == 200
    again = caller.post("before")
    assert (again.status, again.data) == (200, first.data)
    check_refusals(emulator, caller)
    assert caller.serves_admin_pages()
    emulator.objects.down = False
    processes.wait_until(lambda: caller.post("during").status == 200)
    assert run_count(emulator, "during") == 1


class NetworkPartition:
    """Drops the messages between two groups of daemons while active.

    The sender of a dropped message is notified that the address is unreachable.
    """

    def __init__(self, near, far):
        self.groups = [self.addresses(near), self.addresses(far)]
        self.active = False
        for daemon in [*near, *far]:
            self.intercept_sends(daemon.loop)

    def addresses(self, daemons):
        return {daemon.loop.mailbox.address for daemon in daemons}

    def intercept_sends(self, loop):
        send = loop.mailbox.send
        own_address = loop.mailbox.address

        def send_unless_partitioned(address, message, **fields):
            if self.active and not self.on_same_side(own_address, address):
                unreachable = events.Unreachable(
                    address=address, unsent=[message]
                )
                loop.inbox.put(unreachable)
                return
            send(address, message, **fields)

        loop.mailbox.send = send_unless_partitioned

    def on_same_side(self, *addresses):
        return any(group.issuperset(addresses) for group in self.groups)


def test_each_side_of_a_cut_serves_with_its_own_servers(emulator):
    """A network partition separates two data centres in the middle of streams.

    The streams of each side must continue on its own runners, and its calls
    must run once. Calls whose owner is on the other side go to the next owner,
    which is safe because they were certainly not sent.
    """
    for name, centre in (("r1", "a"), ("r2", "b")):
        emulator.add_runner(name, "m", data_centre=centre, step_seconds=0.01)
    for name in ("c1", "c2"):
        emulator.add_service(name, "cards")
    near = start_entry(emulator, "e1", data_centre="a")
    far = start_entry(emulator, "e2", data_centre="b")
    partition = NetworkPartition(
        [near.daemon, emulator.runners["r1"].daemon]
        + [emulator.services["c1"].daemon],
        [far.daemon, emulator.runners["r2"].daemon]
        + [emulator.services["c2"].daemon],
    )
    callers = (near, far)
    open_streams = [each.request_completion(100) for each in callers]
    partition.active = True
    for each in open_streams:
        assert is_complete(each, 100)
    for each in callers:
        assert is_complete(each.request_completion())
        assert each.get().status == 200
        assert each.serves_admin_pages()
        for number in range(6):
            assert each.post(f"{each.daemon.core.name}-{number}").status == 200
    for each in callers:
        for number in range(6):
            key = f"{each.daemon.core.name}-{number}"
            assert run_count(emulator, key) == 1


@pytest.mark.timeout(240)
def test_all_entries_restarted_in_an_outage_serve(emulator, addresses):
    """All entries are replaced while the platform's store is down.

    None of them can read the contracts from the store: they copy them from the
    agents. Requests must be served as before, and those that need the store
    must be refused with the correct outcome.
    """
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_service("c1", "cards")
    before = [
        start_entry(emulator, f"e{number}", mailbox=address)
        for number, address in enumerate(addresses)
    ]
    first = before[0].post("before")
    assert first.status == 200
    wait_until_agents_store_all(emulator)
    emulator.objects.down = True
    for caller in before:
        caller.daemon.close()
    emulator.entries.clear()
    for number, address in enumerate(addresses):
        caller = start_entry(emulator, f"e{number}", mailbox=address)
        assert is_complete(caller.request_completion())
        assert caller.get().status == 200
        again = caller.post("before")
        assert (again.status, again.data) == (200, first.data)
        check_refusals(emulator, caller)
        assert caller.serves_admin_pages()


def wait_until_agents_store_all(emulator):
    """Waits until each declaration is stored by at least one agent."""
    expected = {
        declarations.path_of(each)
        for each in [
            *processes.basic_declarations(KEY),
            *(each for each in declared_servers(emulator)),
        ]
    }

    def all_stored():
        stored = set()
        for each in [*emulator.runners.values(), *emulator.services.values()]:
            stored |= each.daemon.loop.query(stored_paths)
        return expected <= stored

    processes.wait_until(all_stored)


def declared_servers(emulator):
    core = emulator.entries[0].core
    return [core.configuration.server(name) for name in ("r1", "c1")]


def stored_paths(core):
    records = core.subscriber.kept.records
    return {path for bucket in records for path in bucket}
