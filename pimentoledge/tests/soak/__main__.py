"""Soaks with a fresh seed: python -m pimentoledge.tests.soak."""

import argparse
import pathlib
import secrets
import signal
import sys

from pimentoledge.tests.soak import plans
from pimentoledge.tests.soak import runs

SEED_BITS = 32
RESULTS = pathlib.Path("results")


def main() -> int:
    """Plays one run; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument(
        "--faults",
        default=",".join(plans.KINDS),
        help="kinds of faults, with commas between",
    )
    parser.add_argument(
        "--routers",
        type=int,
        default=None,
        help="how many routers there are; the first four have clients",
    )
    parser.add_argument(
        "--report",
        type=pathlib.Path,
        default=None,
        help="draws the run into this file, such as soak.svg",
    )
    chosen = parser.parse_args()
    kinds = tuple(chosen.faults.split(","))
    unknown = set(kinds) - set(plans.KINDS)
    if unknown:
        parser.error(f"unknown faults {unknown}; known: {plans.KINDS}")
    seed = chosen.seed
    if seed is None:
        seed = secrets.randbits(SEED_BITS)
    again = f"SECONDS={chosen.seconds:g} SEED={seed} FAULTS={chosen.faults}"
    if chosen.routers is not None:
        again += f" ROUTERS={chosen.routers}"
    print(f"soaking; to replay: make soak {again}", flush=True)
    # Ends the routers, too, when the soak is told to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run = runs.Run(
        seed=seed, seconds=chosen.seconds, kinds=kinds, routers=chosen.routers
    )
    folder = RESULTS / f"soak-{seed}"
    found = run.execute(folder)
    print(run.summary())
    if chosen.report is not None:
        run.draw(chosen.report)
    for text in found[: runs.MOST_PRINTED]:
        print(text)
    if found:
        print(f"FAILED with {len(found)} findings; logs: {folder}")
        print(f"to replay: make soak {again}")
        return 1
    print("passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
