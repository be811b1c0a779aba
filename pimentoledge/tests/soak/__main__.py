"""Runs a soak test: python -m pimentoledge.tests.soak.

The seed is random unless one is given.
"""

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
    """Executes one run and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument(
        "--faults",
        default=",".join(plans.KINDS),
        help="kinds of faults, separated by commas",
    )
    parser.add_argument(
        "--routers",
        type=int,
        default=None,
        help="number of routers; only the first four have clients",
    )
    parser.add_argument(
        "--report",
        type=pathlib.Path,
        default=None,
        help="file to write charts of the run to, such as soak.svg",
    )
    arguments = parser.parse_args()
    kinds = tuple(arguments.faults.split(","))
    known = (*plans.KINDS, *plans.HOLDER_KINDS)
    unknown = set(kinds) - set(known)
    if unknown:
        parser.error(f"unknown faults {unknown}; known: {known}")
    seed = arguments.seed
    if seed is None:
        seed = secrets.randbits(SEED_BITS)
    replay_arguments = (
        f"SECONDS={arguments.seconds:g} SEED={seed} FAULTS={arguments.faults}"
    )
    if arguments.routers is not None:
        replay_arguments += f" ROUTERS={arguments.routers}"
    print(f"soaking; to replay: make soak {replay_arguments}", flush=True)
    # SIGTERM raises KeyboardInterrupt, so that the routers are ended as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run = runs.Run(
        seed=seed,
        seconds=arguments.seconds,
        kinds=kinds,
        routers=arguments.routers,
    )
    folder = RESULTS / f"soak-{seed}"
    violations = run.execute(folder)
    print(run.summary())
    if arguments.report is not None:
        run.draw(arguments.report)
    for text in violations[: runs.MAX_PRINTED]:
        print(text)
    if violations:
        print(f"FAILED with {len(violations)} findings; logs: {folder}")
        print(f"to replay: make soak {replay_arguments}")
        return 1
    print("passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
