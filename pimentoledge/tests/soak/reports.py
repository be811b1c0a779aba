"""Charts of a run: requests and faults over time, and latencies."""

import collections
import pathlib

import matplotlib
from matplotlib import pyplot

from pimentoledge.routing import router_responses
from pimentoledge.tests.soak import records

matplotlib.use("Agg")

OUTCOMES = ("served", "refused", "failed")
COLOURS = ("tab:green", "tab:orange", "tab:red")
HISTOGRAM_BINS = 60
# Font size of the faults' descriptions.
FAULT_TEXT_POINTS = 5


def classify(request: records.Request) -> str:
    """Returns the outcome of a request, one of OUTCOMES."""
    if request.whole and 200 <= (request.status or 0) < 300:
        return "served"
    if request.status in router_responses.NOT_RUN_STATUSES:
        return "refused"
    return "failed"


def draw(record: records.SoakRecord, began: float, path: pathlib.Path) -> None:
    """Writes charts of a run to a file.

    Args:
        record: the record of the run.
        began: when the run began, in seconds of time.monotonic.
        path: the file; its suffix, such as svg, determines the format.
    """
    figure, (over_time, latency) = pyplot.subplots(2, 1, figsize=(12, 9))
    ended = [each for each in record.requests.values() if each.ended]
    _draw_over_time(over_time, ended, record.faults, began)
    _draw_latency(latency, ended)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _draw_over_time(
    axis,
    ended: list[records.Request],
    faults: list[tuple[float, str]],
    began: float,
) -> None:
    """Draws requests per second by time sent, and the faults."""
    counts = collections.Counter(
        (int(each.sent - began), classify(each)) for each in ended
    )
    seconds = range(max((second for second, _ in counts), default=0) + 1)
    stacked = [
        [counts[second, name] for second in seconds] for name in OUTCOMES
    ]
    axis.stackplot(seconds, *stacked, labels=OUTCOMES, colors=COLOURS)
    top = axis.get_ylim()[1]
    for at, text in faults:
        axis.axvline(at - began, color="grey", linewidth=0.4)
        axis.text(
            at - began,
            top,
            text,
            rotation=90,
            fontsize=FAULT_TEXT_POINTS,
            verticalalignment="top",
        )
    axis.set_xlabel("sent, s")
    axis.set_ylabel("requests a second")
    axis.legend(loc="lower right")


def _draw_latency(axis, ended: list[records.Request]) -> None:
    """Draws a histogram of the time to the answer's end, for each outcome."""
    for name, colour in zip(OUTCOMES, COLOURS, strict=True):
        latencies = [
            each.ended - each.sent for each in ended if classify(each) == name
        ]
        axis.hist(
            latencies, bins=HISTOGRAM_BINS, label=name, color=colour, alpha=0.6
        )
    axis.set_yscale("log")
    axis.set_xlabel("to the answer's end, s")
    axis.set_ylabel("requests")
    axis.legend()
