"""Tests of the connections to KV cache servers."""

import asyncio

from pimentoledge.routing import cache_monitors
from pimentoledge.routing import cluster_views
from pimentoledge.routing import counters
from pimentoledge.routing import log_lines


def test_unexpected_bytes_only_close_the_connection():
    """Guards against a cache server that counts as down for a response."""
    opened = []

    async def answer(reader, writer):
        opened.append(writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert not await reader.read()
        writer.close()

    async def play():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        view = cluster_views.ClusterView(
            name="own", data_centre="a", started_at=0.0
        )
        monitor = cache_monitors.CacheMonitor(
            view=view, lines=log_lines.Lines(counters=counters.Counters())
        )
        task = asyncio.ensure_future(monitor._keep(f"{host}:{port}"))
        async with asyncio.timeout(5):
            while len(opened) < 3:
                await asyncio.sleep(0.01)
        assert not task.done()
        assert not any(monitor.pool.idle.values())
        assert not view.caches_down
        task.cancel()
        server.close()

    asyncio.run(play())
