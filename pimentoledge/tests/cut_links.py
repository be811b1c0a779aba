"""Makes a peer of a TCP connection unreachable."""

import contextlib
import ctypes
import socket
import struct

# linux/asm-generic/socket.h
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# A program for the packet filter (linux/filter.h): return 0, which drops.
_PROGRAM = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
_DROP = struct.pack("HL", 1, ctypes.addressof(_PROGRAM))


@contextlib.contextmanager
def unreachable(sock: socket.socket):
    """Drops all that arrives at a socket, which then acknowledges nothing."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, _DROP)
    try:
        yield
    finally:
        if sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
