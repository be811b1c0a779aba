"""The configuration of one node: the newest version of every declaration.

A node may receive changes in any order, more than once and from several
nodes. It keeps the highest version per object and a tombstone for each
deletion, so an older message never reverts a change.

Values are kept compressed. Contracts, of which there are many, are decoded on
access; recently decoded ones are cached.
"""

from collections import abc
import zlib

import attrs
from returns import result
import xxhash

from pimentoledge import results
from pimentoledge.decisions import declarations
from pimentoledge.decisions import key_indexes
from pimentoledge.decisions import path_indexes
from pimentoledge.decisions import stores
from pimentoledge.decisions import validation

BUCKETS = 256
# Value of `known` while the node is not complete up to any revision.
UNKNOWN = -1
MAX_DECODED = 2048
MAX_TOMBSTONES = 20_000
_CONTRACTS = declarations.PREFIXES[declarations.Contract]


# Preset dictionary of text that most values contain, so that even short values
# compress. It is never sent or stored, so a release may change it.
_ZLIB_DICTIONARY = b"".join(
    declarations.encode(each)
    for each in (
        declarations.EntryNode(name="", mailbox="tcp://10."),
        declarations.Model(name="", weights=""),
        declarations.Service(name=""),
        declarations.BackendServer(name="", serves="", agent="tcp://10."),
        declarations.Contract(organisation="", key_digests=[""]),
    )
)


def _pack(value: bytes) -> bytes:
    packer = zlib.compressobj(
        level=1, wbits=-12, memLevel=4, zdict=_ZLIB_DICTIONARY
    )
    return packer.compress(value) + packer.flush()


def _unpack(packed: bytes) -> bytes:
    return zlib.decompressobj(wbits=-12, zdict=_ZLIB_DICTIONARY).decompress(
        packed
    )


@attrs.frozen(kw_only=True, weakref_slot=False)
class ObjectRecord:
    """The newest version of one object, with its value compressed.

    Attributes:
        version: the object's version.
        packed: the compressed value; None for a deletion.
    """

    version: int
    packed: bytes | None


def bucket_of(path: str) -> int:
    """Returns the number of the digest bucket that a path belongs to."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


def fingerprint(path: str, version: int) -> int:
    """Returns the digest of one version of an object."""
    return xxhash.xxh3_64_intdigest(f"{path}\n{version}".encode())


def _live_fingerprint(path: str, record: ObjectRecord | None) -> int:
    if record is None or record.packed is None:
        return 0
    return fingerprint(path, record.version)


def _object(path: str, record: ObjectRecord) -> stores.Object:
    packed = record.packed
    return stores.Object(
        path=path,
        version=record.version,
        value=None if packed is None else _unpack(packed),
    )


def decode(
    path: str, stored: stores.Object
) -> result.Result[declarations.Declaration, results.Error]:
    """Decodes a stored declaration and validates its values."""
    match declarations.decode(path, stored):
        case result.Success(declaration):
            faults = validation.faults(declaration)
        case failure:
            return failure
    if not faults:
        return result.Success(declaration)
    text = f"{path}: {faults[0].param}: {faults[0].text}"
    code = results.Code.INVALID_DECLARATION
    return result.Failure(results.Error(code=code, text=text))


@attrs.define(kw_only=True)
class Rejection:
    """A newest version that is invalid and therefore not in force.

    Attributes:
        path: the object's path.
        version: the version that was rejected.
        error: the reason.
    """

    path: str
    version: int
    error: results.Error


class Contracts(abc.Mapping):
    """The contracts in force by organisation, decoded on access.

    Attributes:
        configuration: the configuration that stores the contracts.
        decoded: cache of decoded contracts by organisation.
        count: number of contracts.
    """

    def __init__(self, *, configuration: "Configuration"):
        self.configuration = configuration
        self.decoded: dict[str, declarations.Contract] = {}
        self.count = 0

    def __getitem__(self, organisation: str) -> declarations.Contract:
        """Returns the contract of an organisation."""
        found = self.decoded.get(organisation)
        if found is not None:
            return found
        stored = self.configuration.in_force(_CONTRACTS + organisation)
        if stored is None:
            raise KeyError(organisation)
        found = declarations.decode(stored.path, stored).unwrap()
        if len(self.decoded) >= MAX_DECODED:
            self.decoded.pop(next(iter(self.decoded)))
        self.decoded[organisation] = found
        return found

    def __contains__(self, organisation: object) -> bool:
        """Returns whether an organisation has a contract."""
        return f"{_CONTRACTS}{organisation}" in self.configuration.paths

    def __iter__(self) -> abc.Iterator[str]:
        """Iterates over the organisations in the order of their names."""
        for path in self.configuration.paths.below(_CONTRACTS):
            yield path.removeprefix(_CONTRACTS)

    def __len__(self) -> int:
        """Returns the number of contracts."""
        return self.count


class Configuration:
    """The newest version of every declaration, with indexes.

    Attributes:
        version: highest version received, of any object.
        known: revision of the store up to which this node is complete, from
            a scan or from a complete node; UNKNOWN while objects may be
            missing.
        paths: paths of the declarations in force.
        contracts: Contract by organisation.
        rejections: Rejection by path.
        buckets: digest of each bucket's live objects and their versions.
        root: digest of all buckets.
        floor: an object that is not here and whose version is at most this
            was deleted; proven by a scan, here or at a node with the same
            objects.
        records: for each bucket, the newest ObjectRecord by path.
    """

    def __init__(self):
        self.version = 0
        self.known = UNKNOWN
        self.paths = path_indexes.PathIndex()
        self.contracts = Contracts(configuration=self)
        self.rejections: dict[str, Rejection] = {}
        self.buckets = [0] * BUCKETS
        self.records: list[dict[str, ObjectRecord]] = [
            {} for _ in range(BUCKETS)
        ]
        self.root = 0
        self._fallbacks: dict[str, stores.Object] = {}
        self._others: dict[type, dict[str, declarations.Declaration]] = {
            kind: {}
            for kind in declarations.PREFIXES
            if kind is not declarations.Contract
        }
        self._servers: dict[
            tuple[str, str], dict[str, declarations.BackendServer]
        ] = {}
        self._keys = key_indexes.KeyIndex()
        self._operators = key_indexes.KeyIndex()
        self._tombstones: dict[str, int] = {}
        self.floor = 0
        # Like the floor, but not proven by a scan: an absent object at or
        # below it is not accepted from another node, and not reported as
        # deleted either.
        self._unproven_floor = 0

    def is_complete(self) -> bool:
        """Returns whether this node is complete up to some revision."""
        return self.known != UNKNOWN

    def apply(
        self, objects: list[stores.Object], *, from_store: bool = True
    ) -> list[str]:
        """Applies the objects that are newer than the local ones.

        Args:
            objects: objects of the store; a value of None is a deletion.
            from_store: whether they were just read by a scan of the store,
                which never returns objects that were deleted before it.

        Returns:
            The paths whose declaration in force changed.
        """
        changed = []
        for stored in objects:
            if self.is_newer(stored, from_store=from_store):
                changed += self._apply_object(stored)
        return changed

    def is_newer(self, stored: stores.Object, *, from_store: bool) -> bool:
        """Returns whether an object is newer than the local version."""
        old = self.records[bucket_of(stored.path)].get(stored.path)
        if old is not None:
            return stored.version > old.version
        # The tombstone of its deletion may have been dropped here. A node
        # that was partitioned meanwhile still has the object and would bring
        # it back into force; the store would not.
        return from_store or stored.version > max(
            self.floor, self._unproven_floor
        )

    def known_deletions(
        self, objects: list[stores.Object]
    ) -> list[stores.Object]:
        """Returns deletions for those objects that are known to be deleted.

        An object that is absent here and not newer than the floor was absent
        from the store when it was scanned. A node that still has it may
        never receive the deletion otherwise, since a scan creates no
        tombstone.
        """
        return [
            stores.Object(path=each.path, version=self.floor, value=None)
            for each in objects
            if each.value is not None
            and each.version <= self.floor
            and self.newest(each.path) is None
        ]

    def missed_deletions(
        self, objects: list[stores.Object], revision: int
    ) -> list:
        """Returns deletions of local objects that the store no longer has.

        Args:
            objects: all objects of the store.
            revision: the store's revision when it returned them.
        """
        present = {each.path for each in objects}
        return [
            stores.Object(path=path, version=revision, value=None)
            for bucket_records in self.records
            for path, record in bucket_records.items()
            if record.packed is not None
            and path not in present
            and record.version <= revision
        ]

    def raise_floor(self, revision: int) -> None:
        """Records that nothing is missing here up to a revision.

        Tombstones up to that revision are dropped.
        """
        self.floor = max(self.floor, revision)
        old = [p for p, v in self._tombstones.items() if v <= self.floor]
        for path in old:
            del self._tombstones[path]
            del self.records[bucket_of(path)][path]

    def clear_bucket(self, number: int) -> None:
        """Drops one bucket, at a node that keeps only some of them."""
        for path, record in list(self.records[number].items()):
            gone = stores.Object(
                path=path, version=record.version + 1, value=None
            )
            self.apply([gone])
            self._tombstones.pop(path, None)
            del self.records[number][path]

    def newest(self, path: str) -> stores.Object | None:
        """Returns the newest object at a path, including a deletion."""
        record = self.records[bucket_of(path)].get(path)
        return None if record is None else _object(path, record)

    def in_force(self, path: str) -> stores.Object | None:
        """Returns the object whose declaration is in force at a path."""
        if path in self.rejections:
            return self._fallbacks.get(path)
        found = self.newest(path)
        return None if found is None or found.value is None else found

    def get(self, kind: type, name: str) -> declarations.Declaration | None:
        """Returns the declaration of a kind and name that is in force."""
        if kind is declarations.Contract:
            return self.contracts.get(name)
        return self._others[kind].get(name)

    def page(self, kind: type, *, after: str, limit: int | None) -> list[str]:
        """Returns the sorted names of a kind that follow the name `after`."""
        prefix = declarations.PREFIXES[kind]
        behind = prefix + after if after else ""
        paths = self.paths.below(prefix, after=behind, limit=limit)
        return [path.removeprefix(prefix) for path in paths]

    def contract_by_key(self, digest: str) -> declarations.Contract | None:
        """Returns the contract that a key belongs to.

        Args:
            digest: hexadecimal BLAKE2b-256 digest of the key.
        """
        path = self._keys.find(digest)
        if path is None:
            return None
        return self.contracts[path.removeprefix(_CONTRACTS)]

    def operator_by_key(self, digest: str) -> declarations.Operator | None:
        """Returns the operator that a key belongs to."""
        name = self._operators.find(digest)
        return self.get(declarations.Operator, name) if name else None

    def servers(
        self, kind: declarations.ServerKind, serves: str
    ) -> list[declarations.BackendServer]:
        """Returns the declared servers of a model or service."""
        return list(self._servers.get((kind, serves), {}).values())

    def server(self, name: str) -> declarations.BackendServer | None:
        """Returns a declared backend server."""
        return self._others[declarations.BackendServer].get(name)

    def model(self, name: str) -> declarations.Model | None:
        """Returns a declared model."""
        return self._others[declarations.Model].get(name)

    def service(self, name: str) -> declarations.Service | None:
        """Returns a declared plain service."""
        return self._others[declarations.Service].get(name)

    def entries(self) -> list[declarations.EntryNode]:
        """Returns the declared entries."""
        return list(self._others[declarations.EntryNode].values())

    def bucket(self, number: int) -> list[stores.Object]:
        """Returns all objects that another node needs to copy one bucket.

        Where the newest version was rejected, the result also has the older
        version that is in force.
        """
        fallbacks = [
            each
            for path, each in self._fallbacks.items()
            if bucket_of(path) == number
        ]
        bucket_records = self.records[number]
        return fallbacks + [_object(*each) for each in bucket_records.items()]

    def _apply_object(self, stored: stores.Object) -> list[str]:
        self.version = max(self.version, stored.version)
        if declarations.kind_of(stored.path) is None:
            return []
        before = self.in_force(stored.path)
        path = self._store_record(stored)
        if stored.value is None:
            self._accept(path, before, None)
            self._add_tombstone(path, stored.version)
            return [] if before is None else [path]
        match decode(path, stored):
            case result.Success(declaration):
                self._accept(path, before, declaration)
                return [path]
            case result.Failure(error):
                self._reject(path, stored.version, before, error)
        return []

    def _store_record(self, stored: stores.Object) -> str:
        path = stored.path
        number = bucket_of(path)
        bucket_records = self.records[number]
        old = bucket_records.get(path)
        packed = None if stored.value is None else _pack(stored.value)
        new = ObjectRecord(version=stored.version, packed=packed)
        change = _live_fingerprint(path, old) ^ _live_fingerprint(path, new)
        self.buckets[number] ^= change
        self.root ^= change
        bucket_records[path] = new
        return path

    def _reject(
        self,
        path: str,
        version: int,
        before: stores.Object | None,
        error: results.Error,
    ) -> None:
        # The value is invalid, or written by a newer release. Dropping the
        # older one would lose a contract that is in use, so it stays in force
        # until a newer valid version arrives.
        self._tombstones.pop(path, None)
        if before is not None:
            self._fallbacks[path] = before
        self.rejections[path] = Rejection(
            path=path, version=version, error=error
        )

    def _accept(
        self,
        path: str,
        before: stores.Object | None,
        declaration: declarations.Declaration | None,
    ) -> None:
        self._fallbacks.pop(path, None)
        self.rejections.pop(path, None)
        self._tombstones.pop(path, None)
        if before is not None:
            self._unindex(path, declarations.decode(path, before).unwrap())
        if declaration is not None:
            self._index(path, declaration)
        if before is None and declaration is not None:
            self.paths.add(path)
        if before is not None and declaration is None:
            self.paths.remove(path)

    def _add_tombstone(self, path: str, version: int) -> None:
        self._tombstones[path] = version
        if len(self._tombstones) <= MAX_TOMBSTONES:
            return
        path = next(iter(self._tombstones))
        version = self._tombstones.pop(path)
        self._unproven_floor = max(self._unproven_floor, version)
        del self.records[bucket_of(path)][path]

    def _index(self, path: str, declaration: declarations.Declaration) -> None:
        match declaration:
            case declarations.Contract(organisation=name):
                self.contracts.count += 1
                self.contracts.decoded.pop(name, None)
                for digest in declaration.key_digests:
                    self._keys.add(digest, path)
                return
            case declarations.BackendServer(kind=kind, serves=serves):
                servers = self._servers.setdefault((kind, serves), {})
                servers[declaration.name] = declaration
            case declarations.Operator():
                for digest in declaration.key_digests:
                    self._operators.add(digest, declaration.name)
        self._others[type(declaration)][declaration.name] = declaration

    def _unindex(
        self, path: str, declaration: declarations.Declaration
    ) -> None:
        match declaration:
            case declarations.Contract(organisation=name):
                self.contracts.count -= 1
                self.contracts.decoded.pop(name, None)
                for digest in declaration.key_digests:
                    self._keys.drop(digest, path)
                return
            case declarations.BackendServer(kind=kind, serves=serves):
                servers = self._servers[kind, serves]
                servers.pop(declaration.name, None)
                if not servers:
                    del self._servers[kind, serves]
            case declarations.Operator():
                for digest in declaration.key_digests:
                    self._operators.drop(digest, declaration.name)
        self._others[type(declaration)].pop(declaration.name, None)
