"""Fuzzes with a random seed: python -m pimentoledge.tests.fuzz."""

import argparse
import secrets
import sys
import time
import traceback

import hypothesis
import hypothesis.stateful
import pytest

from pimentoledge.tests.fuzz import machines

SEED_BITS = 32


def main() -> int:
    """Runs the examples; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--seed", type=int, default=None)
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = secrets.randbits(SEED_BITS)
    replay_arguments = (
        f"EXAMPLES={arguments.examples} STEPS={arguments.steps} SEED={seed}"
    )
    print(f"fuzzing; to replay: make fuzz {replay_arguments}", flush=True)
    machine = hypothesis.seed(seed)(machines.Machine)
    settings = hypothesis.settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    started_at = time.monotonic()
    try:
        hypothesis.stateful.run_state_machine_as_test(
            machine, settings=settings
        )
    except Exception:  # Any failure is printed with its seed.
        traceback.print_exc()
        print(f"FAILED; to replay: make fuzz {replay_arguments}")
        return 1
    if _run_drawn_tests(seed) != pytest.ExitCode.OK:
        print(f"FAILED; to replay: make fuzz {replay_arguments}")
        return 1
    seconds = time.monotonic() - started_at
    print(f"{arguments.examples} examples passed in {seconds:.0f} s")
    return 0


def _run_drawn_tests(seed: int) -> int:
    """Runs the tests that draw values, with other values than CI draws."""
    return pytest.main(
        [
            "-m",
            "hypothesis",
            "--hypothesis-profile=fresh",
            f"--hypothesis-seed={seed}",
        ]
    )


if __name__ == "__main__":
    sys.exit(main())
