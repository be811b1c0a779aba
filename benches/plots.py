"""Plots each table of benches.measure."""

import itertools
import pathlib

import matplotlib
from matplotlib import pyplot

matplotlib.use("Agg")

_PANELS = (
    ("hit_rate", "prefix hit rate, %", 100.0),
    ("wasted", "wasted recomputation, %", 100.0),
    ("interactive_p99", "interactive TTFT p99, s", 1.0),
    ("batch_p99", "batch TTFT p99, s", 1.0),
)


def draw(rows: list[dict], directory: pathlib.Path):
    """Writes a PNG file for each deployment and fault.

    Args:
        rows: rows of measure.measure, ordered by deployment and fault.
        directory: directory of the files.
    """
    groups = itertools.groupby(rows, lambda r: (r["deployment"], r["fault"]))
    for (deployment, fault), group in groups:
        name = f"{deployment}-{fault}.png".replace(" ", "-")
        _draw(f"{deployment}, {fault}", list(group), directory / name)


def _draw(title: str, rows: list[dict], path: pathlib.Path):
    figure, axes = pyplot.subplots(1, len(_PANELS), figsize=(16, 4))
    names = [row["policy"] for row in rows]
    for axis, (field, label, scale) in zip(axes, _PANELS, strict=True):
        axis.barh(names, [row[field] * scale for row in rows])
        axis.invert_yaxis()
        axis.set_xlabel(label)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
