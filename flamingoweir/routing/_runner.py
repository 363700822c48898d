"""State of a runner: its load, latency, failures and ejections."""

from dataclasses import dataclass

from ..clock import Clock
from ..settings import RequestSettings
from ..storage import Instance
from ._runner_http import RunnerLink

#: Seconds for which a runner's report of its load is used.
LOAD_REPORT_VALID_S = 1.0
#: Weight of the latest latency in the moving average.
LATENCY_WEIGHT = 0.1
#: Seconds for which a runner's report that it is leaving is used.
LEAVING_REPORT_VALID_S = 30.0


@dataclass(slots=True)
class Runner:
    """Runner with the requests in flight and the outcomes of earlier requests.

    Attributes
    ----------
    instance : Instance
        Entry of the runner in the platform's instance list.
    link : RunnerLink
        Client of the runner.
    clock : Clock
        Monotonic clock of this instance.
    settings : RequestSettings
        Limits and timeouts of requests.
    in_flight : int
        Number of requests that this instance has in flight on the runner.
    reported_load : int
        Number of requests from all instances that the runner last reported, adjusted
        by the requests that this instance has sent and finished since.
    load_reported_s : float
        When the runner last reported its load, on this instance's clock.
    latency_s : float
        Moving average of the time until the head of a response.
    consecutive_failures : int
        Failures since the last success or ejection.
    ejected_until_s : float
        When an ejected runner may be probed, on this instance's clock.
    ejections : int
        Ejections since the last success.
    leaving_until_s : float
        Until when the runner's report that it is leaving is used, on this instance's
        clock. The report expires because the runner may come back.
    """

    instance: Instance
    link: RunnerLink
    clock: Clock
    settings: RequestSettings
    in_flight: int = 0
    reported_load: int = 0
    load_reported_s: float = float("-inf")
    latency_s: float = 0.0
    consecutive_failures: int = 0
    ejected_until_s: float = float("-inf")
    ejections: int = 0
    leaving_until_s: float = float("-inf")

    def is_leaving(self) -> bool:
        """Return whether the runner or the platform reports that it is leaving.

        A leaving runner receives no new requests.
        """
        return self.instance.leaving or self.clock.now() < self.leaving_until_s

    def record_leaving(self) -> None:
        """Record the runner's report that it is leaving."""
        self.leaving_until_s = self.clock.now() + LEAVING_REPORT_VALID_S

    def is_ejected(self) -> bool:
        """Return whether the runner receives no requests because of failures.

        After the ejection has ended, one request at a time probes the runner until one
        succeeds.
        """
        if not self.ejections:
            return False
        if self.clock.now() < self.ejected_until_s:
            return True
        return self.in_flight > 0

    def has_capacity(self, instances: int) -> bool:
        """Return whether this instance may send another request to the runner.

        Each entry instance may use an equal share of the connections. Beyond an equal
        share of the slots, it sends requests only while the expected load is below the
        number of slots.

        Parameters
        ----------
        instances : int
            Number of entry instances that share the runner; at least 1.
        """
        connections = max(1, self.settings.connections_per_runner // instances)
        if self.in_flight >= connections:
            return False
        slots = self.settings.slots_per_runner
        share = max(1, -(-slots // instances))
        return self.in_flight < share or self.expected_load() < slots

    def expected_load(self) -> int:
        """Return the estimated number of requests in flight from all instances.

        An outdated load report is ignored.
        """
        if self.clock.now() - self.load_reported_s > LOAD_REPORT_VALID_S:
            return self.in_flight
        return max(self.reported_load, self.in_flight)

    def record_sent(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1
        self.reported_load += 1

    def record_end(self) -> None:
        """Count a request as ended."""
        self.in_flight -= 1
        self.reported_load = max(0, self.reported_load - 1)

    def record_head(self, latency_s: float, load: int | None) -> None:
        """Update latency and load from the head of a response.

        Parameters
        ----------
        latency_s : float
            Seconds until the head arrived.
        load : int or None
            Requests in flight that the runner reports, if it does.
        """
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if load is not None:
            self.reported_load = load
            self.load_reported_s = self.clock.now()

    def record_abandoned(self, waited_s: float) -> None:
        """Update the latency from a try that ended without a response.

        The response would have taken at least ``waited_s`` seconds, so only a larger
        value than the average counts.
        """
        if waited_s > self.latency_s:
            self.latency_s += LATENCY_WEIGHT * (waited_s - self.latency_s)

    def record_success(self) -> None:
        """Reset failures and ejections after a complete response."""
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self) -> bool:
        """Count a failure; return whether it ejects the runner.

        The first ejection takes ``eject_failures`` failures in a row, each further one
        a single failure. The length of ejections doubles from ``eject_s`` up to 16
        times ``eject_s``, until a request succeeds.
        """
        self.consecutive_failures += 1
        limit = 1 if self.ejections else self.settings.eject_failures
        if self.consecutive_failures < limit:
            return False
        self.consecutive_failures = 0
        length_s = self.settings.eject_s * 2 ** min(self.ejections, 4)
        self.ejections += 1
        self.ejected_until_s = self.clock.now() + length_s
        return True
