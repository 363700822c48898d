"""State of one peer and calls to it."""

from dataclasses import dataclass, field

import anyio

from ..clock import Clock
from ._transport import PeerTransport, PeerUnreachable
from ._wire import Pong, Reply, Request

__all__ = ["Peer", "PeerStatus", "PeerUnreachable"]


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A peer's latest pong, with ages converted to times on this instance's clock.

    Attributes
    ----------
    asked_s : float
        Time in seconds at which the ping was sent.
    pong : Pong
        The peer's reply.
    settings_confirmed_s : float
        Time in seconds at which no newer settings than the peer's had been accepted;
        ``-inf`` if there is none.
    zone_outage_s : float
        Time in seconds at which no instance of the peer's zone reached the store;
        ``-inf`` if there is none.
    """

    asked_s: float
    pong: object
    settings_confirmed_s: float
    zone_outage_s: float


def status_from_pong(asked_s: float, pong: object) -> PeerStatus:
    """Return the status that a pong reports.

    Ages are subtracted from the time of the ping. The pong was made later, so the
    resulting times are never too late.
    """
    return PeerStatus(
        asked_s,
        pong,
        _time_before(asked_s, pong.settings_age_ms),
        _time_before(asked_s, pong.zone_outage_ms),
    )


def _time_before(asked_s: float, age_ms: int) -> float:
    return asked_s - age_ms / 1000 if age_ms >= 0 else float("-inf")


def age_ms(now_s: float, time_s: float) -> int:
    """Return the age of a time in milliseconds, rounded up; -1 for ``-inf``."""
    if time_s == float("-inf"):
        return -1
    return max(0, int((now_s - time_s) * 1000) + 1)


@dataclass(slots=True)
class Peer:
    """A peer and the transport to it.

    Attributes
    ----------
    name, zone, address : str
        Name, availability zone and address of the peer.
    transport : PeerTransport
        Sends one request at a time to the peer.
    clock : Clock
        Monotonic clock of this instance.
    status : PeerStatus or None
        Status from the latest pong; None before the first.
    refused : bool
        Whether the latest call failed because nothing listens at the address.
    reachable : bool
        Whether the latest call was answered.
    """

    name: str
    zone: str
    address: str
    transport: PeerTransport
    clock: Clock
    status: PeerStatus | None = None
    refused: bool = False
    reachable: bool = False
    _lock: anyio.Lock = field(default_factory=anyio.Lock)

    async def call(self, request: Request) -> Reply:
        """Send a request and return the reply.

        Raises
        ------
        PeerUnreachable
            If no reply came.
        """
        async with self._lock:
            try:
                reply = await self.transport.call(request)
            except PeerUnreachable as error:
                self.refused = error.refused
                self.reachable = False
                raise
        self.refused = False
        self.reachable = True
        return reply

    async def ping(self, request: Request) -> PeerStatus:
        """Send a ping, and store and return the status from the pong.

        Raises
        ------
        PeerUnreachable
            If no pong came.
        """
        asked_s = self.clock.now()
        reply = await self.call(request)
        if reply.pong is None:
            raise PeerUnreachable("the reply to a ping contains no pong")
        self.status = status_from_pong(asked_s, reply.pong)
        return self.status

    @property
    def pong(self) -> Pong | None:
        """Latest pong of the peer; None before the first."""
        return self.status.pong if self.status else None
