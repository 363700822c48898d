"""Request of a caller, its body, and the head of a runner's response."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from ..errors import ErrorCode, FlamingoweirError, Verdict

#: Size in bytes up to which bodies are buffered; larger ones are streamed.
REPLAY_LIMIT_BYTES = 65_536

Header = tuple[bytes, bytes]


class RequestBody:
    """Request body that is buffered while it is small, and streamed otherwise.

    Parameters
    ----------
    receive : callable
        Returns the next part and whether more parts follow.
    limit_bytes : int
        Largest accepted body, in bytes.

    Attributes
    ----------
    streamed : bool
        Whether parts were sent that are not buffered.
    """

    def __init__(
        self, receive: Callable[[], Awaitable[tuple[bytes, bool]]], limit_bytes: int
    ):
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._buffered: list[bytes] = []
        self._size = 0
        self._has_more = True
        self.streamed = False

    @property
    def is_complete(self) -> bool:
        """Whether the complete body was received."""
        return not self._has_more

    async def prefetch(self) -> None:
        """Read the body until it is complete or too large for the buffer.

        Raises
        ------
        FlamingoweirError
            If the body exceeds the limit.
        """
        while self._has_more and self._size < REPLAY_LIMIT_BYTES:
            self._buffered.append(await self._receive_part())

    def can_replay(self) -> bool:
        """Return whether the body can be sent again."""
        return not self._has_more and not self.streamed

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body from its start.

        Raises
        ------
        FlamingoweirError
            If the body exceeds the limit.
        """
        for part in list(self._buffered):
            yield part
        while self._has_more:
            self.streamed = True
            yield await self._receive_part()

    async def _receive_part(self) -> bytes:
        try:
            part, self._has_more = await self._receive()
        except FlamingoweirError as error:
            if self.streamed:
                error.verdict = Verdict.MAY_HAVE_RUN
            raise
        self._size += len(part)
        if self._size > self._limit_bytes:
            raise FlamingoweirError(
                ErrorCode.BODY_TOO_LARGE,
                f"the body exceeds {self._limit_bytes} bytes",
                Verdict.MAY_HAVE_RUN if self.streamed else Verdict.NOT_RUN,
            )
        return part


@dataclass(slots=True)
class CallerRequest:
    """Request of a caller to a service.

    Attributes
    ----------
    id : str
        Id of the request, sent to the runner and returned to the caller.
    service : str
        Name of the service.
    team : str
        Team on whose behalf the request is made.
    method : str
        HTTP method.
    target : bytes
        Path and query that the runner receives.
    headers : list of (bytes, bytes)
        End-to-end headers as the caller sent them.
    body : RequestBody
        Body of the request.
    idempotent : bool
        Whether the request may run more than once.
    deadline_s : float
        When the caller stops waiting, on this instance's clock.
    key : str
        Idempotency key of the caller; empty if there is none.
    """

    id: str
    service: str
    team: str
    method: str
    target: bytes
    headers: list[Header]
    body: RequestBody
    idempotent: bool
    deadline_s: float
    key: str = ""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a runner's response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers as the runner sent them.
    length : int or None
        Length of the body in bytes, if the headers state it.
    load : int or None
        Number of requests in flight that the runner reports, if it does.
    """

    status: int
    headers: list[Header]
    length: int | None
    load: int | None
