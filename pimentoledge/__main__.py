"""The command line."""

import sys

from cleo import application

import pimentoledge
from pimentoledge.commands import administration
from pimentoledge.commands import daemons
from pimentoledge.commands import demo
from pimentoledge.commands import fakes
from pimentoledge.commands import shown_settings


def main() -> int:
    """Runs the command line; returns the exit status."""
    program = application.Application("pimentoledge", pimentoledge.VERSION)
    for each in (
        daemons.EntryCommand(),
        daemons.AgentCommand(),
        demo.DemoCommand(),
        fakes.FakeCommand(),
        shown_settings.SettingsCommand(),
        *administration.commands(),
    ):
        program.add(each)
    return program.run()


if __name__ == "__main__":
    sys.exit(main())
