"""Digests and token counts of the prompt blocks in an engine's cache."""

import hashlib

from pimentoledge.decisions import prefixes

BLOCK_BYTES = 256
TOKEN_BYTES = 4


def chain(
    *, salt: str, prompt: bytes, block_bytes: int = BLOCK_BYTES
) -> list[bytes]:
    """Returns the chained digests of the full blocks of a prompt.

    They equal those of decisions.prefixes, so that an agent can compare an
    engine's cache events with its own digests.

    Args:
        salt: the cache salt, which separates blocks with equal text. A
            hexadecimal string is decoded to the bytes that prefixes.salt
            returns; any other string is hashed.
        prompt: the prompt in UTF-8.
        block_bytes: size of a block; an incomplete last block has no digest.
    """
    key = _hash_key(salt)
    return prefixes.chain(salt=key, text=prompt, block_bytes=block_bytes)


def _hash_key(salt: str) -> bytes:
    try:
        key = bytes.fromhex(salt)
    except ValueError:
        key = b""
    if 0 < len(key) <= hashlib.blake2b.MAX_KEY_SIZE:
        return key
    return hashlib.blake2b(salt.encode("utf-8"), digest_size=32).digest()


def tokens_in(prompt_bytes: int) -> int:
    """Returns the number of tokens in a prompt of `prompt_bytes` bytes."""
    return -(-prompt_bytes // TOKEN_BYTES)
