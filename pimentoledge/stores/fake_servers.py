"""HTTP server for the fakes of the platform."""

import time

import cheroot.server
import msgspec

from pimentoledge import fake_http
from pimentoledge.decisions import stores
from pimentoledge.stores import fake_objects
from pimentoledge.stores import fake_vms
from pimentoledge.stores import vms
from pimentoledge.stores import wires

THREADS = 32
# Longest sleep of a waiting watch, so that it notices that the server closes.
MAX_WAIT_SECONDS = 0.25


class FakeObjectServer:
    """Serves a fake object API and, optionally, a fake list of VMs.

    Attributes:
        objects: the fake object API.
        vm_list: the fake list of VMs, or None.
    """

    def __init__(
        self,
        *,
        objects: fake_objects.FakeObjects,
        vm_list: fake_vms.FakeVmList | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = THREADS,
    ):
        self.objects = objects
        self.vm_list = vm_list
        self.closing = False
        self.server = fake_http.HttpServer(
            handle=self.handle, host=host, port=port, threads=threads
        )

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return self.server.url

    def start(self) -> None:
        """Starts listening."""
        self.closing = False
        self.server.start()

    def close(self) -> None:
        """Ends waiting watches and stops listening."""
        self.closing = True
        with self.objects.changed:
            self.objects.changed.notify_all()
        self.server.close()

    def handle(self, request: cheroot.server.HTTPRequest) -> None:
        """Handles one request."""
        path = fake_http.path_of(request)
        if path == vms.PATH:
            self.list_vms(request)
            return
        if path not in wires.CALL_TYPES:
            fake_http.send_response(request, b"{}", status=404)
            return
        call = wires.decode_call(path, fake_http.read_body(request))
        if self.objects.latency > 0:
            time.sleep(self.objects.latency)
        if isinstance(call, stores.Watch):
            self.wait_for_change(call)
        answer = self.objects.call(call)
        if answer.outcome == stores.Outcome.LOST or self.closing:
            fake_http.cut_connection(request)
            return
        fake_http.send_response(request, wires.encode(answer))

    def wait_for_change(self, watch: stores.Watch) -> None:
        """Waits until a watch has changes to return or its time is over."""
        end = time.monotonic() + watch.seconds
        objects = self.objects
        with objects.changed:
            while not self.closing and not objects.down:
                remaining = end - time.monotonic()
                if remaining <= 0 or objects.has_changes(
                    watch.prefix, watch.after
                ):
                    return
                objects.changed.wait(min(remaining, MAX_WAIT_SECONDS))

    def list_vms(self, request: cheroot.server.HTTPRequest) -> None:
        """Responds with the lagged list of VMs."""
        if self.vm_list is None or self.vm_list.down:
            fake_http.send_response(request, b"{}", status=503)
            return
        body = msgspec.json.encode(self.vm_list.lagged_list())
        fake_http.send_response(request, body)
