"""The newest versions of the configuration, as differences between them."""

import collections
import zlib

import attrs
import msgspec
import xxhash

from pimentoledge.routing import value_changes

# Differences that are kept, for routers that are some versions behind.
MAX_STEPS = 8
# Fast compression: it runs while requests wait.
COMPRESSION_LEVEL = 1
# Largest decompressed difference or content that is accepted, in bytes.
MAX_BYTES = 64 * 1024 * 1024

_CHANGES = msgspec.msgpack.Decoder(list[value_changes.FieldChange])


@attrs.frozen(kw_only=True)
class Step:
    """The difference between two successive contents.

    Attributes:
        base: digest of the older content; "" for no content.
        digest: digest of the newer content.
        data: the compressed difference.
    """

    base: str
    digest: str
    data: bytes


@attrs.frozen(kw_only=True)
class Update:
    """A content that may follow the one in force.

    Attributes:
        content: the content; it shares its entries with the one in force.
        digest: its digest.
        steps: the steps that lead to it; none if no content is in force.
    """

    content: dict
    digest: str
    steps: list[Step]


class BadStepError(Exception):
    """A step can't be applied to the content that is held."""


def digest_of(content: object) -> str:
    """Returns the digest of a decoded content."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(content))


class ConfigurationHistory:
    """The content in force and the steps that led to it.

    Attributes:
        content: the newest content, or None.
        digest: its digest, or "".
        steps: the newest steps, the last one to `content`.
    """

    def __init__(self):
        self.content: dict | None = None
        self.digest = ""
        self.steps: collections.deque[Step] = collections.deque(
            maxlen=MAX_STEPS
        )
        self._received: Update | None = None

    def prepare(self, content: dict) -> Update:
        """Returns the update to a whole content."""
        received, self._received = self._received, None
        if received is not None and received.content is content:
            return received
        digest = digest_of(content)
        if self.content is None:
            return Update(content=content, digest=digest, steps=[])
        changes = value_changes.difference(self.content, content)
        shared = value_changes.apply(self.content, changes)
        if digest_of(shared) != digest:
            # Equal values may be encoded differently, as 1 and true are.
            return Update(
                content=content, digest=digest, steps=[_whole(content, digest)]
            )
        step = Step(base=self.digest, digest=digest, data=_pack(changes))
        return Update(content=shared, digest=digest, steps=[step])

    def receive(self, steps: list[Step]) -> Update:
        """Returns the update that steps of another router make.

        Raises:
            BadStepError: the steps don't follow from the content in force, or
                their result is not what their sender has.
        """
        content, digest = self.content, self.digest
        for each in steps:
            if each.base and each.base != digest:
                raise BadStepError("a step follows another content")
            older = content if each.base else {}
            content = _apply(older, each.data)
            digest = each.digest
        if content is None or digest_of(content) != digest:
            raise BadStepError("the result has another digest")
        self._received = Update(content=content, digest=digest, steps=steps)
        return self._received

    def commit(self, update: Update) -> None:
        """Puts an update in force."""
        for each in update.steps:
            if each.base:
                self.steps.append(each)
            else:
                self.steps.clear()
        self.content, self.digest = update.content, update.digest

    def steps_from(self, base: str) -> list[Step]:
        """Returns the steps from a content, or one with the whole content."""
        steps = list(self.steps)
        for index, each in enumerate(steps):
            if each.base == base:
                return steps[index:]
        return [_whole(self.content, self.digest)]


def _whole(content: dict, digest: str) -> Step:
    changes = value_changes.difference({}, content)
    return Step(base="", digest=digest, data=_pack(changes))


def _apply(older: dict, data: bytes) -> dict:
    try:
        return value_changes.apply(older, _unpack(data))
    except (
        value_changes.UnmatchedBaseError,
        msgspec.MsgspecError,
        zlib.error,
    ) as error:
        raise BadStepError(str(error)) from error


def _pack(changes: list[value_changes.FieldChange]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(changes), COMPRESSION_LEVEL)


def _unpack(data: bytes) -> list[value_changes.FieldChange]:
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(data, MAX_BYTES)
    if not decompressor.eof:
        raise BadStepError("the difference is too long or cut")
    return _CHANGES.decode(raw)
