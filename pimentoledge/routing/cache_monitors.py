"""Whether KV cache servers live, told by one idle connection to each.

A KV cache server stands on no list, and a fetch from a dead one costs a
request some hundred ms. An idle connection costs nothing, and its end is the
first sign of the server's death; keep-alive probes find one that went dark.
"""

import asyncio

import logbook

from pimentoledge.routing import cluster_views
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_connections

logger = logbook.Logger("cache_links")

# Between attempts to reach a server that is down.
RETRY_SECONDS = 0.5
# After a connection ended: one that is closed at once must not make a loop.
RECONNECT_SECONDS = 0.05


class CacheMonitor:
    """Keeps a connection to each KV cache server of the configuration.

    Attributes:
        view: what the process believes; `caches_down` is kept here.
        lines: where changes of belief are written.
        pool: opens the connections.
    """

    def __init__(
        self, *, view: cluster_views.ClusterView, lines: log_lines.Lines
    ):
        self.view = view
        self.lines = lines
        self.pool = server_connections.ConnectionPool()
        self._tasks: dict[str, asyncio.Task] = {}

    def tick(self) -> None:
        """Follows the configuration's KV cache servers."""
        configuration = self.view.configuration
        if configuration is None:
            return
        wanted = {each.cache_address for each in configuration.cache_servers()}
        for address in set(self._tasks) - wanted:
            self._tasks.pop(address).cancel()
            self.view.caches_down.discard(address)
        for address in wanted - set(self._tasks):
            task = asyncio.get_running_loop().create_task(self._keep(address))
            self._tasks[address] = task

    def close(self) -> None:
        """Closes all connections."""
        for each in self._tasks.values():
            each.cancel()
        self.pool.close()

    async def _keep(self, address: str) -> None:
        while True:
            try:
                connection = await self.pool.acquire(address)
            except server_connections.CannotConnectError as error:
                self._set_down(address, str(error))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._set_up(address)
            try:
                await connection.next()
            finally:
                connection.abort()
            await asyncio.sleep(RECONNECT_SECONDS)

    def _set_down(self, address: str, why: str) -> None:
        if address not in self.view.caches_down:
            self.view.caches_down.add(address)
            self.view.saved.lost()
            self.lines.write("cache_server_down", address=address, why=why)

    def _set_up(self, address: str) -> None:
        if address in self.view.caches_down:
            self.view.caches_down.discard(address)
            self.lines.write("cache_server_up", address=address)
