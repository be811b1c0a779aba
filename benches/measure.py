"""Runs every policy on every workload and fault, and prints the figures.

The first seconds are left out; with a sudden fault, all before it is. Refusals
count over the whole run.

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
    """One run."""

    deployment: workloads.Deployment
    fault: placement_runs.Fault
    seed: int
    policy: str


@attrs.define(kw_only=True)
class Figures:
    """What one run, or several runs with other seeds, came to.

    Attributes:
        prompt_tokens: prompt tokens of all starts.
        cached_tokens: of these, taken from a cache.
        wasted_tokens: of these, computed though a live engine held them.
        refused: requests never completed.
        refusals: attempts that an agent refused.
        requests: all requests.
        interactive: seconds to the first token of each.
        batch: seconds to the first token of each.
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

    def count(self, measured: placement_runs.Measured, *, timed: bool):
        """Adds one request; its refusals and its failure always count.

        A sudden fault hits what came before it too.
        """
        self.requests += 1
        self.refusals += measured.refusals
        self.refused += not measured.done
        if not timed:
            return
        self.prompt_tokens += measured.prompt_tokens
        self.cached_tokens += measured.cached_tokens
        self.wasted_tokens += measured.wasted_tokens
        if not measured.done:
            return
        seconds = measured.first_at - measured.arrival.at
        if measured.arrival.priority == workloads.INTERACTIVE:
            self.interactive.append(seconds)
        else:
            self.batch.append(seconds)

    def row(self) -> dict[str, float]:
        """Returns the figures of the table."""
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


def run(task: Task) -> tuple[Task, Figures, float]:
    """Makes one run; returns its figures and its processor seconds."""
    began = time.process_time()
    made = placement_runs.Run(
        deployment=task.deployment,
        policy=task.policy,
        fault=task.fault,
        seed=task.seed,
    )
    figures = Figures()
    start = workloads.WARM_UP_SECONDS
    if task.fault in placement_runs.SUDDEN:
        start = workloads.FAULT_AT
    for measured in made.run():
        figures.count(measured, timed=measured.arrival.at >= start)
    return task, figures, time.process_time() - began


def _table(group: list[tuple[str, dict[str, float]]]) -> list[str]:
    lines = [
        "| policy | hit rate | wasted | interactive p50/p95/p99 s "
        "| batch p50/p95/p99 s | refused | attempts refused |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for policy, row in group:
        cells = [policy, f"{row['hit_rate']:.1%}", f"{row['wasted']:.2%}"]
        for name in ("interactive", "batch"):
            shares = [row[f"{name}_p{each}"] for each in (50, 95, 99)]
            cells.append(" / ".join(f"{each:.3f}" for each in shares))
        cells.append(f"{row['refused']} of {row['requests']}")
        cells.append(str(row["refusals"]))
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def measure(tasks: list[Task], processes: int) -> list[dict]:
    """Runs tasks and returns one row per deployment, fault and policy."""
    sums: dict[tuple, Figures] = {}
    with multiprocessing.Pool(processes) as pool:
        for task, figures, _ in pool.imap_unordered(run, tasks):
            key = (task.deployment, task.fault, task.policy)
            sums.setdefault(key, Figures()).add(figures)
    wanted = dict.fromkeys(
        (task.deployment, task.fault, task.policy) for task in tasks
    )
    return [
        {"deployment": key[0], "fault": key[1], "policy": key[2]}
        | sums[key].row()
        for key in wanted
    ]


def show(rows: list[dict]) -> str:
    """Returns the rows as Markdown tables."""
    lines = []
    groups = itertools.groupby(rows, lambda r: (r["deployment"], r["fault"]))
    for (deployment, fault), group in groups:
        lines.append(f"\n### {deployment}, {fault}\n")
        lines.extend(_table([(row["policy"], row) for row in group]))
    return "\n".join(lines) + "\n"


def main():
    """Measures and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--policies", default=",".join(baselines.POLICIES))
    parser.add_argument("--faults", default=",".join(placement_runs.Fault))
    parser.add_argument("--deployments", default=",".join(workloads.Deployment))
    parser.add_argument("--processes", type=int, default=_PROCESSES)
    options = parser.parse_args()
    began = time.monotonic()
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
    text = show(rows)
    print(text)
    print(f"{len(tasks)} runs in {time.monotonic() - began:.0f} s")
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "measure.json").write_text(json.dumps(rows, indent=1))
    (RESULTS / "measure.md").write_text(text)
    plots.draw(rows, RESULTS)


if __name__ == "__main__":
    main()
