"""Monitors KV cache servers through one idle connection to each.

KV cache servers have no entries in the store, and a fetch from a dead one
delays a request by some hundred ms. An idle connection costs nothing, and its
end is the first sign of the server's death. Keep-alive probes detect a server
that stops responding without closing the connection.
"""

import asyncio

import logbook

from pimentoledge.routing import cluster_views
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_connections
from pimentoledge.routing import supervised_tasks

logger = logbook.Logger("cache_links")

# Delay between attempts to connect to a server that is down.
RETRY_SECONDS = 0.5
# Delay after a connection ended: without it, a server that closes connections
# at once would cause a busy loop.
RECONNECT_SECONDS = 0.05


class CacheMonitor:
    """Keeps a connection to each KV cache server of the configuration.

    Attributes:
        view: the process's view of the cluster; the monitor updates its
            `caches_down`.
        lines: log of changes of the view.
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
        """Connects to the KV cache servers of the current configuration."""
        configuration = self.view.configuration
        if configuration is None:
            return
        wanted = {each.cache_address for each in configuration.cache_servers()}
        for address in set(self._tasks) - wanted:
            self._tasks.pop(address).cancel()
            self.view.caches_down.discard(address)
        for address in wanted - set(self._tasks):
            task = supervised_tasks.start(
                f"monitor of {address}", self._keep(address)
            )
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
            self.view.saved.clear()
            self.lines.write("cache_server_down", address=address, why=why)

    def _set_up(self, address: str) -> None:
        if address in self.view.caches_down:
            self.view.caches_down.discard(address)
            self.lines.write("cache_server_up", address=address)
