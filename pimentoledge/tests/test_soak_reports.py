"""Charts of a soak run."""

import pytest

from pimentoledge.tests.soak import records
from pimentoledge.tests.soak import reports


def make_request(number, *, status, whole=True):
    return records.Request(
        identity=f"q-{number}",
        route="cards",
        key="k",
        body=b"",
        router="router-0",
        process_run=0,
        first=False,
        sent=100.0 + number,
        ended=100.2 + number,
        status=status,
        whole=whole,
    )


@pytest.mark.parametrize(
    ("status", "whole", "expected"),
    [
        (200, True, "served"),
        (200, False, "failed"),
        (503, True, "refused"),
        (502, True, "failed"),
        (None, False, "failed"),
    ],
)
def test_request_is_classified_by_its_answer(status, whole, expected):
    assert (
        reports.classify(make_request(0, status=status, whole=whole))
        == expected
    )


def test_draw_writes_one_svg_of_a_run_with_faults(tmp_path):
    record = records.SoakRecord()
    for number, status in enumerate((200, 200, 503, 502)):
        record.requests[str(number)] = make_request(number, status=status)
    record.faults.append((101.0, "SIGKILL to router-0"))
    path = tmp_path / "run.svg"
    reports.draw(record, 100.0, path)
    assert path.read_text().count("<svg") == 1
