"""HTTP/1.1 connection of a client that sends one request at a time."""

import select
import time
from collections.abc import Awaitable, Callable

import anyio
import httptools
from anyio.abc import SocketAttribute, SocketStream

#: Largest read, in bytes. The event loop reads at most as much at once, so that nothing
#: that was received is left in the stream after a read.
READ_BYTES = 1 << 18
#: Largest head of a response, in bytes. A runner's or the store's has some 200.
MAX_HEAD_BYTES = 1 << 16
#: What every response begins with.
RESPONSE_START = b"HTTP/1."
HEAD_END = b"\r\n\r\n"
#: Statuses of final responses that never have a body.
BODILESS_STATUSES = frozenset((204, 304))


class MalformedResponse(Exception):
    """What was received is not a complete response to the request."""


class HttpConnection:
    """An open connection that sends one request at a time.

    Parameters
    ----------
    stream : SocketStream
        The open stream to the server.

    Attributes
    ----------
    reusable : bool
        Whether the last response was complete and another request may follow.
    """

    def __init__(self, stream: SocketStream):
        self.reusable = True
        self._stream = stream
        self._socket = stream.extra(SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)
        self._idle_since_s = time.monotonic()

    def is_usable(self, idle_limit_s: float) -> bool:
        """Return whether the idle connection can carry another request.

        A server that sends anything between two requests, or closes the connection,
        makes the socket readable.
        """
        if time.monotonic() - self._idle_since_s > idle_limit_s:
            return False
        return self._socket.fileno() >= 0 and not self._poll.poll(0)

    async def exchange(
        self,
        request: bytes,
        is_head: bool,
        on_part: Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return status and body of the response.

        Parameters
        ----------
        request : bytes
            The whole request.
        is_head : bool
            Whether the request's method is HEAD, whose response has no body.
        on_part : callable, optional
            Called for each part of the response's body that arrives after its head.

        Raises
        ------
        MalformedResponse
            If the response is malformed or truncated.
        OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
            If the connection fails.
        """
        self.reusable = False
        await self._stream.send(request)
        received = b""
        while True:
            response, received = await self._receive_head(received)
            if response.status >= 200:
                break
        body = await self._receive_body(response, received, is_head, on_part)
        response.release()
        self._idle_since_s = time.monotonic()
        return response.status, body

    async def exchange_all(
        self,
        requests: bytes,
        count: int,
        on_response: Callable[[int, bytes], Awaitable[None]],
    ) -> None:
        """Send several requests in one write, and receive their responses in order.

        Parameters
        ----------
        requests : bytes
            The whole requests, none of them a HEAD.
        count : int
            Number of the requests.
        on_response : callable
            Awaited with status and body of each response.

        Raises
        ------
        MalformedResponse
            If a response is malformed, truncated or without a length, or if the server
            ends the connection before the last one.
        OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
            If the connection fails.
        """
        self.reusable = False
        await self._stream.send(requests)
        received = b""
        keeps_alive = True
        for _ in range(count):
            if not keeps_alive:
                raise MalformedResponse("the server has closed the connection")
            while True:
                response, received = await self._receive_head(received)
                if response.status >= 200:
                    break
            length = response.content_length
            if response.status in BODILESS_STATUSES:
                length = 0
            if length is None or response.transfer_encoding is not None:
                raise MalformedResponse("the response has no length")
            while len(received) < length:
                received += await self._stream.receive(READ_BYTES)
            keeps_alive = response.keeps_alive
            response.release()
            await on_response(response.status, received[:length])
            received = received[length:]
        self.reusable = keeps_alive and not received
        self._idle_since_s = time.monotonic()

    async def aclose(self) -> None:
        """Close the connection; what was not sent is lost."""
        self.reusable = False
        await self._stream.aclose()

    async def _receive_head(self, received: bytes) -> tuple["_ResponseParser", bytes]:
        """Return the parsed head of a response, and the bytes after it."""
        while True:
            if not received.startswith(RESPONSE_START[: len(received)]):
                raise MalformedResponse("the response is not one of HTTP/1")
            end = received.find(HEAD_END)
            if end >= 0:
                break
            if len(received) > MAX_HEAD_BYTES:
                raise MalformedResponse("the head of the response is too long")
            received += await self._stream.receive(READ_BYTES)
        end += len(HEAD_END)
        response = _ResponseParser()
        response.feed(received[:end])
        if not response.is_head_complete:
            raise MalformedResponse("the head of the response is incomplete")
        if response.status == 101:
            raise MalformedResponse("the server switched protocols without a request")
        return response, received[end:]

    async def _receive_body(
        self,
        response: "_ResponseParser",
        received: bytes,
        is_head: bool,
        on_part: Callable[[], None] | None,
    ) -> bytes:
        """Return the body, and set `reusable` if nothing follows it."""
        if is_head or response.status in BODILESS_STATUSES:
            self.reusable = response.keeps_alive and not received
            return b""
        if response.transfer_encoding is not None:
            return await self._receive_chunks(
                response, received, response.transfer_encoding, on_part
            )
        if response.content_length is None:
            return await self._receive_to_end(received, on_part)
        missing = response.content_length - len(received)
        if missing > 0:
            parts = [received]
            while missing > 0:
                parts.append(await self._receive_part(on_part))
                missing -= len(parts[-1])
            received = b"".join(parts)
        self.reusable = response.keeps_alive and missing == 0
        return received if missing == 0 else received[: response.content_length]

    async def _receive_chunks(
        self,
        response: "_ResponseParser",
        received: bytes,
        encoding: bytes,
        on_part: Callable[[], None] | None,
    ) -> bytes:
        if encoding.lower() != b"chunked":
            raise MalformedResponse("the response has an unknown transfer encoding")
        # The parser skips line ends between responses, so that a surplus one shows
        # only in the last bytes.
        last = received[-len(HEAD_END) - 1 :]
        response.feed(received)
        while not response.is_complete:
            received = await self._receive_part(on_part)
            last = (last + received)[-len(HEAD_END) - 1 :]
            response.feed(received)
        ends_here = last.endswith(HEAD_END) and last[0] not in b"\r\n"
        self.reusable = response.keeps_alive and ends_here and not response.has_surplus
        return b"".join(response.parts)

    async def _receive_to_end(
        self, received: bytes, on_part: Callable[[], None] | None
    ) -> bytes:
        parts = [received]
        while True:
            try:
                parts.append(await self._receive_part(on_part))
            except anyio.EndOfStream:
                return b"".join(parts)

    async def _receive_part(self, on_part: Callable[[], None] | None) -> bytes:
        part = await self._stream.receive(READ_BYTES)
        if on_part is not None:
            on_part()
        return part


class _ResponseParser:
    """Parses the head of a response, and its body if that is sent in chunks.

    Attributes
    ----------
    status : int
        Status of the response.
    keeps_alive : bool
        Whether the server keeps the connection open after the response.
    content_length : int or None
        Value of Content-Length; None if there is none.
    transfer_encoding : bytes or None
        Value of Transfer-Encoding; None if there is none.
    parts : list of bytes
        What was received of the body.
    is_head_complete, is_complete : bool
        Whether the head and the whole response were received.
    has_surplus : bool
        Whether bytes followed the response.
    """

    def __init__(self) -> None:
        self.status = 0
        self.keeps_alive = False
        self.content_length: int | None = None
        self.transfer_encoding: bytes | None = None
        self.parts: list[bytes] = []
        self.is_head_complete = False
        self.is_complete = False
        self.has_surplus = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises
        ------
        MalformedResponse
            If the response is malformed.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.is_complete:
                raise MalformedResponse(str(error)) from error
            self.has_surplus = True

    def release(self) -> None:
        """End the cycle of references, so that no garbage collection is needed."""
        self._parser = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the headers that say where the body ends."""
        if self.is_head_complete:
            return
        name = name.lower()
        if name == b"content-length":
            self.content_length = int(value)
        elif name == b"transfer-encoding":
            if self.transfer_encoding is not None:
                value = self.transfer_encoding + b"," + value
            self.transfer_encoding = value

    def on_headers_complete(self) -> None:
        """Keep the status, unless this is a surplus response."""
        if self.is_head_complete:
            self.has_surplus = True
            return
        self.is_head_complete = True
        self.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body."""
        if not self.is_complete:
            self.parts.append(part)

    def on_message_complete(self) -> None:
        """Note the end of the response."""
        self.is_complete = True
