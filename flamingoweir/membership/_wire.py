"""Encoding of the messages of ``peers.thrift`` into frames."""

import pathlib
import struct

import thriftpy2
from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

MAX_FRAME_BYTES = 64 * 1024 * 1024
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
        return deserialize(message, body, _factory)
    except Exception as error:
        raise BadFrame(str(error)) from error


async def read_frame(stream: BufferedByteReceiveStream) -> bytes:
    """Read one frame and return the frame's body.

    Raises
    ------
    BadFrame
        If the body would be longer than `MAX_FRAME_BYTES`.
    anyio.IncompleteRead
        If the stream ends before the frame does.
    """
    header = await stream.receive_exactly(FRAME_LENGTH.size)
    (length,) = FRAME_LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise BadFrame(f"the frame's body of {length} bytes is too long")
    return await stream.receive_exactly(length)


def create_reader(stream: ByteReceiveStream) -> BufferedByteReceiveStream:
    """Return a buffered reader that can receive an exact number of bytes."""
    return BufferedByteReceiveStream(stream)
