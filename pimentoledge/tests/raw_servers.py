"""A server that sends given bytes, such as truncated responses."""

import contextlib
import socket
import threading
import time

DRAIN_SECONDS = 2.0


@contextlib.contextmanager
def raw_server(reply, *, hang=False, pause=0.0):
    """Runs a server that answers each connection's first bytes with `reply`.

    Args:
        reply: the bytes to send.
        hang: whether connections stay open until the server is closed; each
            is closed after its reply otherwise.
        pause: seconds between single bytes of the reply; 0 sends it at once.

    Yields:
        The base URL.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    ended = threading.Event()

    def serve():
        while True:
            connection, _ = listener.accept()
            if ended.is_set():
                connection.close()
                return
            with connection:
                connection.recv(65536)
                _send(connection, reply, pause)
                if hang:
                    ended.wait()
                else:
                    _drain(connection)

    thread = threading.Thread(target=serve)
    thread.start()
    host, port = listener.getsockname()
    yield f"http://{host}:{port}"
    ended.set()
    with contextlib.suppress(OSError):
        socket.create_connection((host, port)).close()
    thread.join()
    listener.close()


def _send(connection, reply, pause):
    if not pause:
        connection.sendall(reply)
        return
    with contextlib.suppress(OSError):
        for number in range(len(reply)):
            connection.sendall(reply[number : number + 1])
            time.sleep(pause)


def _drain(connection):
    # Closing a socket with unread bytes resets the connection, and a client
    # that has not read the reply yet would lose it.
    connection.settimeout(DRAIN_SECONDS)
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
        while connection.recv(65536):
            pass


def http_reply(body, status=200, length=None):
    """Returns an HTTP response; a `length` beyond the body truncates it."""
    length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} status\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


def closed_url():
    """Returns a URL whose port refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"http://127.0.0.1:{listener.getsockname()[1]}"
