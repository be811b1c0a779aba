"""Stand-in of the whole platform: store, servers and configuration."""

from pimentoledge.platform import names
from pimentoledge.platform import stand_in_servers
from pimentoledge.platform import stand_in_stores

HOST = "shop.example"
KEY = "key-of-acme"
ISOLATED_KEY = "key-of-walled"
MODEL = "m"


def route(name: str, *, service: str, kind: str, **overrides: object) -> dict:
    """Returns a route as an operator writes it.

    Args:
        name: name of the route, and its path prefix.
        service: the service that gets its requests.
        kind: whether its requests may be retried.
        **overrides: fields that replace the defaults.
    """
    fields = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": False,
    }
    fields.update(overrides)
    return fields


def configuration(
    version: int = 1,
    routes: list[dict] | None = None,
    kv_address: str = "127.0.0.1:9",
    **overrides: object,
) -> dict:
    """Returns a configuration as an operator writes it.

    Args:
        version: version of the configuration.
        routes: routes that replace the four default ones.
        kv_address: address of the KV cache server.
        **overrides: fields that replace the defaults.
    """
    return {
        "version": version,
        "routes": routes
        or [
            route("cards", service="plain", kind="unsafe", maxAttempts=1),
            route("notices", service="plain", kind="safe"),
            route("lookups", service="runners", kind="stream", resumable=True),
            route("drafts", service="runners", kind="stream", maxAttempts=1),
        ],
        "services": [
            {"name": "plain", "maxConns": 50},
            {
                "name": "runners",
                "maxConns": 50,
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 70000,
                    "models": [{"name": MODEL}],
                },
            },
            {"name": "kept", "kvStore": kv_address, "zone": "a"},
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 10000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "acme", "apiKeys": [KEY], "priority": 2},
            {"name": "walled", "apiKeys": [ISOLATED_KEY], "isolated": True},
        ],
        **overrides,
    }


class StandInPlatform:
    """A store, a KV cache server and backend servers.

    Attributes:
        store: the stand-in of the store.
        kv_server: the stand-in of the KV cache server.
        servers: the stand-ins of backend servers, by incarnation.
    """

    def __init__(self, *, port: int = 0):
        self.store = stand_in_stores.StandInStore(port=port)
        self.kv_server = stand_in_servers.StandInServer(
            incarnation="kept", service="kept"
        )
        self.servers: dict[str, stand_in_servers.StandInServer] = {}

    def start(self, *, plain: int = 2, runners: int = 2) -> None:
        """Starts all servers and writes what a router needs into the store."""
        self.store.start()
        self.kv_server.start()
        spec = configuration(kv_address=self.kv_server.address)
        self.store.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, spec)
        weights = {"model": MODEL, "version": 1}
        self.store.put(names.WEIGHT_VERSION_KIND, MODEL, weights)
        for number in range(plain):
            self.add_server(f"p{number}", service="plain")
        for number in range(runners):
            self.add_server(f"r{number}", service="runners", weights={MODEL: 1})

    def close(self) -> None:
        """Stops all servers."""
        self.store.close()
        self.kv_server.close()
        for server in self.servers.values():
            server.close()

    def add_server(
        self,
        incarnation: str,
        *,
        service: str,
        weights: dict[str, int] | None = None,
        software: str = "v1",
    ) -> stand_in_servers.StandInServer:
        """Starts a backend server and writes its registration."""
        server = stand_in_servers.StandInServer(
            incarnation=incarnation, service=service, weights=weights
        )
        server.software = software
        server.start()
        server.on_loaded = lambda: self.write_registration(server)
        self.servers[incarnation] = server
        self.write_registration(server)
        return server

    def write_registration(
        self, server: stand_in_servers.StandInServer, *, leaving: bool = False
    ) -> None:
        """Writes a server's entry into the store."""
        self.store.put(
            names.SERVER_KIND, server.incarnation, server.entry(leaving=leaving)
        )
