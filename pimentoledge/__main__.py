"""The command line."""

import importlib
import sys

from cleo import application

import pimentoledge

_PACKAGE = "pimentoledge.commands."
# A daemon must not carry the modules of the other programs: an entry with
# those of the agent, the fakes and the demo held several megabytes more.
_ALONE = {
    "entry": "entries",
    "agent": "agents",
    "fake": "fakes",
    "router": "routers",
}
_OTHERS = ("administration", "demo", "shown_settings")


def main() -> int:
    """Runs the command line; returns the exit status."""
    program = application.Application("pimentoledge", pimentoledge.VERSION)
    asked = sys.argv[1] if len(sys.argv) > 1 else ""
    modules = (*_ALONE.values(), *_OTHERS)
    if asked in _ALONE:
        modules = (_ALONE[asked],)
    for module in modules:
        for each in importlib.import_module(_PACKAGE + module).commands():
            program.add(each)
    return program.run()


if __name__ == "__main__":
    sys.exit(main())
