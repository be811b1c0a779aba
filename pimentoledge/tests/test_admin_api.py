"""Tests of the administration API over HTTP and of its commands."""

import json
import threading

from cleo import application
from cleo.testers import application_tester
import pytest
import urllib3

from pimentoledge.commands import administration as admin_commands
from pimentoledge.decisions import declarations
from pimentoledge.operators import api
from pimentoledge.operators import clients
from pimentoledge.operators import servers
from pimentoledge.tests import network
from pimentoledge.tests import test_updates

KEY = "an-admin-key-of-the-tests"


class Served:
    """An admin server in front of one entry's administration and a store."""

    def __init__(self):
        self.harness = test_updates.AdminHarness(network.LossyStore())
        self.harness.core.first_key = declarations.key_digest(KEY)
        self.lock = threading.Lock()
        self.server = servers.AdminServer(
            listen="127.0.0.1:0",
            pages={
                api.API_ROOT: api.AdminApi(submit=self.submit).serve,
                "/healthz": lambda _: servers.PageResponse(body=b"{}"),
                "/broken": lambda _: 1 / 0,
            },
        )

    def submit(self, event):
        with self.lock:
            harness = self.harness
            harness.perform(harness.core.handle(event, harness.now))
            return harness.wait_for_reply(event.request)


@pytest.fixture
def served():
    made = Served()
    made.server.start()
    yield made
    made.server.close()


@pytest.fixture
def client(served):
    made = clients.AdminClient(url=f"http://{served.server.address}", key=KEY)
    made.start()
    yield made
    made.close()


def test_create_conflict_and_list(client):
    path = "contracts/acme"
    answer = client.write("PUT", path, fields={"burst": 3}, expected=0)
    assert answer.unwrap().status == 201
    version = answer.unwrap().version
    patch = client.write("PATCH", path, fields={"burst": 4}, expected=version)
    assert patch.unwrap().status == 200
    late = client.write("PATCH", path, fields={"burst": 5}, expected=version)
    assert late.unwrap().status == 412
    assert late.unwrap().fields["error"]["current"]["burst"] == 4
    for number in range(5):
        client.write("PUT", f"contracts/c{number}", fields={}, expected=0)
    pages = [p.unwrap().fields["items"] for p in client.pages("contracts", 2)]
    names = [item["organisation"] for page in pages for item in page]
    assert names == ["acme", "c0", "c1", "c2", "c3", "c4"]
    status = client.read("status").unwrap().fields
    assert status["entries"][0]["same"]
    assert client.read(f"{path}/history").unwrap().fields["former"]


def test_store_down_shows_the_local_configuration(served, client):
    client.write("PUT", "models/m", fields={"weights": "v1"}, expected=0)
    served.harness.store.down = True
    answer = client.read("models/m").unwrap()
    assert answer.from_local_copy and answer.fields["weights"] == "v1"
    refused = client.write(
        "PUT", "models/m", fields={"weights": "v2"}, expected=answer.version
    )
    assert refused.unwrap().fields["error"]["number"] == 6003


def test_invalid_requests(served):
    pool = urllib3.PoolManager(retries=False)
    url = f"http://{served.server.address}"

    def status(method, path, body=None, **headers):
        headers = {name.replace("_", "-"): v for name, v in headers.items()}
        headers.setdefault("Authorization", f"Bearer {KEY}")
        return pool.request(
            method, url + path, body=body, headers=headers
        ).status

    root = "/admin/v1/"
    assert status("GET", root + "contracts", Authorization="Basic x") == 401
    assert status("GET", root + "nothing") == 404
    assert status("GET", root + "contracts/a/b/c") == 404
    assert status("POST", root + "contracts") == 405
    assert status("PUT", root + "contracts") == 405
    assert status("GET", root + "contracts?limit=x") == 400
    assert status("PUT", root + "contracts/a", b"{}") == 428
    create = {"If_None_Match": "*"}
    assert status("PUT", root + "contracts/a", b"[1]", **create) == 400
    assert status("PUT", root + "contracts/a", b"{}", If_Match="*") == 400
    assert status("PUT", root + "contracts/a%2F", b"{}", **create) == 400
    huge = b"x" * (servers.MAX_BODY_BYTES + 1)
    assert status("PUT", root + "contracts/a", huge, **create) == 413
    assert status("GET", "/healthz") == 200
    assert status("GET", "/broken") == 500
    pool.clear()


def test_commands(served, monkeypatch):
    url = f"http://{served.server.address}"
    monkeypatch.setenv("PIMENTOLEDGE_ADMIN_URL", url)
    monkeypatch.setenv("PIMENTOLEDGE_OPERATOR_KEY", KEY)
    program = application.Application()
    for each in admin_commands.commands():
        program.add(each)
    tester = application_tester.ApplicationTester(program)

    def run(line):
        status = tester.execute(line)
        return status, tester.io.fetch_output(), tester.io.fetch_error()

    put = "services put job-cards '{\"outcome_seconds\": 60}'"
    assert run(f"{put} --if-version 0 --dry-run")[0] == 0
    assert run("services list")[1] == ""
    status, text, _ = run(f"{put} --if-version 0")
    assert status == 0
    version = json.loads(text)["version"]
    status, _, error = run(f"{put} --if-version {version + 7}")
    assert status == 1 and "6002" in error
    assert json.loads(run("services list")[1])["outcome_seconds"] == 60
    assert run(f"services delete job-cards --if-version {version}")[0] == 0
    status, _, error = run("services show job-cards")
    assert status == 1 and "6006" in error
    assert run("status")[0] == 0
