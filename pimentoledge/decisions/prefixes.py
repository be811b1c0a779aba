"""Names for prompt prefixes: chained keyed digests over fixed-size blocks.

Two prompts have the same digest at a depth only if organisation, model,
adapter, weights version and all text up to that depth are the same. So a hint
about one organisation's text, or about text computed by older weights, can
never be found by a request of another organisation or of newer weights.
"""

import hashlib

DIGEST_BYTES = 16
_SALT_BYTES = 32
_LENGTH_BYTES = 4


def salt(*, organisation: str, model: str, adapter: str, weights: str) -> bytes:
    """Returns the key under which a prompt's blocks are digested.

    Each field is preceded by its length, so that no two different lists of
    fields make the same input.

    Args:
        organisation: whose prompt it is.
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
    """Returns one digest for each full block, of all text up to its end.

    Callers choose the text, so the digest is a keyed cryptographic one: a
    caller can't make two prompts that are taken for each other.

    Args:
        salt: what `salt` returned.
        text: the rendered prompt, UTF-8.
        block_bytes: bytes in one block; a last block that isn't full has no
            digest.
    """
    running = hashlib.blake2b(key=salt, digest_size=DIGEST_BYTES)
    digests: list[bytes] = []
    view = memoryview(text)
    for end in range(block_bytes, len(text) + 1, block_bytes):
        running.update(view[end - block_bytes : end])
        digests.append(running.copy().digest())
    return digests
