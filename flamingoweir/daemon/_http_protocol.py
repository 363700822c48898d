"""uvicorn's HTTP protocol over h11, for clients that keep to no limits."""

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

#: Bytes of a body that are discarded after the response, before the connection is
#: closed: a client that still sends would lose the response if it were closed at once.
MAX_DISCARDED_BYTES = 262_144


class BoundedProtocol(H11Protocol):
    """A connection of a listener.

    Heads, chunk headers and trailers are bounded by h11, and a request that is sent
    ahead is parsed once the one before it is answered.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self._received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol.data_received`."""
        if self.transport.is_closing():
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self._is_answered_early() and self._received_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed head; close the connection at any other malformed bytes.

        A response would be taken as the one to the request before.
        """
        if self.conn.our_state is not h11.IDLE:
            self.transport.abort()
            return
        super().send_400_response(msg)

    def on_response_complete(self) -> None:
        """Continue with the next request."""
        self._received_bytes = 0
        super().on_response_complete()

    def _is_answered_early(self) -> bool:
        """Return whether a body still arrives whose request is answered."""
        return (
            self.cycle is not None
            and self.cycle.response_complete
            and self.conn.their_state is h11.SEND_BODY
        )
