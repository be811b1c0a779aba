"""Base of the commands that run a daemon."""

import os
import signal
import threading
from typing import Protocol

from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import option as cleo_option
import logbook
from returns import result

from pimentoledge import logs
from pimentoledge import settings

logger = logbook.Logger("daemons")

BAD_SETTING_EXIT = 2


def setting_options(program: str) -> list[cleo_option.Option]:
    """Returns a command line option for each setting of a program."""
    return [
        option(each.name, description=each.text, flag=False)
        for each in settings.settings_of(program)
    ]


def given_flags(
    daemon_command: command.Command, program: str
) -> dict[str, str]:
    """Returns the settings that were given as flags."""
    names = [each.name for each in settings.settings_of(program)]
    return {
        name: daemon_command.option(name)
        for name in names
        if daemon_command.option(name) is not None
    }


class Daemon(Protocol):
    """Interface of a daemon that a command can run."""

    def start(self) -> None:
        """Opens every socket and starts every task."""

    def drain(self) -> None:
        """Stops accepting work and finishes running requests."""

    def close(self) -> None:
        """Closes every socket and waits for every task."""


def run_until_signalled(daemon: Daemon) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then drains and closes it."""
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    daemon.start()
    stop_requested.wait()
    logger.notice("received a stop signal, draining")
    daemon.drain()
    daemon.close()
    logger.notice("stopped")


class DaemonCommand(command.Command):
    """Checks the settings and runs a daemon.

    Attributes:
        program: settings.ENTRY or settings.AGENT.
        daemon: class of the daemon to run.
    """

    program = ""
    daemon: type = object

    def handle(self) -> int:
        """Runs the command; returns the exit status."""
        checked = settings.check_settings(
            program=self.program,
            flags=given_flags(self, self.program),
            environment=dict(os.environ),
        )
        match checked:
            case result.Failure(error):
                self.line_error(f"{error.code.value}: {error.text}")
                return BAD_SETTING_EXIT
            case result.Success(chosen):
                pass
        handler = logs.make_handler(
            level=chosen.text("log-level"), form=chosen.text("log-format")
        )
        with handler.applicationbound():
            run_until_signalled(self.daemon(chosen=chosen))
        return 0
