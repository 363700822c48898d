"""Metrics: sent to a statsd server, or collected and served as text."""

import re
from typing import Protocol

import statsd
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
#: Upper bounds of the buckets of duration histograms, in milliseconds.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Metrics(Protocol):
    """Receiver of counts, gauges and durations."""

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
    """Discards all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignore the count."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore the value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignore the duration."""


class PrometheusMetrics:
    """Collects metrics and returns them in the text format of Prometheus."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counter_by_name: dict[str, Counter] = {}
        self._gauge_by_name: dict[str, Gauge] = {}
        self._histogram_by_name: dict[str, Histogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """See `Metrics.incr`."""
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = Counter(_full_name(name), name, registry=self._registry)
            self._counter_by_name[name] = counter
        counter.inc(count)

    def gauge(self, name: str, value: float) -> None:
        """See `Metrics.gauge`."""
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = Gauge(_full_name(name), name, registry=self._registry)
            self._gauge_by_name[name] = gauge
        gauge.set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """See `Metrics.timing`."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = Histogram(
                _full_name(name),
                name,
                buckets=LATENCY_BOUNDS_MS,
                registry=self._registry,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(milliseconds)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)


def _full_name(name: str) -> str:
    return "flamingoweir_" + INVALID_NAME_CHARACTERS.sub("_", name)


def create_metrics(address: str) -> Metrics:
    """Return a statsd client for ``host:port``, or `NoMetrics` for an empty address."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix="flamingoweir")
