"""Tests of the platform adapter, and that only it contains platform names."""

import ast
import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from returns import result

from pimentoledge import settings
from pimentoledge.platform import names
from pimentoledge.platform import objects
from pimentoledge.platform import requests
from pimentoledge.platform import stand_in_platforms
from pimentoledge.platform import stores
from pimentoledge.routing import calls
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import counters
from pimentoledge.routing import daemons
from pimentoledge.routing import http_messages
from pimentoledge.routing import log_lines
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import view_updaters

PACKAGE = pathlib.Path(__file__).parents[1]
# Fields of the platform's JSON bodies that are used nowhere else.
FIELDS = [
    "pathPrefix",
    "trafficSplit",
    "timeoutMs",
    "targetLatencyMs",
    "maxAttempts",
    "resumable",
    "sticky",
    "gapAimMs",
    "apiKeys",
    "isolated",
    "tenants",
    "healthPath",
    "maxConns",
    "kvStore",
    "kvCapacityTokens",
    "maxHeaderBytes",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "coldRemainingMs",
    "storeRevision",
    "createRev",
    "finalizers",
    "deleting",
    "allowStale",
    "waitMs",
    "switchMode",
    "precondition",
    "bootEpoch",
    "draining",
]
# Names that HTTP itself uses, or common words.
COMMON = {"host", "model", "hold", "connection", "keep-alive", "expect"}


def string_literals(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant):
            match node.value:
                case str() as text:
                    yield text.lower()
                case bytes() as data:
                    yield data.decode("latin-1").lower()


def collect_platform_names():
    platform_names = set()
    for value in vars(names).values():
        match value:
            case bytes():
                platform_names.add(value.decode().lower())
            case str() if value.startswith("/"):
                platform_names.add(value.lower())
    return (platform_names | {each.lower() for each in FIELDS}) - COMMON


def test_routing_contains_no_platform_names():
    platform_names = collect_platform_names()
    assert len(platform_names) > 40
    for path in (PACKAGE / "routing").glob("*.py"):
        known = platform_names & set(string_literals(path))
        assert not known, (path.name, known)


def head(*lines, method=b"POST", target=b"/a/b?c=1"):
    pairs = [tuple(each.split(b": ", 1)) for each in lines]
    return http_messages.RequestHead(
        method=method, target=target, headers=pairs, keep_alive=True
    )


def test_a_request_is_decoded_into_typed_fields():
    decoded = requests.decode_request(
        head(
            b"Host: Shop.Example:80",
            b"Request-Id: q1",
            b"Deadline-Ms: 1500",
            b"Authorization: Bearer secret",
            b"Model: m",
            b"Token-Usage: 1460,80",
            b"Prompt-Prefix: aa:800, bb:650,cc:10",
            b"Last-Event-Id: 12",
            b"Connection: keep-alive",
            b"X-Own: kept",
        ),
        b"body",
        3.0,
    )
    match decoded:
        case result.Success(client_request):
            pass
    assert (client_request.host, client_request.path, client_request.key) == (
        "shop.example",
        "/a/b",
        "secret",
    )
    assert (client_request.wait_seconds, client_request.resume_after) == (
        1.5,
        12,
    )
    assert (client_request.prompt_tokens, client_request.answer_tokens) == (
        1460,
        80,
    )
    assert [part.tokens for part in client_request.parts] == [800, 650, 10]
    forwarded = {name.lower() for name, _ in client_request.passed_on}
    assert b"x-own" in forwarded and b"request-id" in forwarded
    assert not forwarded & {b"authorization", b"connection", b"deadline-ms"}


def test_a_request_without_exactly_one_id_is_rejected():
    for lines in ((), (b"Request-Id: a", b"Request-Id: b")):
        decoded = requests.decode_request(head(b"Host: h", *lines), b"", 0.0)
        assert isinstance(decoded, result.Failure)


def test_an_encoded_request_names_the_only_server_that_may_run_it():
    match requests.decode_request(
        head(b"Host: h", b"Request-Id: q", b"Hold: forged"), b"xyz", 0.0
    ):
        case result.Success(client_request):
            pass
    raw = requests.encode_request(
        client_request,
        request_types.Dispatch(
            server="i-1",
            organisation="acme",
            seconds_left=0.25,
            weights=3,
            namespace="3",
        ),
    )
    text = raw.decode().lower()
    for line in (
        "expect-instance: i-1",
        "tenant: acme",
        "deadline-ms: 250",
        "expect-version: 3",
        "cache-salt: 3",
        "content-length: 3",
    ):
        assert line in text
    assert "forged" not in text
    assert raw.endswith(b"\r\n\r\nxyz")


def decode_head(status, **headers):
    pairs = [
        (name.replace("_", "-").encode(), value)
        for name, value in headers.items()
    ]
    return requests.decode_response_head(
        http_messages.ResponseHead(
            status=status,
            headers=pairs,
            keep_alive=True,
            ends_by_close=False,
        )
    )


def test_a_response_head_tells_whether_the_request_ran():
    assert decode_head(503, not_run=b"1").not_run
    assert decode_head(421).not_run
    assert not decode_head(503).not_run
    response = decode_head(
        200, server_load=b"3,1,8", keep_alive=b"timeout=7, max=3"
    )
    assert response.load == request_types.ServerLoad(
        running=3, waiting=1, slots=8
    )
    assert response.idle_seconds == 7
    assert decode_head(200, server_load=b"x").load is None


def test_a_load_report_with_further_figures_is_not_discarded():
    """Guards against reports that are lost as servers add figures."""
    load = decode_head(200, server_load=b"3,1,8,250").load
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert load.slowdown == 2.5
    assert decode_head(200, server_load=b"3,1,8,250,7").load == load
    assert decode_head(200, server_load=b"3,1,8,x").load.slowdown is None
    assert decode_head(200, server_load=b"3,1,8").load.slowdown is None
    assert decode_head(200, server_load=b"3,1").load is None


def test_a_configuration_is_decoded_into_typed_fields():
    spec = stand_in_platforms.configuration(version=4)
    built = objects.decode_configuration(
        registrations.Stored(name="main", revision=1, value=spec)
    )
    route = built.match("shop.example", "/lookups/1")
    assert (route.resumable, route.timeout_seconds) == (True, 3.0)
    assert built.by_key["key-of-walled"].isolated
    assert built.services["runners"].models == ("m",)
    assert [each.name for each in built.cache_servers()] == ["kept"]


def test_a_configuration_with_missing_fields_and_unknown_kinds_is_accepted():
    """Guards against rejecting a whole configuration for unknown values."""
    spec = {
        "version": 2,
        "routes": [
            {
                "name": "r",
                "host": "h",
                "pathPrefix": "/",
                "kind": "unheard-of",
                "service": "s",
            }
        ],
    }
    built = objects.decode_configuration(
        registrations.Stored(name="main", revision=1, value=spec)
    )
    route = built.match("h", "/x")
    assert route.kind is configurations.Repeatability.UNSAFE
    assert not route.repeatable()
    assert built.by_key is None
    assert built.limits == configurations.ClientLimits()


def test_one_bad_server_does_not_hide_the_others():
    view = cluster_views.ClusterView(name="x", data_centre="a", started_at=0.0)
    updater = view_updaters.ViewUpdater(
        view=view,
        lines=log_lines.Lines(counters=counters.Counters()),
    )
    good = {"service": "s", "address": "1.2.3.4:5", "zone": "a"}
    updater.apply_servers(
        [
            registrations.Stored(name="bad", revision=1, value=None),
            registrations.Stored(name="odd", revision=2, value={"zone": 1}),
            registrations.Stored(name="good", revision=3, value=good),
        ],
        [],
    )
    assert list(view.servers.by_incarnation) == ["good"]


def test_a_settings_file_is_checked_like_flags(tmp_path):
    path = tmp_path / "router.toml"
    path.write_text('name = "r"\nstore-address = "1.2.3.4:5"\n')
    variable = {daemons.CONFIG_VARIABLE: str(path)}
    match daemons.read_settings(variable):
        case result.Success(read_settings):
            assert read_settings.text("store-address") == "1.2.3.4:5"
    for text in ("lease-ms = -1\n", "unheard-of = 1\n", "not toml"):
        path.write_text('name = "r"\nstore-address = "1.2.3.4:5"\n' + text)
        assert isinstance(daemons.read_settings(variable), result.Failure)


def test_the_deployment_template_contains_only_known_settings():
    root = PACKAGE.parent
    for line in (root / "deploy" / "router.toml").read_text().splitlines():
        name = line.partition(" = ")[0]
        known = {each.name for each in settings.settings_of(settings.ROUTER)}
        assert name in known


def test_the_deployed_program_serves_requests_and_exits_on_sigterm(tmp_path):
    platform = stand_in_platforms.StandInPlatform()
    platform.start(plain=1, runners=0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    path = tmp_path / "router.toml"
    path.write_text(
        f'name = "r"\nstore-address = "{platform.store.address}"\n'
        f'listen = "127.0.0.1:{port}"\nready-listen = "127.0.0.1:0"\n'
        'metrics-listen = "127.0.0.1:0"\npeer-listen = "127.0.0.1:0"\n'
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "pimentoledge.router"],
        env={**os.environ, daemons.CONFIG_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    )
    try:
        assert _request_until_ok(port).startswith(b"HTTP/1.1 200")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=15)
    finally:
        process.kill()
        process.wait()
        platform.close()
    assert process.returncode == 0
    assert b'"message":"reload"' in output
    assert b'"message":"ended"' in output


def test_further_sigterms_do_not_fail_a_router_that_exits(tmp_path):
    """Guards against an exit that a second SIGTERM turns into a failure."""
    path = tmp_path / "router.toml"
    path.write_text(
        'name = "r"\nstore-address = "127.0.0.1:9"\n'
        'listen = "127.0.0.1:0"\nready-listen = "127.0.0.1:0"\n'
        'metrics-listen = "127.0.0.1:0"\npeer-listen = "127.0.0.1:0"\n'
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "pimentoledge.router"],
        env={**os.environ, daemons.CONFIG_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
    )
    try:
        while b'"message":"started"' not in process.stdout.readline():
            pass
        deadline = time.monotonic() + 10
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(signal.SIGTERM)
            time.sleep(0.0005)
    finally:
        process.kill()
        process.communicate()
    assert process.returncode == 0


def _request_until_ok(port):
    deadline = time.monotonic() + 10
    response = b""
    while (
        not response.startswith(b"HTTP/1.1 200") and time.monotonic() < deadline
    ):
        time.sleep(0.1)
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as client:
                client.sendall(
                    b"GET /notices/ HTTP/1.1\r\nHost: shop.example\r\n"
                    b"Request-Id: q\r\nAuthorization: Bearer key-of-acme\r\n"
                    b"Connection: close\r\n\r\n"
                )
                response = client.recv(65536)
        except OSError:
            continue
    return response


class PagedStore:
    """A caller of a store whose listing has several pages.

    Attributes:
        count: number of pages.
        refusals_left: number of next calls that get status 429.
        targets: targets of all calls.
    """

    def __init__(self, count):
        self.count = count
        self.refusals_left = 0
        self.targets = []

    async def call(self, *, target, **_):
        self.targets.append(target)
        if self.refusals_left:
            self.refusals_left -= 1
            return calls.Reply(status=429, body={})
        _, _, after = target.partition("?after=")
        number = int(after) if after else 0
        item = {
            "metadata": {"name": str(number + 1), "rev": number + 1},
            "spec": {},
        }
        return calls.Reply(
            status=200,
            body={
                "items": [item],
                "more": number + 1 < self.count,
                "storeRevision": 50 + number,
            },
        )


def test_a_refused_page_is_retried_without_restarting_the_listing():
    """Guards against routers that get no listing for 30 s after a power loss.

    Hundreds of routers list the servers at once, and the store refuses part of
    the calls. A router that restarts the listing after each refusal gets too
    few successful responses in a row.
    """
    pages = PagedStore(4)
    store = stores.StoreClient(address="s", caller=pages)

    async def list_twice():
        first = await store.list("servers")
        assert [each.name for each in first.objects] == ["1", "2", "3", "4"]
        assert first.revision == 50
        pages.targets.clear()
        pages.count = 3
        serve_page = pages.call

        async def refuse_third_page(**how):
            if how["target"].endswith("after=2"):
                pages.refusals_left = 2 if len(pages.targets) < 4 else 0
            return await serve_page(**how)

        pages.call = refuse_third_page
        second = await store.list("servers")
        assert len(second.objects) == 3
        assert pages.targets.count("/-/objects/servers") == 1

    asyncio.run(list_twice())


def test_retry_after_is_accepted_only_as_a_number_of_seconds():
    def seconds(value):
        head = http_messages.ResponseHead(
            status=503,
            headers=[(b"retry-after", value)],
            keep_alive=True,
            ends_by_close=False,
        )
        return requests.decode_response_head(head).retry_seconds

    assert seconds(b" 3 ") == 3.0
    assert seconds(b"0.25") == 0.25
    unreadable = [b"", b".", b"-1", b"1e3", b"inf", b"nan", b"1_0", b"1.2.3"]
    for value in [*unreadable, b"Thu, 01 Jan 1970 00:00:00 GMT", b"9" * 400]:
        assert seconds(value) is None
