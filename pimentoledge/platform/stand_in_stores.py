"""Stand-in of the platform's store: its HTTP API over fake objects."""

import time
import urllib.parse

import cheroot.server
import msgspec

from pimentoledge import fake_http
from pimentoledge.decisions import stores
from pimentoledge.platform import names
from pimentoledge.stores import fake_objects

THREADS = 48
# Longest sleep of a waiting watch, so that it notices that the server closes.
MAX_WAIT_SECONDS = 0.1


class StandInStore:
    """Serves objects by kind and name.

    Attributes:
        objects: the fake object store, with its faults.
        history_from: watches of earlier revisions get status 410.
        refused: addresses of callers that get status 503.
        silent: whether calls, and watches whose wait ends, get no response.
            They never get one, even after the fault ends.
        counts: number of calls by method and kind.
        bytes_per_second: bandwidth of the callers' links; 0 for no limit.
        repeats: whether each response is sent again where the next response
            on the connection is due.
        closing: whether the server is stopping.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0):
        self.objects = fake_objects.FakeObjects()
        self.history_from = 0
        self.refused: set[str] = set()
        self.silent = False
        self.counts: dict[str, int] = {}
        self.bytes_per_second = 0.0
        self.repeats = False
        self.closing = False
        # A watch that started before the latest increment is cut, or gets no
        # response.
        self._cut_count = 0
        self._silence_count = 0
        self._create_revisions: dict[str, int] = {}
        self._server = fake_http.HttpServer(
            handle=self.handle, host=host, port=port, threads=THREADS
        )

    @property
    def address(self) -> str:
        """IP:PORT of the store."""
        return f"{self._server.host}:{self._server.port}"

    def with_another_address(self) -> "StandInStore":
        """Returns another server of the same objects, with its own faults."""
        other = StandInStore(host=self._server.host)
        other.objects = self.objects
        other._create_revisions = self._create_revisions
        return other

    def start(self) -> None:
        """Starts listening."""
        self.closing = False
        self._server.start()

    def close(self) -> None:
        """Cuts waiting watches and stops listening."""
        self.closing = True
        self._notify_watches()
        self._server.close()

    def cut_watches(self) -> None:
        """Cuts the connections of all waiting watches."""
        self._cut_count += 1
        self._notify_watches()

    def silence_watches(self) -> None:
        """Leaves all waiting watches open without a response."""
        self._silence_count += 1
        self._notify_watches()

    def _notify_watches(self) -> None:
        with self.objects.changed:
            self.objects.changed.notify_all()

    def _hold_connection(self, request) -> None:
        """Keeps a connection open without a response."""
        while not self.closing and not fake_http.is_disconnected(
            request.conn.socket
        ):
            time.sleep(MAX_WAIT_SECONDS)
        fake_http.cut_connection(request)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as an operator or a server would."""
        self.put_content(kind, name, msgspec.json.encode(spec))

    def put_content(self, kind: str, name: str, content: bytes) -> None:
        """Writes an object whose content is sent as it is, JSON or not."""
        path = f"{kind}/{name}"
        with self.objects.changed:
            current = self.objects.objects.get(path)
        expected = (
            current.version if current and current.value is not None else 0
        )
        self._write(path, content, expected)

    def remove(self, kind: str, name: str) -> None:
        """Deletes an object, if it exists."""
        path = f"{kind}/{name}"
        with self.objects.changed:
            current = self.objects.objects.get(path)
        if current is not None:
            self._write(path, None, current.version)

    def _write(
        self, path: str, value: bytes | None, expected: int
    ) -> stores.StoreAnswer:
        return self.objects.call(
            stores.Write(
                call="",
                path=path,
                value=value,
                expected=expected,
                write_id="",
            )
        )

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Handles one call."""
        method = request.method.decode()
        object_path = fake_http.path_of(request).removeprefix(
            names.OBJECTS_PATH
        )
        kind, _, name = object_path.partition("/")
        count = f"{method} {kind}"
        self.counts[count] = self.counts.get(count, 0) + 1
        body = fake_http.read_body(request)
        request.conn.wfile.write(getattr(request.conn, "late_response", b""))
        request.conn.late_response = b""
        if self.objects.latency:
            time.sleep(self.objects.latency)
        if self.silent:
            self._hold_connection(request)
            return
        if self.objects.down or request.conn.remote_addr in self.refused:
            self._send_json(request, {}, status=503)
            return
        query = fake_http.query_of(request)
        if method == "GET" and name:
            self._send_object(request, f"{kind}/{urllib.parse.unquote(name)}")
        elif method == "GET" and "watch" in query:
            self._send_changes(request, kind, query)
        elif method == "GET":
            self._send_listing(request, kind)
        elif method == "DELETE":
            self._apply_delete(request, kind, name, query)
        else:
            self._apply_write(request, method, kind, msgspec.json.decode(body))

    def _send_object(self, request, path: str) -> None:
        result = self.objects.call(stores.Read(call="", path=path))
        if result.outcome is not stores.Outcome.FOUND:
            self._send_json(request, {}, status=404)
            return
        self._send_json(request, self._encode_object(result.objects[0]))

    def _send_listing(self, request, kind: str) -> None:
        result = self.objects.call(stores.Scan(call="", prefix=f"{kind}/"))
        self._send_json(
            request,
            {
                "items": [self._encode_object(each) for each in result.objects],
                "more": False,
                "storeRevision": self.objects.revision,
            },
        )

    def _send_changes(self, request, kind: str, query: dict[str, str]) -> None:
        after = int(query["watch"])
        if not self.history_from <= after <= self.objects.revision:
            self._send_json(request, {}, status=410)
            return
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        objects = self.objects
        cuts, silences = self._cut_count, self._silence_count
        era = objects.era

        def is_cut() -> bool:
            return (
                self.closing
                or objects.down
                or cuts != self._cut_count
                or era != objects.era
            )

        with objects.changed:
            while not is_cut():
                remaining = deadline - time.monotonic()
                if remaining <= 0 or objects.has_changes(f"{kind}/", after):
                    break
                objects.changed.wait(min(remaining, MAX_WAIT_SECONDS))
        if is_cut():
            fake_http.cut_connection(request)
            return
        if self.silent or silences != self._silence_count:
            self._hold_connection(request)
            return
        result = objects.call(
            stores.Watch(call="", prefix=f"{kind}/", after=after, seconds=0)
        )
        self._send_json(
            request,
            {
                "events": [
                    {
                        "deleted": each.value is None,
                        "object": self._encode_object(each),
                    }
                    for each in result.objects
                ],
                "storeRevision": result.version,
            },
        )

    def _exists(self, path: str) -> bool:
        with self.objects.changed:
            stored = self.objects.objects.get(path)
        return stored is not None and stored.value is not None

    def _apply_write(self, request, method: str, kind: str, body: dict) -> None:
        meta = body["metadata"]
        path = f"{kind}/{meta['name']}"
        expected = 0 if method == "POST" else meta["rev"]
        if method == "PUT" and not self._exists(path):
            self._send_json(request, {}, status=404)
            return
        written = self._write(path, msgspec.json.encode(body["spec"]), expected)
        match written.outcome:
            case stores.Outcome.WRITTEN:
                stored = self.objects.objects[path]
                self._send_json(request, self._encode_object(stored))
            case stores.Outcome.CONFLICT:
                item = (
                    self._encode_object(written.objects[0])
                    if written.objects
                    else {}
                )
                self._send_json(request, item, status=409)
            case stores.Outcome.LOST:
                fake_http.cut_connection(request)
            case _:
                self._send_json(request, {}, status=503)

    def _apply_delete(
        self, request, kind: str, name: str, query: dict[str, str]
    ) -> None:
        path = f"{kind}/{urllib.parse.unquote(name)}"
        if not self._exists(path):
            self._send_json(request, {}, status=404)
            return
        written = self._write(path, None, int(query["rev"]))
        match written.outcome:
            case stores.Outcome.WRITTEN:
                self._send_json(request, {})
            case stores.Outcome.CONFLICT:
                self._send_json(request, {}, status=409)
            case stores.Outcome.LOST:
                fake_http.cut_connection(request)
            case _:
                self._send_json(request, {}, status=503)

    def _encode_object(self, stored: stores.Object) -> dict:
        create_revision = self._create_revisions.setdefault(
            stored.path, stored.version
        )
        return {
            "metadata": {
                "name": stored.path.partition("/")[2],
                "rev": stored.version,
                "createRev": create_revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": None if stored.value is None else msgspec.Raw(stored.value),
            "status": None,
        }

    def _send_json(self, request, body: object, status: int = 200) -> None:
        data = msgspec.json.encode(body)
        headers = [(names.STORE_ERA, b"%d" % self.objects.era)]
        if self.repeats:
            request.conn.late_response = fake_http.encode_response(
                status, headers, data
            )
        fake_http.send_response(
            request,
            data,
            status=status,
            headers=headers,
            bytes_per_second=self.bytes_per_second,
        )
