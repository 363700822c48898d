"""Checks the lengths in a message of thrift's binary protocol before it is decoded.

The decoder allocates strings, and repeats elements, as often as a message says, whether
or not the message has as many bytes.
"""

import struct

#: Bytes of a value by its type: bool, byte, double, i16, i32, i64.
FIXED_LENGTH_BY_TYPE = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}
STOP, STRING, STRUCT, MAP, SET, LIST = 0, 11, 12, 13, 14, 15
#: Largest depth of nested values; messages of peers have 4.
MAX_DEPTH = 16
LENGTH = struct.Struct("!i")


def check_lengths(body: bytes) -> None:
    """Raise ValueError if a length exceeds what follows, or a type is unknown."""
    try:
        _pass_struct(body, 0, 1)
    except (IndexError, struct.error) as error:
        raise ValueError("the message is truncated") from error


def _pass_struct(body: bytes, at: int, depth: int) -> int:
    """Return the position after a struct."""
    while (kind := body[at]) != STOP:
        at = _pass_value(body, at + 3, kind, depth)
    return at + 1


def _pass_value(body: bytes, at: int, kind: int, depth: int) -> int:
    """Return the position after a value of a type."""
    if kind in FIXED_LENGTH_BY_TYPE:
        return _check_end(body, at + FIXED_LENGTH_BY_TYPE[kind])
    if depth > MAX_DEPTH:
        raise ValueError("the message is nested too deeply")
    if kind == STRING:
        length = _read_length(body, at)
        return _check_end(body, at + LENGTH.size + length)
    if kind == STRUCT:
        return _pass_struct(body, at, depth + 1)
    if kind == MAP:
        kinds = (body[at], body[at + 1])
    elif kind in (SET, LIST):
        kinds = (body[at],)
    else:
        raise ValueError(f"the message has a value of the unknown type {kind}")
    at += len(kinds)
    count = _read_length(body, at)
    at += LENGTH.size
    _check_end(body, at + count * len(kinds))
    if all(kind in FIXED_LENGTH_BY_TYPE for kind in kinds):
        length = sum(FIXED_LENGTH_BY_TYPE[kind] for kind in kinds)
        return _check_end(body, at + count * length)
    for _ in range(count):
        for element_kind in kinds:
            at = _pass_value(body, at, element_kind, depth + 1)
    return at


def _read_length(body: bytes, at: int) -> int:
    (length,) = LENGTH.unpack_from(body, at)
    if length < 0:
        raise ValueError("the message has a negative length")
    return length


def _check_end(body: bytes, end: int) -> int:
    if end > len(body):
        raise ValueError("the message has a length that exceeds it")
    return end
