"""Which connections a listener closes so that all of them fit the machine.

Answers clients that nobody controls: hundreds of connections that send nothing, that
send heads, bodies or trailers slowly or without end, that leave their responses unread,
or that are opened faster than they end. A bound for each connection is no bound for the
process, so that connections and bytes are counted over all connections of a listener.
What is closed is what has waited longest for its client: ordinary callers send a
request, and take its response, within milliseconds, so that they are closed last. A
connection whose request the application has in full is never closed, as the client
could not tell whether the request has run. What the application may have is
bounded by refusing further requests before it has them, and part of the bytes is kept
for the others: an ordinary caller whose body comes a little after its head gets a
response also beside a full application.
"""

from collections.abc import Hashable
from dataclasses import dataclass
from enum import StrEnum

#: Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Share of the other descriptors that listeners may use; the rest is for connections to
#: runners and the store.
LISTENER_DESCRIPTOR_SHARE = 0.5
#: Shares of the process's memory for the connections of all listeners, and for what
#: they have received or have not sent yet. The jobs of an owner take a third.
CONNECTION_MEMORY_SHARE = 0.1
HELD_MEMORY_SHARE = 0.1
#: Share of a listener's bytes that requests of the application may hold. The rest is
#: for heads, bodies and responses, however much the application has.
APPLICATION_SHARE = 0.75
#: Memory that an open connection takes while nothing is received, in bytes.
CONNECTION_BYTES = 20_000
#: Least number of connections and bytes of a listener, however small the machine.
MIN_CONNECTIONS = 16
MIN_BYTES = 1_000_000


class Phase(StrEnum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    APPLICATION = "application"
    RESPONSE = "response"


#: Phases in the order in which connections are closed to make room for a new one.
CLOSING_ORDER = (Phase.IDLE, Phase.RESPONSE, Phase.HEAD, Phase.BODY)
#: Phases in which a connection may hold bytes that closing it frees.
HOLDING_PHASES = (Phase.RESPONSE, Phase.HEAD, Phase.BODY)


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one listener.

    Attributes
    ----------
    connections : int
        Largest number of open connections.
    held_bytes : int
        Largest number of bytes that all connections hold: requests that are not
        answered yet, and responses that are not sent yet.
    head_bytes : int
        Largest number of bytes of a head, of a chunk's header or of trailers. A longer
        one is accepted if it arrives at once.
    idle_s : float
        Seconds that a connection may be open without a request.
    head_s : float
        Seconds that a head may take.
    body_s : float
        Seconds that each 64 KiB of a body may take.
    response_s : float
        Seconds that a client may take for the buffered part of a response.
    """

    connections: int = 1_024
    held_bytes: int = 64_000_000
    head_bytes: int = 32_768
    idle_s: float = 75.0
    head_s: float = 10.0
    body_s: float = 30.0
    response_s: float = 30.0

    @property
    def application_bytes(self) -> int:
        """Largest number of bytes of requests that the application has in full."""
        return int(APPLICATION_SHARE * self.held_bytes)

    def limit_s(self, phase: Phase) -> float:
        """Return the seconds that a connection may spend in a phase."""
        return {
            Phase.IDLE: self.idle_s,
            Phase.HEAD: self.head_s,
            Phase.BODY: self.body_s,
            Phase.RESPONSE: self.response_s,
            Phase.APPLICATION: float("inf"),
        }[phase]


def share_machine(
    memory_mb: float, descriptors: int, share_by_listener: dict[str, float]
) -> dict[str, tuple[int, int]]:
    """Return the largest number of connections and of held bytes of each listener.

    Listeners share nothing, so that a crowd on one of them takes nothing from others.

    Parameters
    ----------
    memory_mb : float
        Memory of the process, in megabytes.
    descriptors : int
        Largest number of open file descriptors of the process.
    share_by_listener : dict of str to float
        Shares of the listeners by their names; the sum is 1.
    """
    by_descriptors = LISTENER_DESCRIPTOR_SHARE * (descriptors - FILE_DESCRIPTORS)
    by_memory = CONNECTION_MEMORY_SHARE * 1e6 * memory_mb / CONNECTION_BYTES
    connections = min(by_descriptors, by_memory)
    held_bytes = HELD_MEMORY_SHARE * 1e6 * memory_mb
    return {
        name: (
            max(MIN_CONNECTIONS, int(share * connections)),
            max(MIN_BYTES, int(share * held_bytes)),
        )
        for name, share in share_by_listener.items()
    }


class ConnectionBudget:
    """Open connections of a listener, and which of them to close.

    Times are seconds on any monotonic clock. A connection is any hashable object.

    Parameters
    ----------
    limits : ConnectionLimits
        Limits of the listener.

    Attributes
    ----------
    held_bytes : int
        Bytes that all connections hold.
    application_bytes : int
        Bytes of these that closing connections can't free, as the application has the
        requests in full.
    """

    def __init__(self, limits: ConnectionLimits):
        self.limits = limits
        self.held_bytes = 0
        self.application_bytes = 0
        self._max_application_bytes = limits.application_bytes
        self._phase_by_connection: dict[Hashable, Phase] = {}
        self._held_by_connection: dict[Hashable, int] = {}
        # Each in the order of the times at which the phase began.
        self._since_by_connection: dict[Phase, dict[Hashable, float]] = {
            phase: {} for phase in Phase
        }

    def __len__(self) -> int:
        return len(self._phase_by_connection)

    def __contains__(self, connection: Hashable) -> bool:
        return connection in self._phase_by_connection

    def add(self, connection: Hashable, now_s: float) -> None:
        """Add a connection that has just been opened."""
        self._phase_by_connection[connection] = Phase.IDLE
        self._since_by_connection[Phase.IDLE][connection] = now_s

    def remove(self, connection: Hashable) -> None:
        """Remove a connection; do nothing if it is not there."""
        phase = self._phase_by_connection.pop(connection, None)
        if phase is None:
            return
        del self._since_by_connection[phase][connection]
        held_bytes = self._held_by_connection.pop(connection, 0)
        self.held_bytes -= held_bytes
        if phase is Phase.APPLICATION:
            self.application_bytes -= held_bytes

    def phase_of(self, connection: Hashable) -> Phase | None:
        """Return the phase of a connection; None if it is not there."""
        return self._phase_by_connection.get(connection)

    def move(self, connection: Hashable, phase: Phase, now_s: float) -> None:
        """Note that a phase of a connection begins now, if it is another one."""
        former = self._phase_by_connection.get(connection)
        if former is None or former is phase:
            return
        del self._since_by_connection[former][connection]
        self._phase_by_connection[connection] = phase
        self._since_by_connection[phase][connection] = now_s
        if phase is Phase.APPLICATION:
            self.application_bytes += self._held_by_connection.get(connection, 0)
        elif former is Phase.APPLICATION:
            self.application_bytes -= self._held_by_connection.get(connection, 0)

    def renew(self, connection: Hashable, now_s: float) -> None:
        """Let the phase of a connection begin anew, as there was progress."""
        phase = self._phase_by_connection.get(connection)
        if phase is not None:
            del self._since_by_connection[phase][connection]
            self._since_by_connection[phase][connection] = now_s

    def hold(self, connection: Hashable, held_bytes: int) -> None:
        """Note the bytes that a connection holds now."""
        phase = self._phase_by_connection.get(connection)
        if phase is None:
            return
        added_bytes = held_bytes - self._held_by_connection.get(connection, 0)
        self._held_by_connection[connection] = held_bytes
        self.held_bytes += added_bytes
        if phase is Phase.APPLICATION:
            self.application_bytes += added_bytes

    def admits(self, connection: Hashable, request_bytes: int) -> bool:
        """Return whether the application may have a request of a connection.

        Parameters
        ----------
        connection : Hashable
            The connection; what it holds of an earlier request does not count.
        request_bytes : int
            Bytes that are received of the request.
        """
        others_bytes = self.application_bytes
        if self._phase_by_connection.get(connection) is Phase.APPLICATION:
            others_bytes -= self._held_by_connection.get(connection, 0)
        return others_bytes + request_bytes <= self._max_application_bytes

    def choose_to_make_room(self) -> Hashable | None:
        """Return the connection to close for a new one; None to refuse the new one."""
        for phase in CLOSING_ORDER:
            for connection in self._since_by_connection[phase]:
                return connection
        return None

    def choose_to_free_bytes(self) -> Hashable | None:
        """Return the connection to close if too many bytes are held; None if not.

        Only bytes that closing can free are weighed, against what the application
        leaves of all bytes or its reserved part, whichever is more.
        """
        taken_bytes = min(self.application_bytes, self._max_application_bytes)
        free_bytes = self.limits.held_bytes - taken_bytes
        if self.held_bytes - self.application_bytes <= free_bytes:
            return None
        first = None
        first_s = float("inf")
        for phase in HOLDING_PHASES:
            for connection, since_s in self._since_by_connection[phase].items():
                if since_s < first_s:
                    first, first_s = connection, since_s
                break
        return first

    def list_overdue(self, now_s: float) -> list[Hashable]:
        """Return the connections that have spent too long in their phases."""
        overdue = []
        for phase, since_by_connection in self._since_by_connection.items():
            limit_s = self.limits.limit_s(phase)
            for connection, since_s in since_by_connection.items():
                if now_s - since_s <= limit_s:
                    break
                overdue.append(connection)
        return overdue
