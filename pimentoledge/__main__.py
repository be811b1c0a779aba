"""The command line."""

import importlib
import sys

from cleo import application

import pimentoledge

_PACKAGE = "pimentoledge.commands."
# Programs that import only their own command's module: an entry that also
# imported the agent, the fakes and the demo used several megabytes more.
_SEPARATE_MODULES = {
    "entry": "entries",
    "agent": "agents",
    "fake": "fakes",
    "router": "routers",
}
_OTHER_MODULES = ("administration", "demo", "shown_settings")


def main() -> int:
    """Runs the command line; returns the exit status."""
    program = application.Application("pimentoledge", pimentoledge.VERSION)
    command_name = sys.argv[1] if len(sys.argv) > 1 else ""
    modules = (*_SEPARATE_MODULES.values(), *_OTHER_MODULES)
    if command_name in _SEPARATE_MODULES:
        modules = (_SEPARATE_MODULES[command_name],)
    for module in modules:
        for each in importlib.import_module(_PACKAGE + module).commands():
            program.add(each)
    return program.run()


if __name__ == "__main__":
    sys.exit(main())
