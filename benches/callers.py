"""Measures the callers' side of an entry alone, with a scripted core.

`python -m benches.callers` opens streams that one core thread feeds, as the
agents' batches would: groups of streams get one token each at every step.
Prints one line of JSON.
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

_GROUP = 16
_BUFFER = 256 * 1024
_TEXT = "word "


class Core:
    """Feeds every open stream at one rate, in groups.

    Attributes:
        step: seconds between two tokens of one stream.
        tokens: tokens put.
        late: longest time that a group was fed late, seconds.
    """

    def __init__(self, *, step: float):
        self.step = step
        self.tokens = 0
        self.late = 0.0
        self.fresh: queue.SimpleQueue = queue.SimpleQueue()
        self.groups: list[tuple[float, int, list]] = []
        self.gone: set[str] = set()
        self.stopped = False

    def submit(self, request) -> replies.ReplyQueue:
        """Takes a request, as an entry's core does."""
        waiting = replies.ReplyQueue(limit_bytes=_BUFFER)
        self.fresh.put((request, waiting))
        return waiting

    def run(self) -> None:
        """Feeds until stopped."""
        while not self.stopped:
            self._place()
            if not self.groups:
                time.sleep(0.001)
                continue
            due, number, members = heapq.heappop(self.groups)
            delay = due - time.perf_counter()
            if delay > 0:
                time.sleep(delay)
            else:
                self.late = max(self.late, -delay)
            self._feed(members)
            heapq.heappush(self.groups, (due + self.step, number, members))

    def _place(self) -> None:
        for _ in range(self.fresh.qsize()):
            member = [*self.fresh.get(), 0]
            for _, _, members in self.groups:
                if len(members) < _GROUP:
                    members.append(member)
                    break
            else:
                number = len(self.groups)
                due = time.perf_counter() + self.step * (number % 31) / 31
                heapq.heappush(self.groups, (due, number, [member]))

    def _feed(self, members: list) -> None:
        for member in list(members):
            request, waiting, sent = member
            if request.request in self.gone:
                members.remove(member)
                continue
            name = request.request
            waiting.put(actions.ReplyText(request=name, text=_TEXT, tokens=1))
            self.tokens += 1
            member[2] = sent + 1
            if member[2] >= request.completion.max_tokens:
                waiting.put(_end(name, member[2]))
                members.remove(member)


def _end(request: str, tokens: int) -> actions.ReplyEnd:
    return actions.ReplyEnd(
        request=request,
        reason="length",
        prompt_tokens=1,
        cached_tokens=0,
        completion_tokens=tokens,
    )


def serve(*, threads: int, step: float) -> None:
    """Runs the server's process until its standard input ends."""
    core = Core(step=step)
    server = servers.CallerServer(
        listen="127.0.0.1:0",
        max_open_requests=threads,
        max_body_bytes=1 << 20,
        send_buffer_bytes=_BUFFER,
        submit=core.submit,
        on_caller_left=core.gone.add,
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
    print(json.dumps({"tokens": core.tokens, "late": core.late}), flush=True)
    server.close()


def measure(*, streams: int, step: float, seconds: float) -> dict:
    """Opens streams, feeds them for a while and returns the figures."""
    part = ["-m", "benches.callers", "serve", "--step", str(step)]
    server = processes.Process(arguments=part)
    address = json.loads(server.line())["address"]
    host, _, port = address.partition(":")
    idle = server.usage()
    load = clients.StreamLoad(address=(host, int(port)))
    body = clients.body_of(model="m", prompt="hi", tokens=1 << 20)
    head = clients.head_of(path="/v1/completions", key="k", length=len(body))
    for _ in range(streams):
        load.begin(head + body)
    load.run(time.perf_counter() + 2.0)
    before, events, begun = server.usage(), load.events, time.perf_counter()
    load.run(begun + seconds)
    took = time.perf_counter() - begun
    after, got = server.usage(), load.events - events
    load.close()
    rest = json.loads(server.close())
    return {
        "streams": streams,
        "wanted_per_s": round(streams / step),
        "tokens_per_s": round(got / took),
        "cpu": round((after.cpu - before.cpu) / took, 3),
        "us_per_token": round((after.cpu - before.cpu) / got * 1e6, 1),
        "late_ms": round(rest["late"] * 1e3, 1),
        "threads": after.threads,
        "idle_rss_mb": round(idle.rss / 1e6, 1),
        "kb_per_stream": round((after.rss - idle.rss) / streams / 1e3, 1),
    }


def main() -> None:
    """Reads the arguments and runs a part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("serve", "measure"))
    parser.add_argument("--streams", type=int, default=440)
    parser.add_argument("--step", type=float, default=0.032)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--threads", type=int, default=600)
    given = parser.parse_args()
    if given.part == "serve":
        serve(threads=given.threads, step=given.step)
        return
    figures = measure(
        streams=given.streams, step=given.step, seconds=given.seconds
    )
    json.dump(figures, sys.stdout)
    print()


if __name__ == "__main__":
    main()
