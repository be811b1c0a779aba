"""What still works, and what is truly refused, through the outages.

docs/operations/outages.md names these tests cell by cell.
"""

import json

import pytest
import urllib3

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.decisions import events
from pimentoledge.runners import fake_engines
from pimentoledge.tests import processes

WAIT = 20.0
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
    for each in processes.basics(KEY):
        started.declare(each)
    yield started
    started.close()


class Caller:
    """A caller of one entry."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT)
        self.headers = {"Authorization": f"Bearer {KEY}"}

    def url(self, path):
        return f"http://{self.daemon.callers.address}{path}"

    def ask(self, tokens=20):
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

    def serves_pages(self):
        """Returns whether metrics and health are there."""
        base = f"http://{self.daemon.admin.address}"
        pages = [
            self.pool.request("GET", base + path)
            for path in ("/metrics", "/healthz", "/readyz")
        ]
        return all(each.status == 200 for each in pages)

    def operate(self, method, path, **headers):
        return self.pool.request(
            method,
            f"http://{self.daemon.admin.address}/admin/v1/{path}",
            body=b'{"concurrency": 7}' if method == "PATCH" else None,
            headers={"Authorization": f"Bearer {OPERATOR}", **headers},
        )


def start(emulator, name, **flags):
    digest = emulators.key_digest(OPERATOR)
    daemon = emulator.add_entry(name, operator_key_digest=digest, **flags)
    caller = Caller(daemon)
    processes.wait_until(daemon.ready)
    processes.wait_until(lambda: caller.ask(1).status == 200)
    processes.wait_until(lambda: caller.get().status == 200)
    return caller


def whole(response, tokens=20):
    """Returns whether an answer is the whole one."""
    expected = fake_engines.expected_text(PROMPT, 0, tokens)
    return processes.read_stream(response) == (expected, True)


def runs_of(emulator, key):
    services = emulator.services.values()
    return sum(each.service.runs_by_key[key] for each in services)


def check_refusals(emulator, caller):
    """Checks that what needs the store is refused, and that truly."""
    refused = caller.post("during")
    error = json.loads(refused.data)["error"]
    assert (error["code"], error["outcome"]) == ("CLAIM_STORE_DOWN", "not_run")
    assert runs_of(emulator, "during") == 0
    read = caller.operate("GET", "contracts/o")
    assert read.status == 200
    match = {"If-Match": read.headers["ETag"]}
    patched = caller.operate("PATCH", "contracts/o", **match)
    error = json.loads(patched.data)["error"]
    assert (error["number"], error["code"]) == (6003, "NOT_ACCEPTED")


def test_all_that_needs_no_claim_goes_on_with_the_store_down(emulator):
    """The platform's store is down for an hour.

    Counter staff and mechanics must not notice: completions, calls that may
    be repeated and the operators' view go on; what needs the store is
    refused at once, and truly.
    """
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_service("c1", "cards")
    caller = start(emulator, "e1")
    first = caller.post("before")
    assert first.status == 200
    emulator.objects.down = True
    assert whole(caller.ask())
    assert caller.get().status == 200
    again = caller.post("before")
    assert (again.status, again.data) == (200, first.data)
    check_refusals(emulator, caller)
    assert caller.serves_pages()
    emulator.objects.down = False
    processes.wait_until(lambda: caller.post("during").status == 200)
    assert runs_of(emulator, "during") == 1


class Cut:
    """Cuts the messages between two groups of daemons."""

    def __init__(self, near, far):
        self.groups = [self.addresses(near), self.addresses(far)]
        self.cut = False
        for daemon in [*near, *far]:
            self.wrap(daemon.loop)

    def addresses(self, daemons):
        return {daemon.loop.mailbox.address for daemon in daemons}

    def wrap(self, loop):
        send = loop.mailbox.send
        here = loop.mailbox.address

        def send_unless_cut(address, message, **fields):
            if self.cut and not self.together(here, address):
                gone = events.Unreachable(address=address, unsent=[message])
                loop.inbox.put(gone)
                return
            send(address, message, **fields)

        loop.mailbox.send = send_unless_cut

    def together(self, *addresses):
        return any(group.issuperset(addresses) for group in self.groups)


def test_each_side_of_a_cut_serves_with_its_own_servers(emulator):
    """A data centre loses the others in the middle of a stream.

    Its callers' streams go on at its own runners, and its job cards run
    once: those whose owner is on the other side go to the next owner, since
    they surely never left.
    """
    for name, centre in (("r1", "a"), ("r2", "b")):
        emulator.add_runner(name, "m", data_centre=centre, step_seconds=0.01)
    for name in ("c1", "c2"):
        emulator.add_service(name, "cards")
    near = start(emulator, "e1", data_centre="a")
    far = start(emulator, "e2", data_centre="b")
    cut = Cut(
        [near.daemon, emulator.runners["r1"].daemon]
        + [emulator.services["c1"].daemon],
        [far.daemon, emulator.runners["r2"].daemon]
        + [emulator.services["c2"].daemon],
    )
    callers = (near, far)
    open_streams = [each.ask(100) for each in callers]
    cut.cut = True
    for each in open_streams:
        assert whole(each, 100)
    for each in callers:
        assert whole(each.ask())
        assert each.get().status == 200
        assert each.serves_pages()
        for number in range(6):
            assert each.post(f"{each.daemon.core.name}-{number}").status == 200
    for each in callers:
        for number in range(6):
            key = f"{each.daemon.core.name}-{number}"
            assert runs_of(emulator, key) == 1


@pytest.mark.timeout(240)
def test_all_entries_restarted_in_an_outage_serve(emulator, addresses):
    """All entries are replaced while the platform's store is down.

    Nobody is left that had read the contracts from it. Callers must find
    what they found before, and what needs the store must be refused truly.
    """
    emulator.add_runner("r1", "m", step_seconds=0.002)
    emulator.add_service("c1", "cards")
    before = [
        start(emulator, f"e{number}", mailbox=address)
        for number, address in enumerate(addresses)
    ]
    first = before[0].post("before")
    assert first.status == 200
    kept_by_agents(emulator)
    emulator.objects.down = True
    for caller in before:
        caller.daemon.close()
    emulator.entries.clear()
    for number, address in enumerate(addresses):
        caller = start(emulator, f"e{number}", mailbox=address)
        assert whole(caller.ask())
        assert caller.get().status == 200
        again = caller.post("before")
        assert (again.status, again.data) == (200, first.data)
        check_refusals(emulator, caller)
        assert caller.serves_pages()


def kept_by_agents(emulator):
    """Waits until the agents together keep every declaration."""
    wanted = {
        declarations.path_of(each)
        for each in [
            *processes.basics(KEY),
            *(each for each in servers_of(emulator)),
        ]
    }

    def kept():
        found = set()
        for each in [*emulator.runners.values(), *emulator.services.values()]:
            found |= each.daemon.loop.query(paths_kept)
        return wanted <= found

    processes.wait_until(kept)


def servers_of(emulator):
    core = emulator.entries[0].core
    return [core.configuration.server(name) for name in ("r1", "c1")]


def paths_kept(core):
    records = core.subscriber.kept.records
    return {path for shelf in records for path in shelf}
