"""Tests that the tables in docs/ match the code."""

import pathlib
import re

import pytest

from pimentoledge import results
from pimentoledge import tables

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("name", sorted(tables.PAGES))
def test_tables_in_docs_match_the_code(name: str):
    assert (DOCS / name).read_text() == tables.PAGES[name](), "run: make tables"


def test_every_code_has_a_meaning():
    assert set(results.MEANINGS) == set(results.Code)


def test_the_tests_that_the_outages_page_names_exist():
    page = (DOCS / "operations" / "outages.md").read_text()
    named = set(re.findall(r"`(test_\w+)`", page))
    folder = pathlib.Path(__file__).parent
    text = "".join(each.read_text() for each in folder.rglob("test_*.py"))
    missing = [each for each in named if f"def {each}(" not in text]
    assert named and not missing
