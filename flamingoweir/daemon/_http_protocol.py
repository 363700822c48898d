"""uvicorn's HTTP protocol over h11, counted and timed by its listener."""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable

import h11
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from ..asgi import error_body, error_headers, send_response
from ..errors import ErrorCode, FlamingoweirError
from ..listeners import ListenerConnections
from ..policy import Phase

#: Bytes of a body that have to arrive within the time limit of a body.
PROGRESS_BYTES = 65_536
#: Bytes of a body that are discarded after the response, before the connection is
#: closed: a client that still sends would lose the response if it were closed at once.
MAX_DISCARDED_BYTES = 262_144
#: Seconds after which a refused client may repeat its request; most requests of the
#: application are answered by then.
RETRY_AFTER_S = 1.0
#: Bytes of requests sent ahead from which no more is read until they are answered.
MAX_AHEAD_BYTES = 32_768


class _GatedFlow(FlowControl):
    """Flow control that resumes reading only while it may.

    uvicorn resumes it with each request, which would let in more than is answered.
    """

    def __init__(self, transport: asyncio.Transport, may_read: Callable[[], bool]):
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        if self._may_read():
            super().resume_reading()


class BoundedProtocol(H11Protocol):
    """A connection of a listener.

    Heads, chunk headers and trailers are bounded by h11, and a request that is sent
    ahead is parsed once the one before it is answered. This class reports to
    `ListenerConnections` what the connection waits for and what it holds, and refuses
    a request for which the application has no room while it lacks a part of it.

    Parameters
    ----------
    listener : ListenerConnections
        Connections of the listener.
    **options
        Arguments of `H11Protocol`.
    """

    def __init__(self, listener: ListenerConnections, **options):
        super().__init__(**options)
        self._listener = listener
        self._application = self.app
        self.app = self._serve
        self._is_refusing = False
        self._received_bytes = 0
        self._discarded_bytes = 0
        self._progress_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See `asyncio.BaseProtocol.connection_made`."""
        super().connection_made(transport)
        self.flow = _GatedFlow(transport, self._may_read)
        if not self._listener.open(self, time.monotonic()):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BaseProtocol.connection_lost`."""
        self._listener.budget.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol.data_received`."""
        if self.transport.is_closing():
            return
        if self._is_answered_early():
            self._discarded_bytes += len(data)
            self._received_bytes = 0
        else:
            self._discarded_bytes = 0
        self._received_bytes += len(data)
        self._progress_bytes += len(data)
        if self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = 0
            if self._listener.budget.phase_of(self) is Phase.BODY:
                self._listener.budget.renew(self, time.monotonic())
        self._admit()
        super().data_received(data)
        if self._is_answered_early():
            self._received_bytes = len(self.conn.trailing_data[0])
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._listener.close(self, "body_after_response")
                return
        self._report()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed head; close the connection at any other malformed bytes.

        A response would be taken as the one to the request before.
        """
        self._listener.count("malformed")
        if self.conn.our_state is not h11.IDLE:
            self.transport.abort()
            return
        super().send_400_response(msg)

    def on_response_complete(self) -> None:
        """Continue with the next request."""
        self._received_bytes = len(self.conn.trailing_data[0])
        if self._received_bytes:
            self._admit()
        super().on_response_complete()
        if not self.transport.is_closing():
            self.flow.resume_reading()
        self._report()

    def pause_writing(self) -> None:
        """See `asyncio.BaseProtocol.pause_writing`."""
        super().pause_writing()
        self._report()

    def resume_writing(self) -> None:
        """See `asyncio.BaseProtocol.resume_writing`."""
        super().resume_writing()
        self._report()

    def abort(self) -> None:
        """See `Connection.abort`."""
        self.transport.abort()

    def waits_for_client(self) -> bool:
        """See `Connection.waits_for_client`."""
        phase = self._listener.budget.phase_of(self)
        if phase is Phase.BODY:
            return not self.flow.read_paused
        if phase is Phase.RESPONSE and not self._has_unsent():
            self._report()
            return False
        return True

    def _admit(self) -> None:
        """Decide whether the application may have what has arrived of a request.

        A request that the application has in full, or that is refused, stays so.
        """
        cycle = self.cycle
        is_begun = cycle is not None and not cycle.response_complete
        if is_begun and (self._is_refusing or not cycle.more_body):
            return
        self._is_refusing = not self._listener.budget.admits(self, self._received_bytes)

    def _serve(self, scope, receive, send) -> Awaitable[None]:
        """Pass a request on to the application, or refuse it."""
        if self._is_refusing:
            error = self._refuse()
            headers = error_headers(error)
            return send_response(send, error.http_status, headers, error_body(error))
        if self.cycle.more_body:
            receive = functools.partial(self._receive, receive)
        return self._application(scope, receive, send)

    async def _receive(self, receive):
        """Return the next part of a body; raise the refusal to the application.

        Only the application knows what it has done with the parts before.
        """
        message = await receive()
        if self._is_refusing and message["type"] == "http.request":
            raise self._refuse()
        return message

    def _refuse(self) -> FlamingoweirError:
        self._listener.count_refused()
        return FlamingoweirError(
            ErrorCode.OVERLOADED,
            "requests that are being handled leave no memory for this one; try again "
            f"in {RETRY_AFTER_S:.0f} s",
            retry_after_s=RETRY_AFTER_S,
        )

    def _may_read(self) -> bool:
        """Return whether requests sent ahead leave room for more.

        A connection without any is read meanwhile, to notice that it is closed.
        """
        if self.conn.their_state is not h11.DONE:
            return True
        return len(self.conn.trailing_data[0]) < MAX_AHEAD_BYTES

    def _report(self) -> None:
        held_bytes = self._received_bytes + self.transport.get_write_buffer_size()
        phase = self._find_phase()
        if phase is Phase.APPLICATION and self._is_refusing:
            # It is dropped at once, so that further requests need not be refused.
            held_bytes = 0
        self._listener.budget.move(self, phase, time.monotonic())
        self._listener.hold(self, held_bytes)

    def _find_phase(self) -> Phase:
        if self._has_unsent():
            return Phase.RESPONSE
        if self.cycle is not None and not self.cycle.response_complete:
            is_receiving = self.conn.their_state is h11.SEND_BODY
            return Phase.BODY if is_receiving else Phase.APPLICATION
        if self._is_answered_early():
            return Phase.BODY
        if self.conn.their_state is h11.IDLE and not self.conn.trailing_data[0]:
            return Phase.IDLE
        return Phase.HEAD

    def _has_unsent(self) -> bool:
        return self.transport.get_write_buffer_size() > 0

    def _is_answered_early(self) -> bool:
        """Return whether a body still arrives whose request is answered."""
        return (
            self.cycle is not None
            and self.cycle.response_complete
            and self.conn.their_state is h11.SEND_BODY
        )
