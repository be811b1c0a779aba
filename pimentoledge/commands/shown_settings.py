"""The command that shows every setting with its source."""

import os

from cleo.commands import command
from cleo.helpers import argument
from returns import result

from pimentoledge import settings
from pimentoledge.commands import daemons


class SettingsCommand(command.Command):
    """Prints the settings of a program."""

    name = "settings"
    description = "Prints every setting with its value, source and default"
    arguments = [argument("program", description="entry or agent")]

    def handle(self) -> int:
        """Runs the command; returns the exit status."""
        program = self.argument("program")
        if program not in settings.DAEMONS:
            self.line_error(f"unknown program {program!r}: entry or agent")
            return daemons.BAD_SETTING_EXIT
        table = self.table(["setting", "value", "source", "default", "what"])
        for setting in settings.settings_of(program):
            table.add_row(_row(setting))
        table.render()
        match settings.check_settings(
            program=program, flags={}, environment=dict(os.environ)
        ):
            case result.Failure(error):
                self.line(f"{error.code.value}: {error.text}")
        return 0


def _row(setting: settings.Setting) -> list[str]:
    default = setting.default
    environment_value = os.environ.get(setting.variable())
    value = environment_value if environment_value is not None else default
    source = "environment" if environment_value is not None else "default"
    return [
        setting.name,
        "(must be given)" if value is None else value,
        source if value is not None else "",
        "" if default is None else default,
        setting.text,
    ]


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [SettingsCommand()]
