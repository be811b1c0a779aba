"""Tests of the configuration with real entries and agents, on loopback."""

import pytest

from pimentoledge import emulators
from pimentoledge.decisions import declarations
from pimentoledge.operators import clients
from pimentoledge.tests import processes

ADMIN_KEY = "an-admin-key-of-the-path"
DIGEST = declarations.key_digest(ADMIN_KEY)


@pytest.fixture
def emulator():
    started = emulators.Emulator()
    started.start()
    yield started
    started.close()


def client_of(daemon):
    client = clients.AdminClient(
        url=f"http://{daemon.admin.address}", key=ADMIN_KEY
    )
    client.start()
    return client


def test_declarations_reach_every_node(emulator):
    runner = emulator.add_runner("r1", "m")
    first = emulator.add_entry("entry-1", operator_key_digest=DIGEST)
    second = emulator.add_entry("entry-2", operator_key_digest=DIGEST)
    processes.wait_until(lambda: first.ready() and second.ready())
    client = client_of(first)
    client.write("PUT", "models/m", fields={"weights": "w1"}, expected=0)
    fields = {"models": ["m"], "keys": ["a-key-of-a-caller-1"]}
    created = client.write("PUT", "contracts/o", fields=fields, expected=0)
    assert created.unwrap().status == 201
    processes.wait_until(lambda: second.core.configuration.contracts.get("o"))
    view = runner.daemon.core.configuration
    processes.wait_until(lambda: view.model("m") and view.server("r1"))
    processes.wait_until(
        lambda: [
            each["same"]
            for each in client.read("status").unwrap().fields["entries"]
        ]
        == [True, True]
    )
    client.close()


def test_entry_that_starts_while_the_store_is_down_serves(emulator):
    """Guards against clients that are refused as unknown after a replacement.

    The store is down, so the new entry can't read the contracts from it. It
    must copy them from the other entry.
    """
    emulator.declare(declarations.Contract(organisation="o"))
    first = emulator.add_entry("entry-1", operator_key_digest=DIGEST)
    processes.wait_until(first.ready)
    emulator.store.close()
    peers = first.loop.mailbox.address
    late = emulator.add_entry("entry-2", peers=peers)
    processes.wait_until(late.ready)
    assert "o" in late.core.configuration.contracts
    client = client_of(first)
    refused = client.write("DELETE", "contracts/o", expected=1).unwrap()
    assert refused.fields["error"]["number"] in (6003, 6008)
    assert client.read("contracts/o").unwrap().from_local_copy
    client.close()
