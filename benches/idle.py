"""Measures what an entry and an agent use while they serve no requests.

python -m benches.idle starts a store, runners with agents and one entry, each
in its own process, and prints processor time and resident memory of the entry
and of one agent over half a minute.
"""

import json
import time

from benches import path
from benches import processes

MEASURE_SECONDS = 30.0
RUNNERS = 4


def measure_usage(
    process: processes.Process, seconds: float
) -> dict[str, float]:
    """Returns the resources that a process uses over some seconds."""
    before = process.usage()
    time.sleep(seconds)
    after = process.usage()
    return {
        "core_percent": round((after.cpu - before.cpu) / seconds * 100, 3),
        "rss_mb": round(after.rss / 1e6, 1),
        "threads": after.threads,
    }


def main() -> None:
    """Prints a line of JSON for the entry and one for an agent."""
    deployment = path.Deployment(runners=RUNNERS, slots=64, step=0.032)
    try:
        deployment.start()
        entry = measure_usage(deployment.entry, MEASURE_SECONDS)
        print(json.dumps({"part": "entry", **entry}), flush=True)
        agent = measure_usage(deployment.agents[0], MEASURE_SECONDS)
        print(json.dumps({"part": "agent", **agent}), flush=True)
    finally:
        deployment.close()


if __name__ == "__main__":
    main()
