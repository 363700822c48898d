"""Transport of requests to a peer."""

from typing import Protocol

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from ..transport import split_address
from ._wire import (
    BadFrame,
    Reply,
    create_reader,
    decode_message,
    encode_frame,
    read_frame,
)

#: Seconds allowed for one call, including the connection.
CALL_TIMEOUT_S = 1.0


class PeerUnreachable(Exception):
    """A request to a peer got no reply.

    Parameters
    ----------
    message : str
        Reason.
    refused : bool
        Whether nothing listens at the address, which means that the peer's process has
        ended.
    """

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        self.refused = refused


class PeerTransport(Protocol):
    """Sends requests to one peer, one call at a time."""

    async def call(self, request: object) -> object:
        """Send a ``Request`` and return the ``Reply``.

        Raises
        ------
        PeerUnreachable
            If no reply came.
        """
        ...

    async def aclose(self) -> None:
        """Close the connection."""
        ...


class TcpPeerTransport:
    """Transport over one TCP connection, opened by the first call.

    A call that fails closes the connection; the next call opens a new one.

    Parameters
    ----------
    address : str
        Address of the peer as ``host:port``.
    """

    def __init__(self, address: str):
        self.address = address
        self._stream: SocketStream | None = None
        self._reader: BufferedByteReceiveStream | None = None

    async def call(self, request: object) -> object:
        """See `PeerTransport.call`."""
        reply = None
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                reply = await self._exchange(request)
        except ConnectionRefusedError as error:
            raise PeerUnreachable(str(error), refused=True) from error
        except (OSError, TimeoutError, anyio.IncompleteRead, BadFrame) as error:
            raise PeerUnreachable(str(error)) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise PeerUnreachable("the connection closed before the reply") from error
        finally:
            if reply is None:
                await self.aclose()
        return reply

    async def aclose(self) -> None:
        """See `PeerTransport.aclose`."""
        stream, self._stream = self._stream, None
        if stream is not None:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _exchange(self, request: object) -> object:
        if self._stream is None:
            await self._connect()
        await self._stream.send(encode_frame(request))
        return decode_message(Reply(), await read_frame(self._reader.receive_exactly))

    async def _connect(self) -> None:
        host, port = split_address(self.address)
        try:
            stream = await anyio.connect_tcp(host, port)
        except OSError as error:
            raise _unwrap_refusal(error) from error
        self._stream = stream
        self._reader = create_reader(stream)


def _unwrap_refusal(error: OSError) -> OSError:
    """Return the refused connection that caused an anyio error, or the error itself."""
    cause = error.__cause__
    return cause if isinstance(cause, ConnectionRefusedError) else error
