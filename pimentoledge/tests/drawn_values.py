"""Strategies for values that several tests draw."""

from hypothesis import strategies

# All characters but surrogates. strategies.characters() first builds a table
# of them, which takes seconds and is kept in a file.
CHARACTERS = (
    strategies.integers(0, 0xD7FF) | strategies.integers(0xE000, 0x10FFFF)
).map(chr)


def texts(max_size: int | None = None) -> strategies.SearchStrategy[str]:
    """Draws texts of any characters."""
    return strategies.text(CHARACTERS, max_size=max_size)
