"""What the store keeps of calls that may not be repeated, and its coding.

One object holds the records of one shard: all keys of a model or service
that hash to the same number. Times in it are ages of the shard: seconds that
its writers have measured between two of its versions, each on its own
monotonic clock. Writer after writer adds only the time between the moment at
which it saw the version before and the moment at which it sends its own, and
those spans never overlap. So the age never runs faster than real time,
whatever the wall clocks say, and a record is never dropped too early.
"""

import enum
import hashlib

import attrs
import msgspec

from pimentoledge.decisions import declarations
from pimentoledge.nodes import messages

# Shards of one model or service. It is part of what the store holds: with
# another number a key would be looked for where it was never written.
SHARDS = 64
DIGEST_BYTES = 16
PATH = "claims/"


class State(enum.IntEnum):
    """What is known of a key."""

    # Claimed by one life of one agent; no outcome is known.
    CLAIMED = 1
    # It ran, and its answer is kept here.
    FINISHED = 2
    # It ran; its answer is not kept.
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
    """What the store keeps of one key.

    Attributes:
        key: digest of organisation and key.
        content: digest of the request; another request with the same key
            is refused.
        state: what is known.
        until: age of the shard, in seconds, from which this may be dropped.
        life: CLAIMED: life of the agent that alone may run it.
        token: CLAIMED: number of the claim within that life.
        answer: FINISHED: the answer.
        encoded: the record as it stands in the object.
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
        """Encodes once, since a record is written again with each commit."""
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
        age: seconds that its writers have measured so far.
        records: record by key digest.
    """

    age: float = 0.0
    records: dict[bytes, ClaimRecord] = attrs.field(factory=dict)

    def size(self) -> int:
        """Returns the bytes of its records when encoded."""
        return sum(len(each.encoded) for each in self.records.values())

    def encode(self) -> bytes:
        """Returns the object's value."""
        rows = [msgspec.Raw(each.encoded) for each in self.records.values()]
        return msgspec.msgpack.encode([self.age, rows])


def decode(value: bytes | None) -> Shard:
    """Decodes an object's value; none is an empty shard.

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
        # The length keeps ("ab", "c") apart from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def key_digest(organisation: str, key: str) -> bytes:
    """Returns the digest under which a key is kept.

    Args:
        organisation: whose key it is; keys of two never meet.
        key: the idempotency key as the caller gave it.
    """
    return _digest([organisation.encode(), key.encode()])


def content_digest(dispatch: messages.Dispatch) -> bytes:
    """Returns a digest of what a request asks for, headers left out."""
    if dispatch.call is not None:
        call = dispatch.call
        texts = [call.service, call.method, call.path, call.query]
        return _digest([each.encode() for each in texts] + [call.body])
    asked = dispatch.completion
    if asked is None:
        return _digest([])
    texts = [asked.model, asked.adapter, asked.prompt, str(asked.max_tokens)]
    return _digest([each.encode() for each in texts] + [asked.parameters])


def shard_of(organisation: str, key: str) -> int:
    """Returns the shard of a key, from 0 to SHARDS - 1."""
    return int.from_bytes(key_digest(organisation, key)[:4], "big") % SHARDS


def path_of(serves: str, shard: int) -> str:
    """Returns where the store keeps a shard of a model or service."""
    return f"{PATH}{serves}/{shard}"


def owner(
    serves: str, shard: int, servers: list[declarations.BackendServer]
) -> declarations.BackendServer | None:
    """Returns the backend server whose agent gets a shard's calls.

    All entries that know the same servers choose the same one (rendezvous
    hashing). Two that disagree for a while cost store conflicts, no second
    run: only the conditional update decides who may run a call.

    Args:
        serves: model or service.
        shard: shard number.
        servers: candidates; those that leave or serve something else are
            passed over.
    """
    fit = [
        each
        for each in servers
        if each.serves == serves and each.state == declarations.ServerState.IN
    ]
    path = path_of(serves, shard).encode()
    return max(
        fit,
        key=lambda each: _digest([path, each.name.encode()]),
        default=None,
    )
