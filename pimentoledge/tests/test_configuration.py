"""Tests of the configuration of one node."""

import hypothesis
from hypothesis import strategies

from pimentoledge import results
from pimentoledge.decisions import configuration
from pimentoledge.decisions import declarations
from pimentoledge.decisions import stores
from pimentoledge.decisions import validation

KEY = "ab" * 32
PATH = "declared/contracts/acme"


def contract(name="acme", **fields):
    return declarations.Contract(organisation=name, **fields)


def stored(declaration, version):
    return stores.Object(
        path=declarations.path_of(declaration),
        version=version,
        value=declarations.encode(declaration),
    )


def deleted(path, version):
    return stores.Object(path=path, version=version, value=None)


def test_indexes_follow_each_change():
    view = configuration.Configuration()
    server = declarations.BackendServer(
        name="r1", serves="assistant", agent="tcp://10.0.0.1:7000"
    )
    view.apply([stored(contract(key_digests=[KEY]), 3), stored(server, 4)])
    assert view.version == 4
    assert view.contract_by_key(KEY).version == 3
    runner = declarations.ServerKind.RUNNER
    assert [each.name for each in view.servers(runner, "assistant")] == ["r1"]
    server.serves = "counter"
    changed = view.apply([stored(contract(key_digests=[]), 5)])
    assert changed == [PATH]
    view.apply([stored(server, 6)])
    assert view.contract_by_key(KEY) is None
    assert view.servers(runner, "assistant") == []
    view.apply([deleted("declared/backend-servers/r1", 7)])
    assert view.server("r1") is None


def test_undecodable_value_leaves_the_older_one_in_force():
    """An unreadable value makes a contract in use unknown.

    Another program writes a value that this release can't decode. A node that
    dropped the older value would refuse the organisation's clients.
    """
    view = configuration.Configuration()
    view.apply([stored(contract(burst=7), 3)])
    bad = stores.Object(path=PATH, version=5, value=b'{"organisation": 3}')
    assert view.apply([bad]) == []
    assert view.contracts["acme"].burst == 7
    assert view.rejections[PATH].version == 5
    late = configuration.Configuration()
    late.apply(view.bucket(configuration.bucket_of(PATH)), from_store=False)
    assert late.contracts["acme"].burst == 7
    assert late.buckets == view.buckets
    view.apply([stored(contract(burst=8), 6)])
    assert view.contracts["acme"].burst == 8
    assert not view.rejections


def test_object_with_another_path_in_its_value_is_rejected():
    wrong = stored(contract("other"), 2)
    wrong.path = PATH
    view = configuration.Configuration()
    view.apply([wrong])
    assert "acme" not in view.contracts and "other" not in view.contracts
    assert view.rejections[PATH].error.code == (
        results.Code.INVALID_DECLARATION
    )


def test_dropped_tombstone_does_not_restore_a_deleted_contract(
    monkeypatch,
):
    """A deleted contract comes back into force.

    The deletion's tombstone is evicted, and then a node that was partitioned
    since before the deletion sends the contract that it still has.
    """
    monkeypatch.setattr(configuration, "MAX_TOMBSTONES", 2)
    view = configuration.Configuration()
    view.apply([stored(contract(), 3), deleted(PATH, 4)])
    for version in range(5, 9):
        view.apply([deleted(f"declared/contracts/x{version}", version)])
    assert view.newest(PATH) is None
    assert view.apply([stored(contract(), 3)], from_store=False) == []
    assert "acme" not in view.contracts


def test_every_node_picks_the_same_owner_of_a_duplicate_key():
    one = stored(contract("one", key_digests=[KEY]), 2)
    two = stored(contract("two", key_digests=[KEY]), 3)
    for order in ([one, two], [two, one]):
        view = configuration.Configuration()
        view.apply(order)
        assert view.contract_by_key(KEY).organisation == "one"
    view.apply([deleted(one.path, 4)])
    assert view.contract_by_key(KEY).organisation == "two"


def test_validation_names_the_field():
    bad = contract(models=["ok", "not ok"], share=float("nan"))
    params = [each.param for each in validation.faults(bad)]
    assert params == ["models[1]", "share"]


CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.sampled_from(["set", "delete", "spoil"]),
    ),
    max_size=12,
)


def history(changes):
    made = []
    for version, (name, what) in enumerate(changes, start=1):
        made.append(stored(contract(name, burst=version), version))
        if what == "delete":
            made[-1].value = None
        elif what == "spoil":
            made[-1].value = b"?"
    return made


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(CHANGES, strategies.randoms(use_true_random=False))
def test_any_order_of_the_changes_never_reverts(changes, random):
    """A message that arrives late brings an older version back into force."""
    objects = history(changes)
    received = objects * 2
    random.shuffle(received)
    view = configuration.Configuration()
    newest: dict[str, int] = {}
    for each in received:
        view.apply([each], from_store=False)
        newest[each.path] = max(newest.get(each.path, 0), each.version)
        for path, version in newest.items():
            assert view.newest(path).version == version
    ordered = configuration.Configuration()
    ordered.apply(objects)
    assert view.buckets == ordered.buckets
    assert view.version == ordered.version
