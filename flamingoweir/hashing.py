"""A hash function with the same results in every process."""

import xxhash


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text (XXH3)."""
    return xxhash.xxh3_64_intdigest(text.encode())
