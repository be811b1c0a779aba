"""Tests of the command line and of the log formats."""

import datetime
import json

from cleo import application
from cleo.testers import command_tester
import logbook
import pytest

from pimentoledge import logs
from pimentoledge import settings
from pimentoledge.commands import entries
from pimentoledge.commands import shown_settings

DECISION_FIELDS = {"request": "r1", "choice": "s 1", "candidates": {"s 1": 0.5}}


def run_command(command, arguments: str) -> tuple[int, str]:
    """Returns a command's exit status and all that it printed."""
    program = application.Application()
    program.add(command)
    tester = command_tester.CommandTester(program.find(command.name))
    status = tester.execute(arguments)
    return status, tester.io.fetch_output() + tester.io.fetch_error()


def test_settings_prints_each_setting_with_its_source(monkeypatch):
    monkeypatch.setenv("PIMENTOLEDGE_DATA_CENTRE", "north")
    status, printed = run_command(shown_settings.SettingsCommand(), "entry")
    assert status == 0
    for each in settings.settings_of(settings.ENTRY):
        assert each.name in printed
    line = next(x for x in printed.splitlines() if "data-centre" in x)
    assert "north" in line and "environment" in line
    assert "7001" in printed  # A required setting is missing.


def test_a_bad_setting_stops_the_start_with_its_number():
    status, printed = run_command(
        entries.EntryCommand(), "--name=e --drain-seconds=x"
    )
    assert status == 2
    assert printed.startswith("7001: ")


@pytest.mark.parametrize("form", ["plain", "json"])
def test_a_decision_is_one_line(form, capsys):
    with logs.make_handler(level="info", form=form):
        logs.log_decision("route", DECISION_FIELDS)
        logbook.Logger("x").debug("left out")
    (line,) = capsys.readouterr().err.splitlines()
    if form == "plain":
        assert "route request=r1 choice='s 1' candidates={" in line
        return
    record = json.loads(line)
    assert record["message"] == "route"
    assert record["level"] == "info"
    assert {name: record[name] for name in DECISION_FIELDS} == DECISION_FIELDS
    timestamp = datetime.datetime.fromisoformat(record["time"])
    assert timestamp.utcoffset() == datetime.timedelta(0)
