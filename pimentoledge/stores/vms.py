"""Client of the platform's list of VMs, which shows changes late."""

import enum

import attrs
import msgspec
from returns import result
import urllib3

from pimentoledge import http_pools
from pimentoledge import results

PATH = "/vms"


class VmState(enum.StrEnum):
    """State of a VM as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.define(kw_only=True)
class Vm:
    """One VM of the list.

    Attributes:
        name: its name.
        address: its IP address.
        data_centre: the data centre that it runs in.
        state: whether it is live or leaving.
    """

    name: str
    address: str
    data_centre: str
    state: VmState = VmState.LIVE


class VmListClient:
    """Reads the list of VMs over HTTP; thread-safe.

    Attributes:
        url: base URL of the platform's service.
        timeout: seconds for one call.
    """

    def __init__(self, *, url: str, timeout: float = 2.0):
        self.url = url
        self.timeout = timeout
        self.pool = None

    def start(self) -> None:
        """Opens the connection pool."""
        self.pool = http_pools.HttpPool(size=1)

    def close(self) -> None:
        """Closes all connections, including those that a thread waits on."""
        if self.pool is not None:
            self.pool.cut()

    def read(self) -> result.Result[list[Vm], results.Error]:
        """Returns the platform's list, or the error if it can't be read."""
        try:
            response = self.pool.request(
                "GET", self.url + PATH, timeout=self.timeout
            )
            if response.status != 200:
                return _failure(f"status {response.status}")
            vms = msgspec.json.decode(response.data, type=list[Vm])
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            return _failure(str(error))
        return result.Success(vms)


def _failure(text: str) -> result.Failure:
    return result.Failure(
        results.Error(
            code=results.Code.PLATFORM_DOWN, text=f"list of VMs: {text}"
        )
    )
