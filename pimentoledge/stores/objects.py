"""Client of the platform's object API."""

import msgspec
import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge.decisions import stores
from pimentoledge.stores import wires

POOL_SIZE = 16


class ObjectClient:
    """Makes calls over HTTP; may be used from any thread; never retries.

    Attributes:
        url: base URL of the platform's service.
        timeout: seconds for one call; a watch may take its own time longer.
    """

    def __init__(self, *, url: str, timeout: float = 2.0):
        self.url = url
        self.timeout = timeout
        self.pool = None

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.HttpPool(size=POOL_SIZE)

    def close(self) -> None:
        """Closes the connections, also those that a thread waits on."""
        if self.pool is not None:
            self.pool.cut()

    def call(self, call: stores.Call) -> stores.StoreAnswer:
        """Makes a call and waits for its answer.

        Never raises for a fault of the network or the store: DOWN means
        that the call certainly had no effect, LOST that a write may have.
        """
        read_timeout = self.timeout
        if isinstance(call, stores.Watch):
            read_timeout += call.seconds
        try:
            response = self.pool.request(
                "POST",
                self.url + wires.PATHS[type(call)],
                body=wires.encode(call),
                timeout=urllib3.Timeout(
                    connect=self.timeout, read=read_timeout
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            return _failed_answer(
                call, never_sent=http_faults.never_sent(error)
            )
        if response.status != 200:
            return _failed_answer(call, never_sent=False)
        try:
            answer = wires.decode_answer(response.data)
        except msgspec.MsgspecError:
            return _failed_answer(call, never_sent=False)
        if answer.call != call.call:
            # Crossed answer, as from a proxy that mixes up connections: it
            # says nothing about this call.
            return _failed_answer(call, never_sent=False)
        return answer


def _failed_answer(
    call: stores.Call, *, never_sent: bool
) -> stores.StoreAnswer:
    # A write whose request may have left this process may have taken effect,
    # whatever the fault was; only what was never sent is certainly without
    # effect. Reads have no effect at all.
    lost = isinstance(call, stores.Write) and not never_sent
    outcome = stores.Outcome.LOST if lost else stores.Outcome.DOWN
    return stores.StoreAnswer(call=call.call, outcome=outcome)
