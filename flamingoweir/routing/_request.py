"""A caller's request, its body, and the head of a runner's answer."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from ..errors import ErrorCode, FlamingoweirError, Verdict

REPLAY_LIMIT_BYTES = 65_536

Header = tuple[bytes, bytes]


class RequestBody:
    """A body that is kept whole while it is small and streamed beyond that.

    Parameters
    ----------
    receive : callable
        Returns the next part and whether more follow.
    limit_bytes : int
        Largest body that is taken.
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
        """Whether the caller has sent everything."""
        return not self._has_more

    async def prefetch(self) -> None:
        """Read the body until it is whole or too large to be kept."""
        while self._has_more and self._size < REPLAY_LIMIT_BYTES:
            self._buffered.append(await self._receive_part())

    def can_replay(self) -> bool:
        """Return whether the body can be sent once more."""
        return not self._has_more and not self.streamed

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        for part in list(self._buffered):
            yield part
        while self._has_more:
            self.streamed = True
            yield await self._receive_part()

    async def _receive_part(self) -> bytes:
        part, self._has_more = await self._receive()
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
    """A request as a caller made it.

    Attributes
    ----------
    id : str
        Names the request from end to end.
    service, team : str
        Which service is asked, and for whom.
    method : str
        The HTTP method.
    target : bytes
        Path and query as the runner gets them.
    headers : list of (bytes, bytes)
        End-to-end headers, as sent.
    body : RequestBody
        The body.
    idempotent : bool
        Whether it may run more than once.
    deadline_s : float
        On this instance's clock, when the caller stops waiting.
    key : str
        The caller's idempotency key, or nothing.
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
    """Status and headers of a runner's answer.

    Attributes
    ----------
    status : int
        The HTTP status.
    headers : list of (bytes, bytes)
        End-to-end headers, as the runner sent them.
    length : int or None
        Announced length of the body.
    load : int or None
        Requests that the runner says it has in flight.
    """

    status: int
    headers: list[Header]
    length: int | None
    load: int | None
