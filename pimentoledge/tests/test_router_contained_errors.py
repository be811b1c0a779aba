"""Errors that one object or one message causes in a router process."""

import json
import time

import pytest

from pimentoledge.nodes import mailboxes
from pimentoledge.platform import names
from pimentoledge.platform import stand_in_platforms
from pimentoledge.routing import peer_messages
from pimentoledge.routing import peers
from pimentoledge.tests import planted_processes
from pimentoledge.tests import router_world

# Lets the handling of whatever has to do with "bad" fail.
PROGRAM = """
import sys
from pimentoledge.platform import objects
from pimentoledge.routing import daemons, object_merges, replicators
from pimentoledge.routing import view_updaters

def planted(owner, method, names_of):
    original = getattr(owner, method)

    def replacement(*arguments, **more):
        if "bad" in names_of(*arguments):
            raise RuntimeError("planted")
        return original(*arguments, **more)

    setattr(owner, method, replacement)

{plants}
sys.exit(daemons.main())
"""
OBJECT_CASES = {
    "decoding": 'planted(objects, "decode_registration", lambda s: [s.name])',
    "applying": (
        'planted(view_updaters.ViewUpdater, "_put_server",'
        " lambda u, r: [r.server])"
    ),
    "none": "",
}


@pytest.fixture
def platform():
    started = stand_in_platforms.StandInPlatform()
    started.start(plain=1, runners=1)
    yield started
    started.close()


def _seen(process, server):
    line = planted_processes.read_until(process, b'"server":"%b"' % server)
    return json.loads(line)["message"] == "server"


@pytest.mark.parametrize(
    "plants", OBJECT_CASES.values(), ids=list(OBJECT_CASES)
)
def test_an_error_in_one_entry_costs_no_other(plants, platform, tmp_path):
    """Guards against a defect that keeps all later changes from a router."""
    bad = platform.servers["p0"].entry()
    entries = {"a-good": bad, "bad": bad, "c-good": bad}
    with planted_processes.start(
        PROGRAM.format(plants=plants), platform.store.address, tmp_path
    ) as process:
        planted_processes.read_until(process, b'"server":"p0"')
        for round_number in range(2):
            for name, entry in entries.items():
                entry = {**entry, "slots": 1 + round_number}
                platform.store.put(names.SERVER_KIND, name, entry)
            assert _seen(process, b"c-good")
        platform.store.remove(names.SERVER_KIND, "bad")
        platform.store.put(names.SERVER_KIND, "later", bad)
        assert _seen(process, b"later")
        assert process.poll() is None


def test_an_error_in_one_message_costs_no_other(platform, tmp_path):
    """Guards against a message that ends the routers that receive it."""
    plants = (
        'planted(replicators.Replicator, "send_listing",'
        " lambda r, address, kind: [kind])"
    )
    listen = f"127.0.0.1:{router_world.free_port()}"
    with planted_processes.start(
        PROGRAM.format(plants=plants),
        platform.store.address,
        tmp_path,
        peer_listen=listen,
    ) as process:
        planted_processes.read_until(process, b'"server":"p0"')
        received = []
        mailbox = mailboxes.Mailbox(
            address=f"tcp://127.0.0.1:{router_world.free_port()}",
            deliver=received.append,
            codec=peers.CODEC,
        )
        mailbox.start()
        try:
            for kind in ("bad", "servers"):
                mailbox.send(
                    f"tcp://{listen}",
                    peer_messages.ListingRequest(kind=kind),
                    configuration=0,
                    now=time.monotonic(),
                )
            _wait_for_message(mailbox, received, peer_messages.FullListing)
            line = planted_processes.read_until(process, b'"defect"')
            assert b"ListingRequest from" in line
        finally:
            mailbox.close()
        assert process.poll() is None


def _wait_for_message(mailbox, received, kind):
    end = time.monotonic() + 5
    while time.monotonic() < end:
        for event in list(received):
            received.remove(event)
            if isinstance(event, mailboxes.PeerUp | mailboxes.PeerDown):
                mailbox.handle(event)
            elif isinstance(getattr(event, "message", None), kind):
                return
        time.sleep(0.01)
    raise AssertionError(f"no {kind.__name__}")
