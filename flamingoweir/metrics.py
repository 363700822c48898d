"""Metrics sent by statsd."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Where counts, gauges and timings go."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...

    def timing(self, name: str, milliseconds: float) -> None:
        """Record one duration."""
        ...


class NoMetrics:
    """Metrics that go nowhere."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignore the count."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignore the duration."""


def create_metrics(address: str) -> Metrics:
    """Return metrics sent by UDP to ``host:port``, or nowhere if it is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix="flamingoweir")
