"""The command that runs a router."""

import os

from cleo.commands import command
from returns import result

from pimentoledge import settings
from pimentoledge.commands import daemons
from pimentoledge.routing import daemons as routing_daemons


class RouterCommand(command.Command):
    """Runs a router, as the module `pimentoledge.router` does."""

    name = "router"
    description = "Runs a router: serves clients of the users' platform"
    options = daemons.setting_options(settings.ROUTER)

    def handle(self) -> int:
        """Runs the command; returns the exit status."""
        flags = daemons.given_flags(self, settings.ROUTER)
        match routing_daemons.read_settings(dict(os.environ), flags=flags):
            case result.Failure(error):
                self.line_error(f"{error.code.value}: {error.text}")
                return daemons.BAD_SETTING_EXIT
            case result.Success(chosen):
                return routing_daemons.run(chosen)


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [RouterCommand()]
