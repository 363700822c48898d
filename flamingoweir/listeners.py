"""Connections of a listener: which are open, which are closed, and why."""

from collections import Counter
from typing import Protocol

from .logs import get_logger
from .metrics import Metrics
from .policy import ConnectionBudget, ConnectionLimits

log = get_logger()


class Connection(Protocol):
    """A connection that a listener can close."""

    def abort(self) -> None:
        """Close the connection without a response."""
        ...

    def waits_for_client(self) -> bool:
        """Return whether the client, not this process, has to send or read."""
        ...


class ListenerConnections:
    """Connections of a listener; closes those that its limits do not allow.

    Parameters
    ----------
    name : str
        Name of the listener in logs and metrics.
    limits : ConnectionLimits
        Limits of the listener.
    metrics : Metrics
        Receives a counter for each reason for which connections are closed.

    Attributes
    ----------
    budget : ConnectionBudget
        Open connections, what they wait for and what they hold.
    """

    def __init__(self, name: str, limits: ConnectionLimits, metrics: Metrics):
        self.name = name
        self.budget = ConnectionBudget(limits)
        self._metrics = metrics
        self._closed_by_reason = Counter[str]()
        self._refused_requests = 0

    def open(self, connection: Connection, now_s: float) -> bool:
        """Add a connection; return False if it has to be closed instead."""
        if len(self.budget) >= self.budget.limits.connections:
            chosen = self.budget.choose_to_make_room()
            if chosen is None:
                self.count("refused")
                return False
            self.close(chosen, f"room_{self.budget.phase_of(chosen)}")
        self.budget.add(connection, now_s)
        return True

    def hold(self, connection: Connection, held_bytes: int) -> None:
        """Note what a connection holds; close connections if it is too much."""
        self.budget.hold(connection, held_bytes)
        while (chosen := self.budget.choose_to_free_bytes()) is not None:
            self.close(chosen, f"bytes_{self.budget.phase_of(chosen)}")

    def close(self, connection: Connection, reason: str) -> None:
        """Close a connection without a response."""
        self.budget.remove(connection)
        self.count(reason)
        connection.abort()

    def count(self, reason: str) -> None:
        """Count a connection that is closed."""
        self._closed_by_reason[reason] += 1

    def count_refused(self) -> None:
        """Count a request that is refused, as the application has too many bytes."""
        self._refused_requests += 1

    def check(self, now_s: float) -> None:
        """Close connections that wait too long for clients; report what was closed."""
        for connection in self.budget.list_overdue(now_s):
            phase = self.budget.phase_of(connection)
            if connection.waits_for_client():
                self.close(connection, f"slow_{phase}")
            else:
                self.budget.renew(connection, now_s)
        self._metrics.gauge(f"{self.name}_connections", len(self.budget))
        self._metrics.gauge(f"{self.name}_held_bytes", self.budget.held_bytes)
        self._report_refused()
        if not self._closed_by_reason:
            return
        for reason, count in self._closed_by_reason.items():
            self._metrics.incr(f"{self.name}_connections_closed_{reason}", count)
        log.warning(
            "connections_closed",
            listener=self.name,
            connections=len(self.budget),
            held_bytes=self.budget.held_bytes,
            **self._closed_by_reason,
        )
        self._closed_by_reason.clear()

    def _report_refused(self) -> None:
        if not self._refused_requests:
            return
        self._metrics.incr(f"{self.name}_requests_refused", self._refused_requests)
        log.warning(
            "requests_refused",
            listener=self.name,
            requests=self._refused_requests,
            application_bytes=self.budget.application_bytes,
            max_bytes=self.budget.limits.application_bytes,
        )
        self._refused_requests = 0
