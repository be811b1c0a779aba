"""Distinguishes peers that read slowly from peers that are unreachable.

TCP_USER_TIMEOUT ends a connection also while the peer's window is closed,
although a peer that acknowledges each probe of its window is alive. So the
timeout doesn't apply to a connection from then on, until the peer has taken
all or acknowledges nothing: a window that has opened may close again before
the next check. What is held for such a peer is bounded by the buffer budget,
and for how long by the deadline of its request.
"""

from collections.abc import Iterable
import socket
import struct

import attrs

from pimentoledge.routing import server_connections

# A closed window must be noticed before the timeout has passed.
CHECK_SECONDS = 0.3
# Unanswered probes of a window that show that a peer is unreachable. One may be
# on its way.
UNANSWERED_PROBES = 2
# Fields of struct tcp_info (linux/tcp.h).
_INFO = struct.Struct("=3xB4xI4xI4xI28xI84xI80xI")


@attrs.frozen(kw_only=True)
class SendState:
    """State of the sending side of a connection.

    Attributes:
        probes: number of unanswered probes of the peer's window.
        retransmit_ms: time until unacknowledged data is sent again.
        segment_bytes: largest segment.
        unacknowledged: segments that are sent and not acknowledged.
        acknowledged_ms: time since the peer's last acknowledgement.
        unsent_bytes: bytes that wait to be sent.
        window_bytes: bytes that the peer accepts.
    """

    probes: int
    retransmit_ms: float
    segment_bytes: int
    unacknowledged: int
    acknowledged_ms: int
    unsent_bytes: int
    window_bytes: int

    def is_alive(self) -> bool:
        """Returns whether the peer has acknowledged what it could."""
        if not self.unacknowledged:
            return self.probes < UNANSWERED_PROBES
        limit = max(
            server_connections.UNACKNOWLEDGED_MS, 2 * self.retransmit_ms
        )
        return self.acknowledged_ms < limit

    def waits_for_reader(self) -> bool:
        """Returns whether the peer is alive and its window is closed."""
        # A part of a segment may be sent that the peer has no room for.
        closed = (
            not self.unacknowledged or self.window_bytes < self.segment_bytes
        )
        return self.unsent_bytes > 0 and closed and self.is_alive()


def send_state(sock: socket.socket) -> SendState | None:
    """Returns the state of the sending side, or None if it isn't known."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size)
    except OSError:
        return None
    if len(data) < _INFO.size:
        return None
    probes, retransmit_us, segment, unacked, acked_ms, unsent, window = (
        _INFO.unpack(data)
    )
    return SendState(
        probes=probes,
        retransmit_ms=retransmit_us / 1000,
        segment_bytes=segment,
        unacknowledged=unacked,
        acknowledged_ms=acked_ms,
        unsent_bytes=unsent,
        window_bytes=window,
    )


class SlowReaders:
    """Suspends the timeout of connections whose peer reads slowly.

    Attributes:
        unsent: the sockets that had unsent bytes at the last check.
        waiting: those of them whose timeout is suspended.
    """

    def __init__(self):
        self.unsent: set[socket.socket] = set()
        self.waiting: set[socket.socket] = set()
        self._next_check = 0.0

    def tick(self, sockets: Iterable[socket.socket], now: float) -> None:
        """Checks the sockets of connections on which data may be waiting.

        Args:
            sockets: the sockets.
            now: the time, in seconds of clocks.now.
        """
        if now < self._next_check:
            return
        self._next_check = now + CHECK_SECONDS
        unsent, waiting = set(), set()
        for each in self.unsent.union(sockets):
            state = send_state(each) if each.fileno() >= 0 else None
            if state is None or not state.unsent_bytes:
                continue
            unsent.add(each)
            was_waiting = each in self.waiting
            if state.is_alive() if was_waiting else state.waits_for_reader():
                waiting.add(each)
        for each in waiting - self.waiting:
            _set_timeout(each, 0)
        for each in self.waiting - waiting:
            _restore_timeout(each)
        self.unsent, self.waiting = unsent, waiting


def _restore_timeout(sock: socket.socket) -> None:
    """Restores the timeout, unless the connection is held meanwhile.

    One that is held for an unreachable client has no keepalive probes either.
    """
    if sock.fileno() < 0:
        return
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        _set_timeout(sock, server_connections.UNACKNOWLEDGED_MS)


def _set_timeout(sock: socket.socket, milliseconds: int) -> None:
    if sock.fileno() >= 0:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )
