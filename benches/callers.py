"""Measures the caller server of an entry alone, with a scripted core.

`python -m benches.callers measure` opens streams that one core thread feeds as
the agents' batches would: each group of streams gets a token per stream at
every step. Prints one line of JSON.
"""

import argparse
import heapq
import json
import queue
import sys
import threading
import time

from benches import clients
from benches import processes
from pimentoledge.callers import replies
from pimentoledge.callers import servers
from pimentoledge.decisions import actions

_GROUP_SIZE = 16
_BUFFER_BYTES = 256 * 1024
_TEXT = "word "


class ScriptedCore:
    """Sends tokens to all open streams at a fixed rate, in groups.

    Attributes:
        step: seconds between two tokens of one stream.
        tokens_sent: tokens put into reply queues.
        max_delay: longest delay of a group after its due time, in seconds.
        new_streams: submitted requests that have no group yet, with their
            reply queues.
        groups: heap of (due time, group number, members).
        abandoned: requests whose caller has left.
        stopped: whether `run` ends.
    """

    def __init__(self, *, step: float):
        self.step = step
        self.tokens_sent = 0
        self.max_delay = 0.0
        self.new_streams: queue.SimpleQueue = queue.SimpleQueue()
        self.groups: list[tuple[float, int, list]] = []
        self.abandoned: set[str] = set()
        self.stopped = False

    def submit(self, request) -> replies.ReplyQueue:
        """Queues a request for `run` and returns its reply queue."""
        reply_queue = replies.ReplyQueue(limit_bytes=_BUFFER_BYTES)
        self.new_streams.put((request, reply_queue))
        return reply_queue

    def run(self) -> None:
        """Sends tokens until stopped."""
        while not self.stopped:
            self._assign_groups()
            if not self.groups:
                time.sleep(0.001)
                continue
            due, number, members = heapq.heappop(self.groups)
            delay = due - time.perf_counter()
            if delay > 0:
                time.sleep(delay)
            else:
                self.max_delay = max(self.max_delay, -delay)
            self._feed(members)
            heapq.heappush(self.groups, (due + self.step, number, members))

    def _assign_groups(self) -> None:
        for _ in range(self.new_streams.qsize()):
            member = [*self.new_streams.get(), 0]
            for _, _, members in self.groups:
                if len(members) < _GROUP_SIZE:
                    members.append(member)
                    break
            else:
                number = len(self.groups)
                due = time.perf_counter() + self.step * (number % 31) / 31
                heapq.heappush(self.groups, (due, number, [member]))

    def _feed(self, members: list) -> None:
        for member in list(members):
            request, reply_queue, sent = member
            if request.request in self.abandoned:
                members.remove(member)
                continue
            name = request.request
            reply_queue.put(
                actions.ReplyText(request=name, text=_TEXT, tokens=1)
            )
            self.tokens_sent += 1
            member[2] = sent + 1
            if member[2] >= request.completion.max_tokens:
                reply_queue.put(_reply_end(name, member[2]))
                members.remove(member)


def _reply_end(request: str, tokens: int) -> actions.ReplyEnd:
    return actions.ReplyEnd(
        request=request,
        reason="length",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=tokens,
    )


def serve(*, threads: int, step: float) -> None:
    """Runs the caller server until standard input ends."""
    core = ScriptedCore(step=step)
    server = servers.CallerServer(
        listen="127.0.0.1:0",
        max_open_requests=threads,
        max_body_bytes=1 << 20,
        send_buffer_bytes=_BUFFER_BYTES,
        submit=core.submit,
        on_caller_left=core.abandoned.add,
        list_models=lambda key: [],
        is_ready=lambda: True,
    )
    server.start()
    feeder = threading.Thread(target=core.run)
    feeder.start()
    processes.signal_ready(address=server.address)
    processes.wait_for_end()
    core.stopped = True
    feeder.join()
    print(
        json.dumps({"tokens": core.tokens_sent, "late": core.max_delay}),
        flush=True,
    )
    server.close()


def measure(*, streams: int, step: float, seconds: float) -> dict:
    """Measures a server process over open streams."""
    arguments = ["-m", "benches.callers", "serve", "--step", str(step)]
    server = processes.Process(arguments=arguments)
    address = json.loads(server.line())["address"]
    host, _, port = address.partition(":")
    idle = server.usage()
    load = clients.StreamLoad(address=(host, int(port)))
    body = clients.body_of(model="m", prompt="hi", tokens=1 << 20)
    head = clients.head_of(path="/v1/completions", key="k", length=len(body))
    for _ in range(streams):
        load.begin(head + body)
    load.run(time.perf_counter() + 2.0)
    before, events, started = server.usage(), load.events, time.perf_counter()
    load.run(started + seconds)
    elapsed = time.perf_counter() - started
    after, received = server.usage(), load.events - events
    load.close()
    totals = json.loads(server.close())
    return {
        "streams": streams,
        "wanted_per_s": round(streams / step),
        "tokens_per_s": round(received / elapsed),
        "cpu": round((after.cpu - before.cpu) / elapsed, 3),
        "us_per_token": round((after.cpu - before.cpu) / received * 1e6, 1),
        "late_ms": round(totals["late"] * 1e3, 1),
        "threads": after.threads,
        "idle_rss_mb": round(idle.rss / 1e6, 1),
        "kb_per_stream": round((after.rss - idle.rss) / streams / 1e3, 1),
    }


def main() -> None:
    """Parses the arguments, then serves or measures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("serve", "measure"))
    parser.add_argument("--streams", type=int, default=440)
    parser.add_argument("--step", type=float, default=0.032)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--threads", type=int, default=600)
    args = parser.parse_args()
    if args.part == "serve":
        serve(threads=args.threads, step=args.step)
        return
    figures = measure(
        streams=args.streams, step=args.step, seconds=args.seconds
    )
    json.dump(figures, sys.stdout)
    print()


if __name__ == "__main__":
    main()
