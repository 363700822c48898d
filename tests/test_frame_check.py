"""Frames of peers whose declared lengths exceed what they contain."""

import pytest

from flamingoweir.membership._wire import (
    BadFrame,
    Changes,
    Hold,
    Ping,
    Pong,
    Reply,
    Request,
    decode_message,
    encode_frame,
)

NAME = b"\x0c\x00\x01\x0b\x00\x01"
BODIES = {
    "string": NAME + b"\x7f\xff\xff\xffname",
    "unknown string": b"\x0b\x00\x64\x7f\xff\xff\xff",
    "negative string": NAME + b"\xff\xff\xff\xffname",
    "list": b"\x0f\x00\x64\x02\x7f\xff\xff\xff",
    "list of unknown type": b"\x0f\x00\x64\x00\x7f\xff\xff\xff",
    "map": b"\x0d\x00\x64\x0b\x0b\x7f\xff\xff\xff",
    "nested structs": b"\x0c\x00\x64" * 5_000,
    "nested lists": b"\x0f\x00\x64" + b"\x0f\x00\x00\x00\x01" * 5_000,
    "truncated": NAME + b"\x00\x00",
}


@pytest.mark.parametrize("name", BODIES)
def test_frame_that_exceeds_its_bytes_is_refused(name):
    """The decoder would allocate 2 GB for a string, or never end."""
    with pytest.raises(BadFrame):
        decode_message(Request(), BODIES[name])


@pytest.mark.parametrize(
    "message",
    [
        Request(),
        Request(ping=Ping("entry-9", "powys", "127.0.0.1:1", 0, False)),
        Reply(changes=Changes(["{}"] * 1_000, "x" * 100_000)),
        Reply(
            pong=Pong(
                "a", "b", 1, -1, True, -1, [Hold("s", 1, 2, 3, {"q": 4})], 5, False
            )
        ),
    ],
)
def test_messages_of_peers_are_decoded(message):
    assert decode_message(type(message)(), encode_frame(message)[4:]) == message
