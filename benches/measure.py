"""Runs every policy on every workload and fault, and prints the figures.

The warm-up is not measured; with a sudden fault, nothing before the fault is.
Refusals are counted over the whole run.

python -m benches.measure [--seeds N] [--policies a,b] [--faults x,y]
"""

import argparse
import itertools
import json
import multiprocessing
import pathlib
import time

import attrs

from benches import baselines
from benches import placement_runs
from benches import plots
from benches import workloads

RESULTS = pathlib.Path("results")
_PROCESSES = 6


@attrs.frozen(kw_only=True)
class Task:
    """Parameters of one run."""

    deployment: workloads.Deployment
    fault: placement_runs.Fault
    seed: int
    policy: str


@attrs.define(kw_only=True)
class Figures:
    """Figures of one run, or of several runs that differ in their seeds.

    Attributes:
        prompt_tokens: prompt tokens of all starts.
        cached_tokens: those of them found in the engine's cache.
        wasted_tokens: those of them computed although a running engine had
            them cached.
        refused: requests never completed.
        refusals: attempts that an agent refused.
        requests: all requests.
        interactive: seconds to the first token of each interactive request.
        batch: seconds to the first token of each batch request.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    wasted_tokens: int = 0
    refused: int = 0
    refusals: int = 0
    requests: int = 0
    interactive: list[float] = attrs.field(factory=list)
    batch: list[float] = attrs.field(factory=list)

    def add(self, other: "Figures"):
        """Adds the figures of another run."""
        for field in attrs.fields(Figures):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)

    def count(
        self, result: placement_runs.RequestResult, *, in_measured_period: bool
    ):
        """Adds one request.

        Refusals and failures count outside the measured period too, because a
        sudden fault also affects requests that arrived before it.
        """
        self.requests += 1
        self.refusals += result.refusals
        self.refused += not result.completed
        if not in_measured_period:
            return
        self.prompt_tokens += result.prompt_tokens
        self.cached_tokens += result.cached_tokens
        self.wasted_tokens += result.wasted_tokens
        if not result.completed:
            return
        seconds = result.first_token_at - result.arrival.at
        if result.arrival.priority == workloads.INTERACTIVE:
            self.interactive.append(seconds)
        else:
            self.batch.append(seconds)

    def row(self) -> dict[str, float]:
        """Returns the values of a table row."""
        prompt = max(1, self.prompt_tokens)
        row = {
            "hit_rate": self.cached_tokens / prompt,
            "wasted": self.wasted_tokens / prompt,
            "wasted_tokens": self.wasted_tokens,
            "refused": self.refused,
            "refusals": self.refusals,
            "requests": self.requests,
        }
        for name in ("interactive", "batch"):
            seconds = sorted(getattr(self, name))
            for share in (50, 95, 99):
                row[f"{name}_p{share}"] = _percentile(seconds, share)
        return row


def _percentile(ordered: list[float], share: int) -> float:
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, len(ordered) * share // 100)]


def run_task(task: Task) -> tuple[Task, Figures, float]:
    """Performs one run; returns its figures and its processor seconds."""
    started = time.process_time()
    simulation = placement_runs.Run(
        deployment=task.deployment,
        policy=task.policy,
        fault=task.fault,
        seed=task.seed,
    )
    figures = Figures()
    measure_from = workloads.WARM_UP_SECONDS
    if task.fault in placement_runs.SUDDEN_FAULTS:
        measure_from = workloads.FAULT_AT
    for result in simulation.run():
        figures.count(
            result, in_measured_period=result.arrival.at >= measure_from
        )
    return task, figures, time.process_time() - started


def _format_table(group: list[tuple[str, dict[str, float]]]) -> list[str]:
    lines = [
        "| policy | hit rate | wasted | interactive p50/p95/p99 s "
        "| batch p50/p95/p99 s | refused | attempts refused |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for policy, row in group:
        cells = [policy, f"{row['hit_rate']:.1%}", f"{row['wasted']:.2%}"]
        for name in ("interactive", "batch"):
            percentiles = [row[f"{name}_p{each}"] for each in (50, 95, 99)]
            cells.append(" / ".join(f"{each:.3f}" for each in percentiles))
        cells.append(f"{row['refused']} of {row['requests']}")
        cells.append(str(row["refusals"]))
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def measure(tasks: list[Task], processes: int) -> list[dict]:
    """Runs tasks and returns one row per deployment, fault and policy."""
    totals: dict[tuple, Figures] = {}
    with multiprocessing.Pool(processes) as pool:
        for task, figures, _ in pool.imap_unordered(run_task, tasks):
            key = (task.deployment, task.fault, task.policy)
            totals.setdefault(key, Figures()).add(figures)
    keys = dict.fromkeys(
        (task.deployment, task.fault, task.policy) for task in tasks
    )
    return [
        {"deployment": key[0], "fault": key[1], "policy": key[2]}
        | totals[key].row()
        for key in keys
    ]


def format_tables(rows: list[dict]) -> str:
    """Returns the rows as Markdown tables."""
    lines = []
    groups = itertools.groupby(rows, lambda r: (r["deployment"], r["fault"]))
    for (deployment, fault), group in groups:
        lines.append(f"\n### {deployment}, {fault}\n")
        lines.extend(_format_table([(row["policy"], row) for row in group]))
    return "\n".join(lines) + "\n"


def main():
    """Runs all combinations, prints the tables and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--policies", default=",".join(baselines.POLICIES))
    parser.add_argument("--faults", default=",".join(placement_runs.Fault))
    parser.add_argument("--deployments", default=",".join(workloads.Deployment))
    parser.add_argument("--processes", type=int, default=_PROCESSES)
    options = parser.parse_args()
    started = time.monotonic()
    tasks = [
        Task(
            deployment=workloads.Deployment(deployment),
            fault=placement_runs.Fault(fault),
            seed=seed,
            policy=policy,
        )
        for deployment in options.deployments.split(",")
        for fault in options.faults.split(",")
        for policy in options.policies.split(",")
        for seed in range(options.seeds)
    ]
    rows = measure(tasks, options.processes)
    text = format_tables(rows)
    print(text)
    print(f"{len(tasks)} runs in {time.monotonic() - started:.0f} s")
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "measure.json").write_text(json.dumps(rows, indent=1))
    (RESULTS / "measure.md").write_text(text)
    plots.draw(rows, RESULTS)


if __name__ == "__main__":
    main()
