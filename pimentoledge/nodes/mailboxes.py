"""One inbox per process, and one connection to each process it writes to.

pynng's push and pull sockets keep the order of one sender's messages and
never drop one while the connection lives. What was waiting when a connection
broke is thrown away, so that a message never arrives long after its sender
gave up on it; its sender is told by events.Unreachable.
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

# Messages that one connection buffers; above it the peer counts as stuck.
SEND_BUFFER = 512
RECEIVE_BUFFER = 512
# How long a message waits for a connection to come up.
CONNECT_TIMEOUT_SECONDS = 1.0
# A connection costs some 29 KB, and an entry meets thousands of agents.
IDLE_TIMEOUT_SECONDS = 15.0


@attrs.define(kw_only=True)
class PeerUp:
    """A connection came up; the owner sends what waits for it."""

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
        generation: tells this connection's events from an older one's.
        connected: whether the connection stands.
        pending: messages and their bytes, until it stands.
        opened_at: when it was opened.
        last_used_at: when it was last used.
    """

    socket: pynng.Push0
    generation: int
    opened_at: float
    last_used_at: float
    connected: bool = False
    pending: list[tuple[object, bytes]] = attrs.field(factory=list)


class Mailbox:
    """Sends and receives messages between processes.

    All methods but `start` and `close` belong to the thread that owns the
    process's state machine.

    Attributes:
        address: where this process listens, as tcp://ip:port; port 0 takes a
            free one, and the address is right after `start`.
        deliver: called with each event, from another thread.
        codec: which messages it sends and reads.
        peers: connections by address.
    """

    def __init__(
        self,
        *,
        address: str,
        deliver: Callable[[object], None],
        codec: codecs.Codec = codecs.CODEC,
    ):
        self.address = address
        self.deliver = deliver
        self.codec = codec
        self.peers: dict[str, Peer] = {}
        self.generation = 0
        self.socket: pynng.Pull0 | None = None
        self.thread: threading.Thread | None = None

    def start(self) -> None:
        """Listens; raises pynng.NNGException when the address is taken."""
        self.socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER)
        self.socket.listen(self.address)
        if self.address.endswith(":0"):
            self.address = str(self.socket.listeners[0].url)
        self.thread = threading.Thread(target=self.receive, name="mailbox")
        self.thread.start()

    def close(self) -> None:
        """Closes all connections; what still waits is thrown away."""
        for peer in self.peers.values():
            peer.socket.close()
        self.peers.clear()
        if self.socket is not None:
            self.socket.close()
        if self.thread is not None:
            self.thread.join()

    def receive(self) -> None:
        """Reads messages until the socket is closed."""
        while True:
            try:
                data = self.socket.recv()
            except pynng.Closed:
                return
            match self.codec.decode(data):
                case result.Success(event):
                    self.deliver(event)
                case result.Failure(error):
                    logger.warning("{}", error.text)

    def send(
        self, address: str, message: object, *, configuration: int, now: float
    ) -> None:
        """Sends a message, or reports events.Unreachable later."""
        self.send_all([address], message, configuration=configuration, now=now)

    def send_all(
        self,
        addresses: list[str],
        message: object,
        *,
        configuration: int,
        now: float,
    ) -> None:
        """Sends a message to several; it is encoded once."""
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
        """Starts a connection without waiting for it."""
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
        socket.dial(address, block=False)
        return peer

    def push(
        self, address: str, peer: Peer, message: object, data: bytes
    ) -> None:
        """Hands bytes to the socket of a connection that stands."""
        try:
            peer.socket.send(data, block=False)
        except pynng.NNGException:
            # The receiver reads nothing any more: it is paused or cut off.
            # Blocking here would stop every other peer's traffic too.
            self.drop(address, [message])

    def drop(self, address: str, unsent: list[object]) -> None:
        """Closes a connection and reports it."""
        peer = self.peers.pop(address)
        unsent = [message for message, _ in peer.pending] + unsent
        peer.socket.close()
        self.deliver(events.Unreachable(address=address, unsent=unsent))

    def renew(self, address: str, now: float, min_age_seconds: float) -> bool:
        """Closes a connection, so that the next message opens another one.

        What was handed to it and has not arrived is lost.

        Args:
            address: the process at its other end.
            now: the time.
            min_age_seconds: a connection that is younger stays.

        Returns:
            Whether it was closed.
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
        """Takes the news of a connection, from the owner's thread."""
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
        """Gives up on connections that don't come up, and on idle ones.

        Args:
            now: the time.
            partners: processes that this one waits for. Their connections
                stay, however idle: that one breaks is the first sign of a
                partner's death.
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
