"""Runs a whole deployment in one process: real daemons, fake backends."""

import hashlib

import attrs
from returns import result

from pimentoledge import agent
from pimentoledge import entry
from pimentoledge import settings
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.runners import fake_engines
from pimentoledge.runners import fake_servers as engine_servers
from pimentoledge.services import fake_services
from pimentoledge.stores import fake_objects
from pimentoledge.stores import fake_servers as object_servers
from pimentoledge.stores import fake_vms

ANY_MAILBOX_ADDRESS = "tcp://127.0.0.1:0"
ANY_HTTP_ADDRESS = "127.0.0.1:0"


@attrs.define(kw_only=True)
class EmulatedRunner:
    """An emulated runner with its agent.

    Attributes:
        name: the backend server's name.
        engine: the fake engine.
        server: HTTP server of the fake engine.
        daemon: its agent.
    """

    name: str
    engine: fake_engines.FakeEngine
    server: engine_servers.FakeEngineServer
    daemon: agent.AgentDaemon


@attrs.define(kw_only=True)
class EmulatedService:
    """An emulated plain service with its agent."""

    name: str
    service: fake_services.FakeService
    server: fake_services.ServiceServer
    daemon: agent.AgentDaemon


def key_digest(key: str) -> str:
    """Returns the digest under which an API key is declared."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


class Emulator:
    """Starts the object API, engines, services, agents and entries.

    Attributes:
        objects: the fake object API.
        vm_list: the fake list of VMs.
        store: HTTP server of both fakes.
        runners: emulated runners by name.
        services: emulated plain services by name.
        entries: entry daemons.
        peers: value of the `peers` setting of every daemon; may be empty.
    """

    def __init__(self, *, peers: str = ""):
        self.peers = peers
        self.objects = fake_objects.FakeObjects()
        self.vm_list = fake_vms.FakeVmList()
        self.store = object_servers.FakeObjectServer(
            objects=self.objects, vm_list=self.vm_list
        )
        self.runners: dict[str, EmulatedRunner] = {}
        self.services: dict[str, EmulatedService] = {}
        self.entries: list[entry.EntryDaemon] = []

    def start(self) -> None:
        """Starts the object API; the other processes are added later."""
        self.store.start()

    def close(self) -> None:
        """Closes everything that was started, entries first."""
        for each in self.entries:
            each.close()
        for each in [*self.runners.values(), *self.services.values()]:
            each.daemon.close()
            each.server.close()
        self.store.close()

    def declare(self, declaration: declarations.Declaration) -> None:
        """Writes a declaration to the object API."""
        path = declarations.path_of(declaration)
        read = self.objects.call(stores.Read(call="emulator", path=path))
        expected = read.objects[0].version if read.objects else 0
        write = stores.Write(
            call="emulator",
            path=path,
            value=declarations.encode(declaration),
            expected=expected,
            write_id=f"emulator-{path}-{expected}",
        )
        answer = self.objects.call(write)
        if answer.outcome != stores.Outcome.WRITTEN:
            raise RuntimeError(f"{path} not written: {answer.outcome}")

    def settings_for(self, program: str, **flags: str) -> settings.Settings:
        """Returns checked settings for a daemon of this deployment."""
        all_flags = {
            name.replace("_", "-"): each for name, each in flags.items()
        }
        all_flags["store"] = self.store.url
        all_flags["peers"] = all_flags.get("peers", self.peers)
        all_flags["admin-listen"] = ANY_HTTP_ADDRESS
        all_flags["mailbox"] = all_flags.get("mailbox", ANY_MAILBOX_ADDRESS)
        checked = settings.check_settings(
            program=program, flags=all_flags, environment={}
        )
        match checked:
            case result.Success(checked_settings):
                return checked_settings
            case result.Failure(error):
                raise ValueError(error.text)

    def add_runner(
        self,
        name: str,
        model: str,
        *,
        data_centre: str = "local",
        slots: int = 16,
        cache_blocks: int = 4096,
        **engine: object,
    ) -> EmulatedRunner:
        """Starts a runner with its agent, and declares it."""
        fake = fake_engines.FakeEngine(
            name=name, slots=slots, cache_blocks=cache_blocks, **engine
        )
        server = engine_servers.FakeEngineServer(engine=fake)
        server.start()
        daemon = self.start_agent(
            name, "runner", server.url, slots, data_centre
        )
        runner = EmulatedRunner(
            name=name, engine=fake, server=server, daemon=daemon
        )
        self.runners[name] = runner
        self.declare(
            declarations.BackendServer(
                name=name,
                serves=model,
                agent=daemon.loop.mailbox.address,
                data_centre=data_centre,
                slots=slots,
            )
        )
        return runner

    def add_service(
        self, name: str, service: str, *, slots: int = 16
    ) -> EmulatedService:
        """Starts a plain service with its agent, and declares it."""
        fake = fake_services.FakeService()
        server = fake_services.ServiceServer(service=fake)
        server.start()
        daemon = self.start_agent(name, "service", server.url, slots, "local")
        emulated = EmulatedService(
            name=name, service=fake, server=server, daemon=daemon
        )
        self.services[name] = emulated
        self.declare(
            declarations.BackendServer(
                name=name,
                kind=declarations.ServerKind.SERVICE,
                serves=service,
                agent=daemon.loop.mailbox.address,
                slots=slots,
            )
        )
        return emulated

    def start_agent(
        self, name: str, kind: str, url: str, slots: int, data_centre: str
    ) -> agent.AgentDaemon:
        """Starts an agent daemon."""
        chosen = self.settings_for(
            settings.AGENT,
            name=name,
            kind=kind,
            backend=url,
            slots=str(slots),
            data_centre=data_centre,
        )
        daemon = agent.AgentDaemon(chosen=chosen)
        daemon.start()
        return daemon

    def add_entry(self, name: str, **flags: str) -> entry.EntryDaemon:
        """Starts an entry, which is ready once it has its configuration."""
        chosen = self.settings_for(
            settings.ENTRY, name=name, listen=ANY_HTTP_ADDRESS, **flags
        )
        daemon = entry.EntryDaemon(chosen=chosen)
        daemon.start()
        self.entries.append(daemon)
        return daemon
