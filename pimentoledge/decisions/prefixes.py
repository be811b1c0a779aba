"""Prefix digests: chained keyed digests over fixed-size prompt blocks.

Two prompts have the same digest at a depth only if organisation, model,
adapter, weights version and all text up to that depth are equal. A request
therefore never matches cached blocks of another organisation, or blocks
computed with another weights version.
"""

import hashlib

DIGEST_BYTES = 16
_SALT_BYTES = 32
_LENGTH_BYTES = 4


def salt(*, organisation: str, model: str, adapter: str, weights: str) -> bytes:
    """Returns the digest key for a prompt's blocks.

    Each field is preceded by its length, so that different lists of fields
    never produce the same input.

    Args:
        organisation: organisation that sent the prompt.
        model: model name.
        adapter: adapter name; empty for none.
        weights: weights version.
    """
    digest = hashlib.blake2b(digest_size=_SALT_BYTES)
    for field in (organisation, model, adapter, weights):
        data = field.encode()
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(data)
    return digest.digest()


def chain(*, salt: bytes, text: bytes, block_bytes: int) -> list[bytes]:
    """Returns one digest per full block, covering all text up to its end.

    Callers control the text, so the digest is a keyed cryptographic hash: a
    caller can't construct two prompts with the same digest.

    Args:
        salt: key returned by `salt`.
        text: the rendered prompt, UTF-8.
        block_bytes: bytes in one block; an incomplete last block has no
            digest.
    """
    running = hashlib.blake2b(key=salt, digest_size=DIGEST_BYTES)
    digests: list[bytes] = []
    view = memoryview(text)
    for end in range(block_bytes, len(text) + 1, block_bytes):
        running.update(view[end - block_bytes : end])
        digests.append(running.copy().digest())
    return digests
