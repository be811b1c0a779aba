"""The socket on which a router accepts clients."""

import asyncio
from collections.abc import Callable
import socket
import struct

import logbook

from pimentoledge.routing import clocks
from pimentoledge.routing import connection_limits
from pimentoledge.routing import log_lines

logger = logbook.Logger("listeners")

BACKLOG = 512
# Connections accepted in a row before other work of the event loop.
MAX_ACCEPTED_AT_ONCE = 64
# Closes a socket with a reset, so that its client knows at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Interval between log lines of refused connections.
LOG_SECONDS = 1.0


class ClientListener:
    """Accepts connections of clients, or closes them unread.

    Attributes:
        address: IP:PORT to listen on.
        make: returns the protocol of an accepted connection.
        limit: decides which connections are accepted.
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
        in_progress: Callable[[], int],
        late_share: Callable[[float], float],
        lines: log_lines.Lines,
    ):
        self.address = address
        self.make = make
        self.limit = limit
        self.in_progress = in_progress
        self.late_share = late_share
        self.lines = lines
        self._socket: socket.socket | None = None
        self._pending: set[asyncio.Task] = set()
        self._logged_at = 0.0
        self._logged = 0

    def start(self) -> None:
        """Starts to listen."""
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        asyncio.get_running_loop().add_reader(
            self._socket.fileno(), self._accept
        )

    def close(self) -> None:
        """Stops to listen; accepted connections stay open."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._socket = None

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # No descriptor is free; the next connections to end free some.
                self.lines.write("not_accepted", why=str(error))
                return
            self._handle(accepted)

    def _handle(self, accepted: socket.socket) -> None:
        now = clocks.now()
        late = self.late_share(now)
        in_progress = 0
        if self.limit.is_needed(late):
            # To count takes longer the more connections are open.
            in_progress = self.in_progress() + len(self._pending)
        if not self.limit.accepts(in_progress, late, now):
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
