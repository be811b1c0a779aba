"""The platform's store as a stand-in: its wire over the object API's fake."""

import time
import urllib.parse

import cheroot.server
import msgspec

from pimentoledge import fake_http
from pimentoledge.decisions import stores
from pimentoledge.platform import names
from pimentoledge.stores import fake_objects

THREADS = 48
# Longest sleep of a waiting watch, so that it sees the server's end.
WAIT_SECONDS = 0.1


class StandInStore:
    """Serves objects by kind and name.

    Attributes:
        objects: the fake that holds them, with its faults.
        history_from: watches from before this revision are told that it is
            gone.
        refused: addresses of callers that are turned away.
        silent: whether calls are never answered, those that arrive and those
            whose wait ends, also when it is over.
        counts: calls by method and kind.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0):
        self.objects = fake_objects.FakeObjects()
        self.history_from = 0
        self.refused: set[str] = set()
        self.silent = False
        self.counts: dict[str, int] = {}
        self.closing = False
        # Watches that began before the last cut, or the last forgetting, of
        # all watches.
        self._cuts = 0
        self._forgotten = 0
        self._made: dict[str, int] = {}
        self._server = fake_http.HttpServer(
            handle=self.handle, host=host, port=port, threads=THREADS
        )

    @property
    def address(self) -> str:
        """IP:PORT of the store."""
        return f"{self._server.host}:{self._server.port}"

    def another_address(self) -> "StandInStore":
        """Returns a store of the same objects with calls' faults of its own."""
        other = StandInStore(host=self._server.host)
        other.objects = self.objects
        other._made = self._made
        return other

    def start(self) -> None:
        """Listens."""
        self.closing = False
        self._server.start()

    def close(self) -> None:
        """Ends waiting watches and stops listening."""
        self.closing = True
        self._wake()
        self._server.close()

    def cut_watches(self) -> None:
        """Ends the connections of all watches that wait."""
        self._cuts += 1
        self._wake()

    def silence_watches(self) -> None:
        """Lets all watches that wait hear nothing more, without an end."""
        self._forgotten += 1
        self._wake()

    def _wake(self) -> None:
        with self.objects.changed:
            self.objects.changed.notify_all()

    def _hang(self, request) -> None:
        """Keeps a connection open without an answer."""
        while not self.closing and not fake_http.is_disconnected(
            request.conn.socket
        ):
            time.sleep(WAIT_SECONDS)
        fake_http.cut_connection(request)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as the operator or a server would."""
        path = f"{kind}/{name}"
        with self.objects.changed:
            held = self.objects.objects.get(path)
        expected = held.version if held and held.value is not None else 0
        self._write(path, msgspec.json.encode(spec), expected)

    def remove(self, kind: str, name: str) -> None:
        """Takes an object away."""
        path = f"{kind}/{name}"
        self._write(path, None, self.objects.objects[path].version)

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
        """Answers one call."""
        method = request.method.decode()
        rest = fake_http.path_of(request).removeprefix(names.OBJECTS_PATH)
        kind, _, name = rest.partition("/")
        count = f"{method} {kind}"
        self.counts[count] = self.counts.get(count, 0) + 1
        body = fake_http.read_body(request)
        if self.objects.latency:
            time.sleep(self.objects.latency)
        if self.silent:
            self._hang(request)
            return
        if self.objects.down or request.conn.remote_addr in self.refused:
            fake_http.send_response(request, b"{}", status=503)
            return
        query = fake_http.query_of(request)
        if method == "GET" and name:
            self._read(request, f"{kind}/{urllib.parse.unquote(name)}")
        elif method == "GET" and "watch" in query:
            self._watch(request, kind, query)
        elif method == "GET":
            self._list(request, kind)
        else:
            self._change(request, method, kind, msgspec.json.decode(body))

    def _read(self, request, path: str) -> None:
        found = self.objects.call(stores.Read(call="", path=path))
        if found.outcome is not stores.Outcome.FOUND:
            fake_http.send_response(request, b"{}", status=404)
            return
        self._send(request, self._item(found.objects[0]))

    def _list(self, request, kind: str) -> None:
        found = self.objects.call(stores.Scan(call="", prefix=f"{kind}/"))
        self._send(
            request,
            {
                "items": [self._item(each) for each in found.objects],
                "more": False,
                "storeRevision": self.objects.revision,
            },
        )

    def _watch(self, request, kind: str, query: dict[str, str]) -> None:
        after = int(query["watch"])
        if after < self.history_from:
            fake_http.send_response(request, b"{}", status=410)
            return
        end = time.monotonic() + int(query["waitMs"]) / 1000
        objects = self.objects
        cuts, forgotten = self._cuts, self._forgotten
        with objects.changed:
            while not self.closing and not objects.down and cuts == self._cuts:
                left = end - time.monotonic()
                if left <= 0 or objects.has_changes(f"{kind}/", after):
                    break
                objects.changed.wait(min(left, WAIT_SECONDS))
        if self.closing or objects.down or cuts != self._cuts:
            fake_http.cut_connection(request)
            return
        if self.silent or forgotten != self._forgotten:
            self._hang(request)
            return
        found = objects.call(
            stores.Watch(call="", prefix=f"{kind}/", after=after, seconds=0)
        )
        self._send(
            request,
            {
                "events": [
                    {"deleted": each.value is None, "object": self._item(each)}
                    for each in found.objects
                ],
                "storeRevision": found.version,
            },
        )

    def _change(self, request, method: str, kind: str, body: dict) -> None:
        meta = body["metadata"]
        path = f"{kind}/{meta['name']}"
        expected = 0 if method == "POST" else meta["rev"]
        done = self._write(path, msgspec.json.encode(body["spec"]), expected)
        match done.outcome:
            case stores.Outcome.WRITTEN:
                held = self.objects.objects[path]
                self._send(request, self._item(held))
            case stores.Outcome.CONFLICT:
                item = self._item(done.objects[0]) if done.objects else {}
                self._send(request, item, status=409)
            case stores.Outcome.LOST:
                fake_http.cut_connection(request)
            case _:
                fake_http.send_response(request, b"{}", status=503)

    def _item(self, held: stores.Object) -> dict:
        made = self._made.setdefault(held.path, held.version)
        spec = None if held.value is None else msgspec.json.decode(held.value)
        return {
            "metadata": {
                "name": held.path.partition("/")[2],
                "rev": held.version,
                "createRev": made,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }

    def _send(self, request, body: object, status: int = 200) -> None:
        fake_http.send_response(
            request, msgspec.json.encode(body), status=status
        )
