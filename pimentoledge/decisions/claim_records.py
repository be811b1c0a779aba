"""Claim records of non-repeatable calls and their encoding in the store.

One object holds the records of one shard: all idempotency keys of a model or
service that hash to the same number. Times in it are ages of the shard, in
seconds. Each writer adds the time between reading the previous version and
sending its own, measured on its own monotonic clock. These intervals never
overlap, so the age never advances faster than real time, whatever the wall
clocks show, and no record is dropped too early.
"""

import enum
import hashlib

import attrs
import msgspec

from pimentoledge.decisions import declarations
from pimentoledge.nodes import messages

# Number of shards of one model or service. Stored data depends on it: with
# another number, existing keys would be looked up in the wrong shard.
SHARDS = 64
DIGEST_BYTES = 16
PATH = "claims/"


class State(enum.IntEnum):
    """State of a claim record."""

    # Claimed by one life of one agent; no outcome is recorded.
    CLAIMED = 1
    # The call ran, and the record holds its answer.
    FINISHED = 2
    # The call ran; its answer is not kept.
    REMEMBERED = 3


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer of a finished call.

    Attributes:
        status: HTTP status.
        headers: name and value pairs.
        body: the body.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """The stored record of one idempotency key.

    Attributes:
        key: digest of organisation and idempotency key.
        content: digest of the request; a different request with the same
            key is refused.
        state: state of the claim.
        until: age of the shard, in seconds, at which the record expires.
        life: if CLAIMED, the only life of an agent that may run the call.
        token: if CLAIMED, number of the claim within that life.
        answer: if FINISHED, the answer.
        encoded: the encoded record.
    """

    key: bytes
    content: bytes
    state: State
    until: float
    life: str = ""
    token: int = 0
    answer: StoredAnswer | None = None
    encoded: bytes = attrs.field(eq=False, repr=False)

    @encoded.default
    def _encode(self) -> bytes:
        """Encodes the record once; each write of the shard includes it."""
        row: list[object] = [
            self.key,
            self.content,
            int(self.state),
            round(self.until),
        ]
        match self.state:
            case State.CLAIMED:
                row += [self.life, self.token]
            case State.FINISHED:
                answer = self.answer
                row += [answer.status, answer.headers, answer.body]
        return msgspec.msgpack.encode(row)


@attrs.define(kw_only=True)
class Shard:
    """All records of one shard.

    Attributes:
        age: seconds measured by its writers so far.
        records: records by key digest.
    """

    age: float = 0.0
    records: dict[bytes, ClaimRecord] = attrs.field(factory=dict)

    def size(self) -> int:
        """Returns the size of its encoded records in bytes."""
        return sum(len(each.encoded) for each in self.records.values())

    def encode(self) -> bytes:
        """Returns the shard encoded as the value of its object."""
        rows = [msgspec.Raw(each.encoded) for each in self.records.values()]
        return msgspec.msgpack.encode([self.age, rows])


def decode(value: bytes | None) -> Shard:
    """Decodes an object's value; None gives an empty shard.

    Raises:
        msgspec.DecodeError: the value was not written by `Shard.encode`.
    """
    if value is None:
        return Shard()
    age, rows = msgspec.msgpack.decode(value, type=tuple[float, list[list]])
    records = [_record(row) for row in rows]
    return Shard(age=age, records={each.key: each for each in records})


def _record(row: list) -> ClaimRecord:
    key, content, state, until, *rest = row
    match State(state):
        case State.CLAIMED:
            fields = {"life": rest[0], "token": rest[1]}
        case State.FINISHED:
            headers = [(name, value) for name, value in rest[1]]
            answer = StoredAnswer(status=rest[0], headers=headers, body=rest[2])
            fields = {"answer": answer}
        case _:
            fields = {}
    return ClaimRecord(
        key=key, content=content, state=State(state), until=until, **fields
    )


def _digest(parts: list[bytes]) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # The length prefix distinguishes ("ab", "c") from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def key_digest(organisation: str, key: str) -> bytes:
    """Returns the digest that identifies an idempotency key in the store.

    Args:
        organisation: owner of the key; equal keys of different organisations
            have different digests.
        key: the idempotency key sent by the client.
    """
    return _digest([organisation.encode(), key.encode()])


def content_digest(dispatch: messages.Dispatch) -> bytes:
    """Returns a digest of a request's content, without its headers."""
    if dispatch.call is not None:
        call = dispatch.call
        texts = [call.service, call.method, call.path, call.query]
        return _digest([each.encode() for each in texts] + [call.body])
    completion = dispatch.completion
    if completion is None:
        return _digest([])
    texts = [
        completion.model,
        completion.adapter,
        completion.prompt,
        str(completion.max_tokens),
    ]
    return _digest([each.encode() for each in texts] + [completion.parameters])


def shard_of(organisation: str, key: str) -> int:
    """Returns the shard of a key, from 0 to SHARDS - 1."""
    return int.from_bytes(key_digest(organisation, key)[:4], "big") % SHARDS


def path_of(serves: str, shard: int) -> str:
    """Returns the store path of a shard of a model or service."""
    return f"{PATH}{serves}/{shard}"


def owner(
    serves: str, shard: int, servers: list[declarations.BackendServer]
) -> declarations.BackendServer | None:
    """Returns the backend server whose agent handles a shard's calls.

    Rendezvous hashing: all entries with the same list of servers choose the
    same one. Entries whose lists differ for a while cause store conflicts but
    no second run, since only the conditional update decides who may run a
    call.

    Args:
        serves: model or service.
        shard: shard number.
        servers: candidates; servers that are leaving or serve something else
            are skipped.
    """
    eligible = [
        each
        for each in servers
        if each.serves == serves and each.state == declarations.ServerState.IN
    ]
    path = path_of(serves, shard).encode()
    return max(
        eligible,
        key=lambda each: _digest([path, each.name.encode()]),
        default=None,
    )
