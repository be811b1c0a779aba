"""The tables in docs/ say what the code says."""

import pathlib

import pytest

from pimentoledge import results
from pimentoledge import tables

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("name", sorted(tables.PAGES))
def test_tables_follow_the_code(name: str):
    assert (DOCS / name).read_text() == tables.PAGES[name](), "run: make tables"


def test_every_code_has_a_meaning():
    assert set(results.MEANINGS) == set(results.Code)
