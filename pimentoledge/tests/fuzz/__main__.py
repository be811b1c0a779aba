"""Fuzzes with a fresh seed: python -m pimentoledge.tests.fuzz."""

import argparse
import secrets
import sys
import time
import traceback

import hypothesis
import hypothesis.stateful

from pimentoledge.tests.fuzz import machines

SEED_BITS = 32


def main() -> int:
    """Runs a number of examples; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--seed", type=int, default=None)
    chosen = parser.parse_args()
    seed = chosen.seed
    if seed is None:
        seed = secrets.randbits(SEED_BITS)
    again = f"EXAMPLES={chosen.examples} STEPS={chosen.steps} SEED={seed}"
    print(f"fuzzing; to replay: make fuzz {again}", flush=True)
    machine = hypothesis.seed(seed)(machines.Machine)
    settings = hypothesis.settings(
        max_examples=chosen.examples,
        stateful_step_count=chosen.steps,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started = time.monotonic()
    try:
        hypothesis.stateful.run_state_machine_as_test(
            machine, settings=settings
        )
    except Exception:  # Whatever was found is printed, with how to replay.
        traceback.print_exc()
        print(f"FAILED; to replay: make fuzz {again}")
        return 1
    seconds = time.monotonic() - started
    print(f"{chosen.examples} examples passed in {seconds:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
