"""Passes over the tests that KNOWN-RED.txt names, and prints them.

An entry is a paragraph that begins with "test:" and the id of a test; the
lines after it tell the command and the seed, what was seen, and the issue. An
entry whose test isn't there any more is an error.
"""

import pathlib

import pytest

PAGE = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
_passed_over = pytest.StashKey()


def known_red(text):
    """Returns the entries of a page, by the id of the test."""
    found = {}
    for entry in text.split("\n\n"):
        first, _, rest = entry.strip().partition("\n")
        if first.startswith("test:"):
            found[first.removeprefix("test:").strip()] = rest
    return found


def _entries():
    return known_red(PAGE.read_text()) if PAGE.exists() else {}


def pytest_addoption(parser):
    parser.addoption(
        "--red", action="store_true", help="run what KNOWN-RED.txt names, too"
    )


def pytest_collection_modifyitems(config, items):
    entries = _entries()
    folders = {each.nodeid.partition("::")[0] for each in items}
    ids = {each.nodeid for each in items}
    whole = not any("::" in each for each in config.args)
    gone = [
        each
        for each in entries
        if whole and each.partition("::")[0] in folders and each not in ids
    ]
    if gone:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {gone}")
    if config.getoption("--red"):
        return
    red = [each for each in items if each.nodeid in entries]
    config.stash[_passed_over] = [each.nodeid for each in red]
    config.hook.pytest_deselected(items=red)
    items[:] = [each for each in items if each.nodeid not in entries]


def pytest_terminal_summary(terminalreporter, config):
    for each in config.stash.get(_passed_over, []):
        terminalreporter.write_line(f"KNOWN RED, passed over: {each}")
