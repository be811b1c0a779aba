"""The sockets on which a router accepts connections."""

import asyncio
from collections.abc import Callable
import errno
import socket
import struct

import logbook

from pimentoledge.routing import clocks
from pimentoledge.routing import connection_limits
from pimentoledge.routing import connection_slots
from pimentoledge.routing import log_lines

logger = logbook.Logger("listeners")

BACKLOG = 512
# Size of a connection's receive buffer. The kernel would let it grow to many MB
# for a client that is read, and keep these while it isn't.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Connections accepted in a row before other work of the event loop.
MAX_ACCEPTED_AT_ONCE = 64
# Closes a socket with a reset, so that its client knows at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Errors that last until descriptors or memory are free.
_NO_RESOURCES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
# Time until the next try after such an error.
NO_RESOURCES_SECONDS = 0.05
# Interval between log lines of refused connections.
LOG_SECONDS = 1.0


class ClientListener:
    """Accepts connections of clients, or closes them unread.

    Attributes:
        address: IP:PORT to listen on.
        make: returns the protocol of an accepted connection.
        limit: decides which connections are accepted.
        slots: counts the open connections.
        in_progress: returns the number of requests in progress, and of
            connections without a request so far.
        late_share: returns the share of time in which the event loop is late.
        lines: log of refused connections.
    """

    def __init__(
        self,
        *,
        address: str,
        make: Callable[[], asyncio.Protocol],
        limit: connection_limits.ConnectionLimit,
        slots: connection_slots.ConnectionSlots,
        in_progress: Callable[[], int],
        late_share: Callable[[float], float],
        lines: log_lines.Lines,
    ):
        self.address = address
        self.make = make
        self.limit = limit
        self.slots = slots
        self.in_progress = in_progress
        self.late_share = late_share
        self.lines = lines
        self._socket: socket.socket | None = None
        self._pending: set[asyncio.Task] = set()
        self._logged_at = 0.0
        self._logged = 0
        self._ended_logged_at = 0.0
        self._ended_logged = 0
        self._retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        # Accepted sockets inherit it.
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._resume()

    def _resume(self) -> None:
        asyncio.get_running_loop().add_reader(
            self._socket.fileno(), self._accept
        )

    def close(self) -> None:
        """Stops to listen; accepted connections stay open."""
        if self._socket is None:
            return
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            if self.slots.is_full(len(self._pending)) and self._make_room():
                # Its descriptor is free in the next iteration.
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._not_accepted(error)
                return
            self._handle(accepted)

    def _not_accepted(self, error: OSError) -> None:
        self.lines.write("not_accepted", why=str(error))
        if error.errno not in _NO_RESOURCES:
            return
        self._make_room()
        # The socket stays readable: without a pause the loop would do nothing
        # else.
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        self._retry = loop.call_later(NO_RESOURCES_SECONDS, self._resume)

    def _make_room(self) -> bool:
        if not self.slots.make_room():
            return False
        self._log_ended(clocks.now())
        return True

    def _handle(self, accepted: socket.socket) -> None:
        now = clocks.now()
        late = self.late_share(now)
        in_progress = 0
        if self.limit.is_needed(late):
            # To count takes longer the more connections are open.
            in_progress = self.in_progress() + len(self._pending)
        # All open connections are busy, or there would be room.
        full = self.slots.is_full(len(self._pending))
        if full or not self.limit.accepts(in_progress, late, now):
            self.limit.refused += full
            accepted.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            accepted.close()
            self._log_refused(in_progress, late, now)
            return
        accepted.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._open(accepted))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                self.make, accepted
            )
        except OSError as error:
            # The client has closed it already.
            accepted.close()
            self.lines.write("not_accepted", why=str(error))

    def _log_ended(self, now: float) -> None:
        if now - self._ended_logged_at < LOG_SECONDS:
            return
        self.lines.write(
            "connections_ended",
            number=self.slots.ended - self._ended_logged,
            limit=self.slots.maximum,
            listen=self.address,
        )
        self._ended_logged_at, self._ended_logged = now, self.slots.ended

    def _log_refused(self, in_progress: int, late: float, now: float) -> None:
        if now - self._logged_at < LOG_SECONDS:
            return
        self.lines.write(
            "connections_refused",
            number=self.limit.refused - self._logged,
            limit=round(self.limit.limit, 1),
            in_progress=in_progress,
            late=round(late, 3),
        )
        self._logged_at, self._logged = now, self.limit.refused
