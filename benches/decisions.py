"""Measures the processor time of a placement decision and a hint's memory.

python -m benches.decisions
"""

import random
import statistics
import time
import tracemalloc

from benches import workloads
from pimentoledge.decisions import declarations
from pimentoledge.decisions import hints
from pimentoledge.decisions import placement
from pimentoledge.decisions import prefixes
from pimentoledge.nodes import messages

_SERVERS = (10, 150, 2400)
_PROMPT_TOKENS = (512, 2048, 8192, 32768)
_ROUNDS = 400
_PREFIXES = 40
_TAIL_BYTES = 1024
_SALT = b"s" * 32


def _make_request(number: int, tokens: int) -> placement.PlacementRequest:
    shared = random.Random(number % _PREFIXES).randbytes(
        tokens * workloads.TOKEN_BYTES - _TAIL_BYTES
    )
    tail = random.Random(-1 - number).randbytes(_TAIL_BYTES)
    blocks = prefixes.chain(
        salt=_SALT, text=shared + tail, block_bytes=workloads.BLOCK_BYTES
    )
    return placement.PlacementRequest(
        request=str(number),
        organisation="o",
        model="m",
        weights="w1",
        blocks=blocks,
        block_tokens=workloads.BLOCK_TOKENS,
        prompt_tokens=tokens,
    )


def _make_servers(count: int) -> list[declarations.BackendServer]:
    return [
        declarations.BackendServer(
            name=f"s{number}", serves="m", agent="tcp://127.0.0.1:1"
        )
        for number in range(count)
    ]


def _status_of(name: str) -> messages.ServerStatus:
    return messages.ServerStatus(
        server=name,
        incarnation="i1",
        weights="w1",
        slots=16,
        token_seconds=0.0001,
    )


def decision_microseconds(servers: int, tokens: int) -> tuple[float, float]:
    """Returns the median microseconds to choose a server, and of the updates.

    Args:
        servers: number of declared servers.
        tokens: prompt length in tokens.

    Returns:
        Microseconds of `choose`; microseconds of the placer's updates from
        sending the request to its end.
    """
    declared = _make_servers(servers)
    placer = placement.Placer(seed=1, data_centre="")
    for server in declared:
        placer.record_status(_status_of(server.name), 0.0)
    choosing = []
    updating = []
    for number in range(_ROUNDS):
        request = _make_request(number, tokens)
        now = number * 0.01
        started_at = time.process_time_ns()
        choice = placer.choose(request, declared, now)
        chosen_at = time.process_time_ns()
        placer.sent(choice.server, request.request, 100, now)
        placer.record_status(_status_of(choice.server), now)
        placer.finished(choice.server, request.request, request.blocks, 0, now)
        ended_at = time.process_time_ns()
        choosing.append((chosen_at - started_at) / 1000)
        updating.append((ended_at - chosen_at) / 1000)
    return statistics.median(choosing), statistics.median(updating)


def chain_seconds() -> float:
    """Returns the median processor seconds to digest 1 MB of prompt."""
    text = random.Random(1).randbytes(1_000_000)
    times = []
    for _ in range(9):
        started_at = time.process_time()
        prefixes.chain(salt=_SALT, text=text, block_bytes=workloads.BLOCK_BYTES)
        times.append(time.process_time() - started_at)
    return statistics.median(times)


def hint_bytes(count: int) -> float:
    """Returns the memory of one hint in bytes, with 128 blocks per prompt."""
    table = hints.Hints(limit=count, seconds=60.0, holders=8)
    engine_life = hints.EngineLife(server="s")
    rng = random.Random(1)
    tracemalloc.start()
    for _ in range(count // 128):
        blocks = [rng.randbytes(prefixes.DIGEST_BYTES) for _ in range(128)]
        table.add(blocks, engine_life, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(table.table)


def main():
    """Prints all figures."""
    print("| servers | prompt tokens | choose, us | sent to finished, us |")
    print("| --- | --- | --- | --- |")
    for servers in _SERVERS:
        for tokens in _PROMPT_TOKENS:
            choosing, updating = decision_microseconds(servers, tokens)
            print(f"| {servers} | {tokens} | {choosing:.0f} | {updating:.0f} |")
    print(f"chain: {chain_seconds() * 1000:.1f} ms of processor per MB")
    print(f"hint: {hint_bytes(20_000):.0f} bytes")


if __name__ == "__main__":
    main()
