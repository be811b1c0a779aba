"""The command that runs an entry."""

from cleo.commands import command

from pimentoledge import entry
from pimentoledge import settings
from pimentoledge.commands import daemons


class EntryCommand(daemons.DaemonCommand):
    """Runs an entry."""

    name = "entry"
    description = "Runs an entry: serves callers"
    program = settings.ENTRY
    daemon = entry.EntryDaemon
    options = daemons.setting_options(settings.ENTRY)


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [EntryCommand()]
