"""Deselects the tests that KNOWN-RED.txt lists, and prints them.

An entry is a paragraph that begins with "test:" and the id of a test. Its other
lines give the command and the seed, what was observed, and the issue. An entry
whose test no longer exists is an error.
"""

import pathlib

import hypothesis
import pytest

KNOWN_RED_FILE = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
_deselected_ids = pytest.StashKey()

# Each run draws the same values, wherever and after whatever it runs.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, database=None, deadline=None
)
# For make fuzz, whose seed is an option of pytest.
hypothesis.settings.register_profile(
    "fresh", derandomize=False, database=None, deadline=None, max_examples=200
)
hypothesis.settings.load_profile("repeatable")


def parse_entries(text):
    """Returns the text of each entry by test id."""
    entries = {}
    for entry in text.split("\n\n"):
        first, _, rest = entry.strip().partition("\n")
        if first.startswith("test:"):
            entries[first.removeprefix("test:").strip()] = rest
    return entries


def _read_entries():
    return (
        parse_entries(KNOWN_RED_FILE.read_text())
        if KNOWN_RED_FILE.exists()
        else {}
    )


def pytest_addoption(parser):
    parser.addoption(
        "--red", action="store_true", help="run what KNOWN-RED.txt names, too"
    )


def pytest_collection_modifyitems(config, items):
    entries = _read_entries()
    files = {each.nodeid.partition("::")[0] for each in items}
    ids = {each.nodeid for each in items}
    unfiltered = not any("::" in each for each in config.args)
    missing = [
        each
        for each in entries
        if unfiltered and each.partition("::")[0] in files and each not in ids
    ]
    if missing:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {missing}")
    if config.getoption("--red"):
        return
    deselected = [each for each in items if each.nodeid in entries]
    config.stash[_deselected_ids] = [each.nodeid for each in deselected]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [each for each in items if each.nodeid not in entries]


def pytest_terminal_summary(terminalreporter, config):
    for each in config.stash.get(_deselected_ids, []):
        terminalreporter.write_line(f"KNOWN RED, passed over: {each}")
