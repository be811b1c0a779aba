"""Measures what an entry and an agent use while nothing is asked of them.

python -m benches.idle starts a store, runners with agents and one entry, each
a process of its own, and prints processor time and resident memory of the
entry and of one agent over half a minute.
"""

import json
import time

from benches import path
from benches import processes

SECONDS = 30.0
RUNNERS = 4


def used(part: processes.Process, seconds: float) -> dict[str, float]:
    """Returns what a process uses over some seconds."""
    before = part.usage()
    time.sleep(seconds)
    after = part.usage()
    return {
        "core_percent": round((after.cpu - before.cpu) / seconds * 100, 3),
        "rss_mb": round(after.rss / 1e6, 1),
        "threads": after.threads,
    }


def main() -> None:
    """Measures and prints a line of JSON for each process."""
    deployment = path.Deployment(runners=RUNNERS, slots=64, step=0.032)
    try:
        deployment.start()
        entry = used(deployment.entry, SECONDS)
        print(json.dumps({"part": "entry", **entry}), flush=True)
        agent = used(deployment.agents[0], SECONDS)
        print(json.dumps({"part": "agent", **agent}), flush=True)
    finally:
        deployment.close()


if __name__ == "__main__":
    main()
