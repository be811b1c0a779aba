"""Tests of codec, mailboxes, timers and event loop."""

import contextlib
import queue
import socket
import struct
import time

import pynng
from returns import result

from pimentoledge.decisions import configuration
from pimentoledge.decisions import events
from pimentoledge.decisions import timers
from pimentoledge.nodes import codecs
from pimentoledge.nodes import loops
from pimentoledge.nodes import mailboxes
from pimentoledge.nodes import messages

WAIT_SECONDS = 10.0


class MailboxOwner:
    """A mailbox and the inbox of its owner."""

    def __init__(self):
        self.inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self.mailbox = mailboxes.Mailbox(
            address="tcp://127.0.0.1:0", deliver=self.inbox.put
        )
        self.mailbox.start()

    def send(self, address: str, number: int):
        message = messages.Cancel(request="r", attempt=number)
        now = time.monotonic()
        self.mailbox.send(address, message, configuration=7, now=now)

    def next_event(self, kind: type) -> object:
        """Returns the next event of a kind; handles connection events."""
        deadline = time.monotonic() + WAIT_SECONDS
        while True:
            self.mailbox.expire(time.monotonic(), set())
            try:
                event = self.inbox.get(timeout=0.05)
            except queue.Empty:
                assert time.monotonic() < deadline
                continue
            if isinstance(event, mailboxes.PeerUp | mailboxes.PeerDown):
                self.mailbox.handle(event)
            if isinstance(event, kind):
                return event


def test_messages_decode_to_what_was_encoded():
    status = messages.ServerStatus(server="s")
    dispatch = messages.Dispatch(
        request="r",
        attempt=1,
        organisation="o",
        priority="batch",
        seconds_left=1.5,
        server="s",
        fingerprint=b"\x00\xff",
        call=messages.ServiceCall(
            service="c", method="GET", path="/", headers=[("a", "b")]
        ),
    )
    failed = messages.Failed(
        request="r", attempt=1, code=4001, ran="ran", truth=status
    )
    for message in (dispatch, failed, messages.Frames(frames=[])):
        data = codecs.CODEC.encode(message, sender="tcp://a", configuration=3)
        event = codecs.CODEC.decode(data).unwrap()
        assert event == events.FromNode(
            sender="tcp://a", message=message, configuration=3
        )


def test_bytes_that_are_not_a_message_give_an_error():
    for data in (
        b"",
        b"\xc1",
        b"\x94\x01\xa1a\x00\xc0",
        b"\x94\x7f\xa1a\x00\xc0",
    ):
        assert isinstance(codecs.CODEC.decode(data), result.Failure)


def test_messages_arrive_in_order_with_their_sender():
    sender, receiver = MailboxOwner(), MailboxOwner()
    for number in range(300):
        sender.send(receiver.mailbox.address, number)
    # Pending messages are sent once the connection is up.
    sender.next_event(mailboxes.PeerUp)
    received = [receiver.next_event(events.FromNode) for _ in range(300)]
    assert [each.message.attempt for each in received] == list(range(300))
    assert received[0].sender == sender.mailbox.address
    assert received[0].configuration == 7
    sender.mailbox.close()
    receiver.mailbox.close()


def test_an_unreachable_peer_returns_the_unsent_messages():
    """Guards against a caller that waits for an agent whose VM is gone.

    The connection never comes up. The entry must learn soon that its message
    was not sent, so that the request is known to be not run and a retry is
    safe.
    """
    probe = pynng.Pull0(listen="tcp://127.0.0.1:0")
    unused_address = str(probe.listeners[0].url)
    probe.close()
    sender = MailboxOwner()
    sender.send(unused_address, 1)
    event = sender.next_event(events.Unreachable)
    assert event.address == unused_address
    assert [each.attempt for each in event.unsent] == [1]
    sender.mailbox.close()


def test_a_broken_connection_is_reported():
    """Guards against a caller that waits until the deadline for a dead agent.

    The agent is killed before it replies; the broken connection must be
    reported to the entry.
    """
    sender, receiver = MailboxOwner(), MailboxOwner()
    sender.send(receiver.mailbox.address, 1)
    sender.next_event(mailboxes.PeerUp)
    receiver.next_event(events.FromNode)
    receiver.mailbox.close()
    event = sender.next_event(events.Unreachable)
    assert event.unsent == []
    sender.mailbox.close()


def test_timers_fire_once_at_their_newest_time():
    pending = timers.Timers()
    pending.set(("a",), 1.0)
    pending.set(("b",), 2.0)
    pending.set(("a",), 3.0)
    pending.cancel(("b",))
    assert pending.next() == 3.0
    assert pending.due(2.5) == []
    assert pending.due(3.0) == [("a",)]
    assert pending.next() is None


class Core:
    """A state machine that raises an exception on some events."""

    def __init__(self):
        self.configuration = configuration.Configuration()
        self.handled: list[object] = []

    def handle(self, event, now):
        if event == "bad":
            raise ValueError("a defect")
        self.handled.append(event)
        return []

    def tick(self, now):
        return []

    def flush(self):
        return []

    def next_wake(self):
        return None

    def partners(self):
        return set()


def test_an_exception_affects_only_the_event_that_raised_it():
    """Guards against one request's exception breaking other streams.

    If the whole batch were discarded, every stream with a frame in it would
    lose that frame and break; if the thread ended, all streams would hang.
    """
    core, failed_events = Core(), []
    loop = loops.EventLoop(
        core=core,
        mailbox_address="tcp://127.0.0.1:0",
        perform=lambda due: None,
        on_error=lambda event: failed_events.append(event) or [],
    )
    loop.start()
    for event in ("one", "bad", "two"):
        loop.inbox.put(event)
    loop.run_thread()
    loop.close()
    assert core.handled == ["one", "two"]
    assert failed_events == ["bad"]


def test_an_idle_connection_is_closed_and_reopened_on_use():
    """Guards against connections that use up a node's memory.

    An entry sends to thousands of agents a minute, and each connection takes
    about 29 KB, so open idle connections would exceed a node's memory budget
    several times. A closed connection must be reopened without a loss.
    """
    sender, receiver = MailboxOwner(), MailboxOwner()
    sender.send(receiver.mailbox.address, 1)
    sender.next_event(mailboxes.PeerUp)
    receiver.next_event(events.FromNode)
    later = time.monotonic() + mailboxes.IDLE_TIMEOUT_SECONDS + 1
    sender.mailbox.expire(later, {receiver.mailbox.address})
    assert sender.mailbox.peers
    sender.mailbox.expire(later, set())
    assert not sender.mailbox.peers
    sender.send(receiver.mailbox.address, 2)
    sender.next_event(mailboxes.PeerUp)
    assert receiver.next_event(events.FromNode).message.attempt == 2
    sender.mailbox.close()
    receiver.mailbox.close()


def test_a_message_above_the_maximum_is_not_received():
    """Guards against announced messages that fill the memory."""
    mailbox = mailboxes.Mailbox(
        address="tcp://127.0.0.1:0",
        deliver=lambda event: None,
        max_message_bytes=1000,
    )
    mailbox.start()
    try:
        port = int(mailbox.address.rpartition(":")[2])
        with socket.create_connection(("127.0.0.1", port)) as sock:
            # The handshake of a push socket, and the size of a message.
            sock.sendall(b"\0SP\0\0\x50\0\0" + struct.pack(">Q", 2000))
            sock.settimeout(5)
            with contextlib.suppress(ConnectionError):
                while sock.recv(100):
                    pass
    finally:
        mailbox.close()
