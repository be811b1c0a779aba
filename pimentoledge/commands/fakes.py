"""The command that runs a fake of an external system."""

import signal
import threading

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from pimentoledge.platform import stand_in_platforms
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_servers as engine_servers
from pimentoledge.services import fake_services
from pimentoledge.stores import fake_objects
from pimentoledge.stores import fake_servers as object_servers

FakeServer = (
    object_servers.FakeObjectServer
    | engine_servers.FakeEngineServer
    | fake_services.ServiceServer
    | stand_in_platforms.StandInPlatform
)


class FakeCommand(command.Command):
    """Runs a fake until SIGTERM or SIGINT; prints its URL first."""

    name = "fake"
    description = "Runs a fake object API, engine, service or platform"
    hidden = True
    arguments = [
        argument("what", description="store, engine, service or platform")
    ]
    options = [
        option("port", description="port on loopback", flag=False, default="0"),
        option("name", description="name", flag=False, default="engine"),
        option("slots", description="batch slots", flag=False, default="16"),
        option(
            "cache-blocks", description="cache", flag=False, default="65536"
        ),
        option(
            "token-seconds", description="prefill", flag=False, default="0.0001"
        ),
        option("step-seconds", description="step", flag=False, default="0.032"),
    ]

    def handle(self) -> int:
        """Runs the command; returns the exit status."""
        stop_requested = threading.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: stop_requested.set())
        server = self.make_server()
        if server is None:
            self.line_error("what to run: store, engine, service or platform")
            return 2
        server.start()
        match server:
            case stand_in_platforms.StandInPlatform():
                self.line(server.store.address)
            case _:
                self.line(server.url)
        stop_requested.wait()
        server.close()
        return 0

    def make_server(self) -> FakeServer | None:
        """Returns the requested fake, or None if its kind is unknown."""
        port = int(self.option("port"))
        match self.argument("what"):
            case "store":
                objects = fake_objects.FakeObjects()
                return object_servers.FakeObjectServer(
                    objects=objects, port=port
                )
            case "engine":
                engine = fake_engines.FakeEngine(
                    name=self.option("name"),
                    slots=int(self.option("slots")),
                    cache_blocks=int(self.option("cache-blocks")),
                    token_seconds=float(self.option("token-seconds")),
                    step_seconds=float(self.option("step-seconds")),
                )
                return engine_servers.FakeEngineServer(engine=engine, port=port)
            case "platform":
                return stand_in_platforms.StandInPlatform(port=port)
            case "service":
                service = fake_services.FakeService()
                return fake_services.ServiceServer(service=service, port=port)
        return None


def commands() -> list[command.Command]:
    """Returns the commands of this module."""
    return [FakeCommand()]
