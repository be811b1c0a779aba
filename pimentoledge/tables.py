"""Generates the tables in docs/ from the code."""

import pathlib
import sys

from pimentoledge import results
from pimentoledge import settings

_RESULT_CODES_HEADER = """# Result codes

Every error of every interface carries one of these numbers. `outcome` says
what is true of the call having run, unless the error itself says otherwise:
`not_run` (it ran nowhere and won't), `ran`, or `outcome_unknown`.

The thousands: 1 the request, 2 limits and load, 3 routing, 4 the call was
started, 5 calls that may not be repeated, 6 operators, 7 settings, 9 defects.

| number | code | HTTP status | outcome | meaning |
| --- | --- | --- | --- | --- |
"""

_SETTINGS_HEADER = """# Settings

Every setting is a flag or an environment variable; a flag goes first. All are
checked at the start: an unknown, missing or out-of-range one stops the start
with a message that names the flag, the variable, the value and what is
allowed. `pimentoledge settings entry` and `pimentoledge settings agent` show
the values in force and where they come from.

| flag | variable | programs | default | allowed | what |
| --- | --- | --- | --- | --- | --- |
"""


def _table_row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |\n"


def result_codes_page() -> str:
    """Returns the text of docs/result-codes.md."""
    rows = [
        _table_row(
            [str(code.value), code.name, str(each.status), each.ran, each.text]
        )
        for code, each in results.MEANINGS.items()
    ]
    return _RESULT_CODES_HEADER + "".join(rows)


def settings_page() -> str:
    """Returns the text of docs/settings.md."""
    rows = [
        _table_row(
            [
                f"`{each.flag()}`",
                f"`{each.variable()}`",
                ", ".join(each.programs),
                "must be given"
                if each.default is None
                else f"`{each.default}`",
                settings.describe_allowed(each.kind),
                each.text,
            ]
        )
        for each in settings.SETTINGS
    ]
    return _SETTINGS_HEADER + "".join(rows)


PAGES = {
    "result-codes.md": result_codes_page,
    "settings.md": settings_page,
}


def main() -> None:
    """Writes the pages into the folder named on the command line."""
    folder = pathlib.Path(sys.argv[1])
    for name, page in PAGES.items():
        (folder / name).write_text(page())


if __name__ == "__main__":
    main()
