"""How engines name the blocks of a prompt that they keep in their cache."""

import hashlib

DIGEST_BYTES = 16
BLOCK_BYTES = 256
TOKEN_BYTES = 4


def chain(
    *, salt: str, prompt: bytes, block_bytes: int = BLOCK_BYTES
) -> list[bytes]:
    """Returns the chained digests of the full blocks of a prompt.

    Each digest covers the salt and the whole prompt up to the end of its
    block, so that equal digests mean equal prefixes under an equal salt.

    Args:
        salt: organisation, model, adapter and weights version in one string.
        prompt: the prompt in UTF-8.
        block_bytes: bytes of a block; an incomplete last block has no digest.
    """
    digest = hashlib.blake2b(
        salt.encode("utf-8"), digest_size=DIGEST_BYTES
    ).digest()
    digests = []
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        block = prompt[start : start + block_bytes]
        digest = hashlib.blake2b(
            digest + block, digest_size=DIGEST_BYTES
        ).digest()
        digests.append(digest)
    return digests


def tokens_in(prompt_bytes: int) -> int:
    """Returns the tokens of a prompt with so many bytes."""
    return -(-prompt_bytes // TOKEN_BYTES)
