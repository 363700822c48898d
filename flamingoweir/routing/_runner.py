"""One runner as this instance knows it."""

from dataclasses import dataclass

from ..clock import Clock
from ..settings import RequestSettings
from ..storage import Instance
from ._runner_http import RunnerLink

LOAD_FRESH_S = 1.0
LATENCY_WEIGHT = 0.1
LEAVING_WORD_S = 30.0


@dataclass(slots=True)
class Runner:
    """A runner, what it has of ours in flight, and how it has answered.

    Attributes
    ----------
    instance : Instance
        The runner.
    link : RunnerLink
        The way to it.
    in_flight : int
        Requests of this instance that it has.
    reported_load : int
        Requests of all instances that it said it had.
    load_s : float
        When it said so.
    latency_s : float
        Smoothed time to the head of its answers.
    failures : int
        Failures since its last whole answer.
    ejected_until_s : float
        When it may be probed, if it is ejected.
    ejections : int
        Ejections since its last whole answer.
    leaving_until_s : float
        Until when its word that it is leaving counts; it may come back.
    """

    instance: Instance
    link: RunnerLink
    clock: Clock
    settings: RequestSettings
    in_flight: int = 0
    reported_load: int = 0
    load_s: float = float("-inf")
    latency_s: float = 0.0
    failures: int = 0
    ejected_until_s: float = float("-inf")
    ejections: int = 0
    leaving_until_s: float = float("-inf")

    def is_leaving(self) -> bool:
        """Return whether it gets nothing new, by its own word or the platform's."""
        return self.instance.leaving or self.clock.now() < self.leaving_until_s

    def note_leaving(self) -> None:
        """Take the runner's word that it is leaving."""
        self.leaving_until_s = self.clock.now() + LEAVING_WORD_S

    def is_ejected(self) -> bool:
        """Return whether it gets nothing because it fails.

        When the ejection ends, one request at a time probes it.
        """
        if not self.ejections:
            return False
        if self.clock.now() < self.ejected_until_s:
            return True
        return self.in_flight > 0

    def has_room(self, instances: int) -> bool:
        """Return whether one more request may be sent.

        Parameters
        ----------
        instances : int
            Entry instances that share the runner. Each has an even share of the
            connections; beyond an even share of the slots, requests are sent only
            while the runner says that slots are free.
        """
        connections = max(1, self.settings.connections_per_runner // instances)
        if self.in_flight >= connections:
            return False
        slots = self.settings.slots_per_runner
        share = max(1, -(-slots // instances))
        return self.in_flight < share or self.expected_load() < slots

    def expected_load(self) -> int:
        """Return how many requests it probably has, by its last word and ours."""
        if self.clock.now() - self.load_s > LOAD_FRESH_S:
            return self.in_flight
        return max(self.reported_load, self.in_flight)

    def note_sent(self) -> None:
        """Count a request."""
        self.in_flight += 1
        self.reported_load += 1

    def note_over(self) -> None:
        """Count a request as over."""
        self.in_flight -= 1
        self.reported_load = max(0, self.reported_load - 1)

    def note_head(self, latency_s: float, load: int | None) -> None:
        """Take an answer's head into account."""
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
        if load is not None:
            self.reported_load = load
            self.load_s = self.clock.now()

    def note_given_up(self, waited_s: float) -> None:
        """Take a try without an answer into account: it was at least that slow."""
        if waited_s > self.latency_s:
            self.latency_s += LATENCY_WEIGHT * (waited_s - self.latency_s)

    def note_success(self) -> None:
        """Forget failures after a whole answer."""
        self.failures = 0
        self.ejections = 0

    def note_failure(self) -> bool:
        """Count a failure; return whether it leads to an ejection."""
        self.failures += 1
        limit = 1 if self.ejections else self.settings.eject_failures
        if self.failures < limit:
            return False
        self.failures = 0
        length_s = self.settings.eject_s * 2 ** min(self.ejections, 4)
        self.ejections += 1
        self.ejected_until_s = self.clock.now() + length_s
        return True
