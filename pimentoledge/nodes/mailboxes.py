"""An inbox per process, and a connection to each process it sends to.

pynng's push and pull sockets deliver a sender's messages in order and drop
none while the connection is up. When a connection breaks, its pending messages
are discarded, so that none arrives long after its sender gave up on it.
events.Unreachable reports this to the sender.
"""

from collections.abc import Callable
import threading

import attrs
import logbook
import pynng
from returns import result

from pimentoledge.decisions import events
from pimentoledge.nodes import codecs

logger = logbook.Logger("mailboxes")

# Messages buffered per connection; on overflow the connection is closed and
# the peer reported as unreachable.
SEND_BUFFER = 512
RECEIVE_BUFFER = 512
# Largest message that is received, in bytes. Snapshots of the configuration are
# the largest ones. The connection of a sender that announces more is closed.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# How long closing waits for the receiving thread.
CLOSE_SECONDS = 0.5
# How long a message may wait until its connection is up.
CONNECT_TIMEOUT_SECONDS = 1.0
# How long an idle connection stays open. A connection takes about 29 KB, and
# an entry sends messages to thousands of agents.
IDLE_TIMEOUT_SECONDS = 15.0


@attrs.define(kw_only=True)
class PeerUp:
    """A connection came up; the owner's thread sends its pending messages."""

    address: str
    generation: int


@attrs.define(kw_only=True)
class PeerDown:
    """A connection broke."""

    address: str
    generation: int


@attrs.define(kw_only=True)
class Peer:
    """The sending side of a connection to another process.

    Attributes:
        socket: its push socket.
        generation: distinguishes this connection's events from those of an
            earlier connection to the same address.
        opened_at: when the connection was opened.
        last_used_at: when a message was last sent.
        connected: whether the connection is up.
        pending: messages, with their encoding, until the connection is up.
    """

    socket: pynng.Push0
    generation: int
    opened_at: float
    last_used_at: float
    connected: bool = False
    pending: list[tuple[object, bytes]] = attrs.field(factory=list)


class Mailbox:
    """Sends and receives messages between processes.

    All methods except `start` and `close` are called only in the thread that
    owns the process's state machine.

    Attributes:
        address: address of this process, as tcp://ip:port; port 0 chooses a
            free port, which `start` fills in.
        deliver: called with each event, possibly in another thread.
        on_failure: called in the receiving thread with the error that ended it.
        codec: encodes and decodes the messages.
        max_message_bytes: largest message that is received.
        peers: connections by address.
        generation: number of connections opened so far.
        socket: the pull socket, after `start`.
        thread: the receiving thread, after `start`.
    """

    def __init__(
        self,
        *,
        address: str,
        deliver: Callable[[object], None],
        codec: codecs.Codec = codecs.CODEC,
        on_failure: Callable[[Exception], None] = lambda error: None,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ):
        self.address = address
        self.deliver = deliver
        self.on_failure = on_failure
        self.codec = codec
        self.max_message_bytes = max_message_bytes
        self.peers: dict[str, Peer] = {}
        self.generation = 0
        self.socket: pynng.Pull0 | None = None
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        """Listens; raises pynng.NNGException if the address is in use."""
        self.socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER,
            recv_max_size=self.max_message_bytes,
        )
        self.socket.listen(self.address)
        if self.address.endswith(":0"):
            self.address = str(self.socket.listeners[0].url)
        self.thread = threading.Thread(
            target=self.receive, name="mailbox", daemon=True
        )
        self.thread.start()

    def close(self) -> None:
        """Closes all connections and discards pending messages."""
        for peer in self.peers.values():
            peer.socket.close()
        self.peers.clear()
        if self.socket is not None:
            self.socket.close()
        if self.thread is not None:
            self.thread.join(CLOSE_SECONDS)
            if self.thread.is_alive():
                logger.warning("{}: the receiving thread goes on", self.address)

    def receive(self) -> None:
        """Receives messages until the socket is closed."""
        try:
            while True:
                self._receive_one()
        except pynng.Closed:
            return
        except Exception as error:
            logger.exception("the receiving thread of {} ended", self.address)
            self.on_failure(error)

    def _receive_one(self) -> None:
        match self.codec.decode(self.socket.recv()):
            case result.Success(event):
                self.deliver(event)
            case result.Failure(error):
                logger.warning("{}", error.text)

    def send(
        self, address: str, message: object, *, configuration: int, now: float
    ) -> None:
        """Sends a message; a failure is reported by events.Unreachable."""
        self.send_all([address], message, configuration=configuration, now=now)

    def send_all(
        self,
        addresses: list[str],
        message: object,
        *,
        configuration: int,
        now: float,
    ) -> None:
        """Sends a message to several addresses, encoding it once."""
        data = self.codec.encode(
            message, sender=self.address, configuration=configuration
        )
        for address in addresses:
            peer = self.peers.get(address) or self.open(address, now)
            peer.last_used_at = now
            if peer.connected:
                self.push(address, peer, message, data)
            else:
                peer.pending.append((message, data))

    def open(self, address: str, now: float) -> Peer:
        """Starts to open a connection, without waiting until it is up."""
        self.generation += 1
        generation = self.generation
        socket = pynng.Push0(send_buffer_size=SEND_BUFFER)
        peer = Peer(
            socket=socket,
            generation=generation,
            opened_at=now,
            last_used_at=now,
        )
        up = PeerUp(address=address, generation=generation)
        down = PeerDown(address=address, generation=generation)
        socket.add_post_pipe_connect_cb(lambda _: self.deliver(up))
        socket.add_post_pipe_remove_cb(lambda _: self.deliver(down))
        self.peers[address] = peer
        try:
            socket.dial(address, block=False)
        except pynng.NNGException as error:
            # The peer is reported as unreachable like one that doesn't answer.
            logger.warning("{}: no address of a mailbox: {}", address, error)
        return peer

    def push(
        self, address: str, peer: Peer, message: object, data: bytes
    ) -> None:
        """Sends an encoded message over a connection that is up."""
        try:
            peer.socket.send(data, block=False)
        except pynng.NNGException:
            # The buffers are full, because the receiver is paused or
            # unreachable. Blocking would delay messages to all other peers.
            self.drop(address, [message])

    def drop(self, address: str, unsent: list[object]) -> None:
        """Closes a connection and reports its unsent messages."""
        peer = self.peers.pop(address)
        unsent = [message for message, _ in peer.pending] + unsent
        peer.socket.close()
        self.deliver(events.Unreachable(address=address, unsent=unsent))

    def renew(self, address: str, now: float, min_age_seconds: float) -> bool:
        """Closes a connection, so that the next message opens a new one.

        Messages sent over it that have not arrived are lost.

        Args:
            address: address of the peer.
            now: current time.
            min_age_seconds: a younger connection is not closed.

        Returns:
            Whether the connection was closed.
        """
        peer = self.peers.get(address)
        if (
            peer is None
            or not peer.connected
            or now - peer.opened_at < min_age_seconds
        ):
            return False
        del self.peers[address]
        peer.socket.close()
        return True

    def handle(self, event: PeerUp | PeerDown) -> None:
        """Handles a change of a connection's state, in the owner's thread."""
        peer = self.peers.get(event.address)
        if peer is None or peer.generation != event.generation:
            return
        match event:
            case PeerDown():
                self.drop(event.address, [])
            case PeerUp():
                peer.connected = True
                pending, peer.pending = peer.pending, []
                for index, (message, data) in enumerate(pending):
                    if self.peers.get(event.address) is not peer:
                        unsent = [each for each, _ in pending[index:]]
                        self.deliver(
                            events.Unreachable(
                                address=event.address, unsent=unsent
                            )
                        )
                        return
                    self.push(event.address, peer, message, data)

    def expire(self, now: float, partners: set[str]) -> None:
        """Closes connections that did not come up in time or are idle.

        Args:
            now: current time.
            partners: addresses of processes that this one waits for. Their
                connections are kept even if idle, because a broken connection
                is the first sign that a partner has failed.
        """
        for address, peer in list(self.peers.items()):
            if (
                not peer.connected
                and now - peer.opened_at > CONNECT_TIMEOUT_SECONDS
            ):
                self.drop(address, [])
            elif address in partners:
                continue
            elif now - peer.last_used_at > IDLE_TIMEOUT_SECONDS:
                self.peers.pop(address)
                peer.socket.close()
