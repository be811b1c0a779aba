"""How engines name the blocks of a prompt that they keep in their cache."""

import hashlib

from pimentoledge.decisions import prefixes

BLOCK_BYTES = 256
TOKEN_BYTES = 4


def chain(
    *, salt: str, prompt: bytes, block_bytes: int = BLOCK_BYTES
) -> list[bytes]:
    """Returns the chained digests of the full blocks of a prompt.

    They are those of decisions.prefixes, so that an agent can compare what it
    hears of an engine's cache with its own.

    Args:
        salt: what the blocks depend on beside the text. In hexadecimal it
            stands for its bytes, as prefixes.salt gives them; any other
            string stands for its digest.
        prompt: the prompt in UTF-8.
        block_bytes: bytes of a block; an incomplete last block has no digest.
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
    """Returns the tokens of a prompt with so many bytes."""
    return -(-prompt_bytes // TOKEN_BYTES)
