"""Compression of JSON that is too long for a row."""

import zlib

#: Largest size of a row once it is decompressed, in bytes.
MAX_DECOMPRESSED_BYTES = 8_000_000
COMPRESSION_LEVEL = 6
#: First bytes of JSON objects and arrays; compressed data begins with none of them.
JSON_STARTS = (b"{", b"[")


def compress(data: bytes) -> bytes:
    """Return JSON in a compressed form, which former builds can't read."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return JSON that may be compressed.

    Raises
    ------
    ValueError
        If it is neither JSON nor compressed, or too long.
    """
    if data.startswith(JSON_STARTS):
        return data
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"the row can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"the row has over {MAX_DECOMPRESSED_BYTES} bytes")
    return found
