"""The messages of ``peers.thrift`` and their frames."""

import pathlib
import struct

import thriftpy2
from anyio.abc import ByteReceiveStream
from anyio.streams.buffered import BufferedByteReceiveStream
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

MAX_FRAME_BYTES = 64 * 1024 * 1024
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
    """A peer sent something that is no message."""


def encode_frame(message: object) -> bytes:
    """Write a message as a frame."""
    body = serialize(message, _factory)
    return FRAME_LENGTH.pack(len(body)) + body


def decode_message(message: object, body: bytes) -> object:
    """Fill an empty message from a frame's body; raises BadFrame."""
    try:
        return deserialize(message, body, _factory)
    except Exception as error:
        raise BadFrame(str(error)) from error


async def read_frame(stream: BufferedByteReceiveStream) -> bytes:
    """Read one frame's body; raises BadFrame, or IncompleteRead at the end."""
    header = await stream.receive_exactly(FRAME_LENGTH.size)
    (length,) = FRAME_LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise BadFrame(f"a frame of {length} bytes")
    return await stream.receive_exactly(length)


def create_reader(stream: ByteReceiveStream) -> BufferedByteReceiveStream:
    """Return a stream from which exact lengths can be read."""
    return BufferedByteReceiveStream(stream)
