"""Client of the platform's object API."""

import msgspec
import urllib3

from pimentoledge import http_faults
from pimentoledge import http_pools
from pimentoledge.decisions import stores
from pimentoledge.stores import wires

POOL_SIZE = 16


class ObjectClient:
    """Makes calls over HTTP, without retries; thread-safe.

    Attributes:
        url: base URL of the platform's service.
        timeout: seconds for one call; the waiting time of a watch is added.
    """

    def __init__(self, *, url: str, timeout: float = 2.0):
        self.url = url
        self.timeout = timeout
        self.pool = None

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.HttpPool(size=POOL_SIZE)

    def close(self) -> None:
        """Closes all connections, including those that a thread waits on."""
        if self.pool is not None:
            self.pool.cut()

    def call(self, call: stores.Call) -> stores.StoreAnswer:
        """Makes a call and waits for its answer.

        Faults of the network or the store are returned, never raised: DOWN
        means that the call certainly had no effect, LOST that a write may have
        taken effect.
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
            # The answer belongs to another call, for example because a proxy
            # mixed up connections; the result of this one is unknown, and its
            # own answer may still arrive.
            self.pool.clear()
            return _failed_answer(call, never_sent=False)
        return answer


def _failed_answer(
    call: stores.Call, *, never_sent: bool
) -> stores.StoreAnswer:
    # A write may have taken effect unless its request was never sent, whatever
    # the fault was. Reads have no effect.
    lost = isinstance(call, stores.Write) and not never_sent
    outcome = stores.Outcome.LOST if lost else stores.Outcome.DOWN
    return stores.StoreAnswer(call=call.call, outcome=outcome)
