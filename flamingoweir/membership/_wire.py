"""Encoding of the messages of ``peers.thrift`` into frames."""

import pathlib
import struct
from collections.abc import Awaitable, Callable

import thriftpy2
from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from ._frame_check import check_lengths

#: Longest body of a frame with a reply, in bytes; the settings tree is in one.
MAX_FRAME_BYTES = 64 * 1024 * 1024
#: Longest body of a frame with a request, which has a few names.
MAX_REQUEST_BYTES = 16_384
#: Length of a frame's body, as four bytes in network order.
FRAME_LENGTH = struct.Struct("!I")

_idl = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peers.thrift")),
    module_name="flamingoweir_peers_thrift",
)
_factory = TCyBinaryProtocolFactory()

Hold = _idl.Hold
Ping = _idl.Ping
Pong = _idl.Pong
ChangesAsked = _idl.ChangesAsked
Changes = _idl.Changes
Query = _idl.Query
QueryResult = _idl.QueryResult
Nudge = _idl.Nudge
Request = _idl.Request
Reply = _idl.Reply


class BadFrame(Exception):
    """A peer sent a frame that is too long or contains no valid message."""


def encode_frame(message: object) -> bytes:
    """Return the frame of a message."""
    body = serialize(message, _factory)
    return FRAME_LENGTH.pack(len(body)) + body


def decode_message(message: object, body: bytes) -> object:
    """Decode a frame's body into an empty message and return the message.

    Raises
    ------
    BadFrame
        If the body contains no valid message.
    """
    try:
        check_lengths(body)
        return deserialize(message, body, _factory)
    except Exception as error:
        raise BadFrame(str(error)) from error


async def read_frame(
    receive_exactly: Callable[[int], Awaitable[bytes]],
    max_bytes: int = MAX_FRAME_BYTES,
    on_header: Callable[[int], None] = lambda length: None,
) -> bytes:
    """Read one frame and return the frame's body.

    Parameters
    ----------
    receive_exactly : callable
        Receives as many bytes as it is told.
    max_bytes : int
        Longest body that is read.
    on_header : callable
        Called with the length of the body before the body is read.

    Raises
    ------
    BadFrame
        If the body would be longer than `max_bytes`.
    Exception
        What `receive_exactly` raises if the stream ends before the frame does.
    """
    header = await receive_exactly(FRAME_LENGTH.size)
    (length,) = FRAME_LENGTH.unpack(header)
    if length > max_bytes:
        raise BadFrame(f"the frame's body of {length} bytes is too long")
    on_header(length)
    return await receive_exactly(length)


def create_reader(stream: ByteReceiveStream) -> BufferedByteReceiveStream:
    """Return a buffered reader that can receive an exact number of bytes."""
    return BufferedByteReceiveStream(stream)
