"""Tests of the HTTP server of the fakes."""

import threading
import time

from pimentoledge import fake_http


def test_a_server_may_be_closed_in_two_threads():
    """Guards against a soak that ends as a fault meets a server that ends."""
    server = fake_http.HttpServer(
        handle=lambda request: None, host="127.0.0.1", port=0, threads=2
    )
    server.start()
    errors = []
    entered = threading.Event()
    stop = server.http.stop
    calls = []

    def stop_slowly():
        """Ends the second of two calls after the first has closed."""
        calls.append(None)
        if len(calls) == 2:
            end = time.monotonic() + 2
            while server.thread is not None and time.monotonic() < end:
                time.sleep(0.01)
            return
        entered.set()
        time.sleep(0.2)
        stop()

    server.http.stop = stop_slowly

    def close():
        try:
            server.close()
        except AttributeError as error:
            errors.append(error)

    first = threading.Thread(target=close)
    first.start()
    entered.wait(2)
    second = threading.Thread(target=close)
    second.start()
    first.join()
    second.join()
    assert not errors
    assert not server.is_listening()


def test_a_server_may_be_closed_while_it_starts(monkeypatch):
    """Guards against a soak that ends as a fault meets a server that starts."""
    server = fake_http.HttpServer(
        handle=lambda request: None, host="127.0.0.1", port=0, threads=2
    )
    prepare = fake_http.ReusingServer.prepare
    entered = threading.Event()

    def prepare_slowly(http):
        entered.set()
        time.sleep(0.2)
        prepare(http)

    monkeypatch.setattr(fake_http.ReusingServer, "prepare", prepare_slowly)
    starting = threading.Thread(target=server.start)
    starting.start()
    entered.wait(2)
    server.close()
    starting.join()
    listening = server.is_listening()
    server.close()
    assert not listening
