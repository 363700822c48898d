"""One peer as this instance knows it."""

from dataclasses import dataclass, field

import anyio

from ..clock import Clock
from ._transport import PeerTransport, PeerUnreachable
from ._wire import Pong, Reply, Request

__all__ = ["Peer", "PeerStatus", "PeerUnreachable"]


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a peer last said, with its ages turned into this instance's time.

    Attributes
    ----------
    asked_s : float
        When the peer was asked.
    pong : Pong
        Its answer.
    settings_confirmed_s : float
        A moment at which no newer settings than the peer's had been accepted.
    zone_outage_s : float
        A moment at which no instance of its zone reached the store.
    """

    asked_s: float
    pong: object
    settings_confirmed_s: float
    zone_outage_s: float


def status_from_pong(asked_s: float, pong: object) -> PeerStatus:
    """Turn a pong into a word; ages count back from when the peer was asked."""
    return PeerStatus(
        asked_s,
        pong,
        _time_before(asked_s, pong.settings_age_ms),
        _time_before(asked_s, pong.zone_outage_ms),
    )


def _time_before(asked_s: float, age_ms: int) -> float:
    return asked_s - age_ms / 1000 if age_ms >= 0 else float("-inf")


def age_ms(now_s: float, time_s: float) -> int:
    """Return how long ago a moment was, or -1 if it never was."""
    if time_s == float("-inf"):
        return -1
    return max(0, int((now_s - time_s) * 1000) + 1)


@dataclass(slots=True)
class Peer:
    """A peer and the way to it.

    Attributes
    ----------
    name, zone, address : str
        The peer.
    status : PeerStatus or None
        What it last said.
    refused : bool
        Whether nothing listened there at the last try.
    reachable : bool
        Whether the last call was answered.
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
        """Send a request; raises PeerUnreachable."""
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
        """Ask how the peer stands; raises PeerUnreachable."""
        asked_s = self.clock.now()
        reply = await self.call(request)
        if reply.pong is None:
            raise PeerUnreachable("no pong in the reply")
        self.status = status_from_pong(asked_s, reply.pong)
        return self.status

    @property
    def pong(self) -> Pong | None:
        """The peer's latest answer."""
        return self.status.pong if self.status else None
