"""The command that runs an agent."""

from cleo.commands import command

from pimentoledge import agent
from pimentoledge import settings
from pimentoledge.commands import daemons


class AgentCommand(daemons.DaemonCommand):
    """Runs an agent."""

    name = "agent"
    description = "Runs an agent beside a backend server"
    program = settings.AGENT
    daemon = agent.AgentDaemon
    options = daemons.setting_options(settings.AGENT)


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [AgentCommand()]
