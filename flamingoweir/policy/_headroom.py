"""Processors that new long-running tasks leave to batch work.

Answers the load at which long-running jobs ask for almost the whole fleet. Each of them
holds its resources for minutes, so that batch, which needs them for seconds, would wait
until its value is gone, and a long-running task that fails or loses its runner would
find no room. A small share of the fleet is kept for both; tasks on spare processors use
it meanwhile.
"""

from collections.abc import Mapping
from dataclasses import dataclass

#: Fraction of the fleet that is kept free in any case, for long-running tasks that have
#: to move.
MIN_SHARE = 0.05
#: Largest fraction of the fleet that is kept for batch.
MAX_SHARE = 0.15
#: Fraction of the fleet up to which long-running tasks are always placed.
UNLIMITED_SHARE = 0.5
#: Seconds in which the remembered peak of the demand halves.
PEAK_HALF_LIFE_S = 10.0
#: Seconds after which a long-running step is placed whatever batch may need.
MAX_WAIT_S = 60.0


@dataclass(slots=True)
class ServiceLoad:
    """Load of the usable runners of a service, in thousandths of processors.

    Attributes
    ----------
    capacity_milli : int
        Capacity of the runners.
    lasting_milli : int
        Reserved by long-running tasks.
    batch_milli : int
        Reserved by batch, or needed by batch that waits.
    """

    capacity_milli: int = 0
    lasting_milli: int = 0
    batch_milli: int = 0


class BatchHeadroom:
    """Limits new long-running tasks by what batch of the same service needs."""

    def __init__(self) -> None:
        self._load_by_service: dict[str, ServiceLoad] = {}
        self._peak_milli_by_service: dict[str, float] = {}
        self._updated_s = 0.0

    def update(self, load_by_service: Mapping[str, ServiceLoad], now_s: float) -> None:
        """Record the load, by service.

        Parameters
        ----------
        load_by_service : mapping of str to ServiceLoad
            The load of each service.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        kept = 0.5 ** ((now_s - self._updated_s) / PEAK_HALF_LIFE_S)
        self._updated_s = now_s
        self._load_by_service = dict(load_by_service)
        peaks = {}
        for service, load in load_by_service.items():
            peak_milli = kept * self._peak_milli_by_service.get(service, 0.0)
            peaks[service] = max(peak_milli, load.batch_milli)
        self._peak_milli_by_service = peaks

    def record_placed(self, service: str, demand_milli: int) -> None:
        """Record that a long-running task was placed since the last update."""
        load = self._load_by_service.get(service)
        if load is not None:
            load.lasting_milli += demand_milli

    def allows(self, service: str, demand_milli: int, waited_s: float) -> bool:
        """Return whether a new long-running task may be placed.

        Parameters
        ----------
        service : str
            Service whose runners run the task.
        demand_milli : int
            Thousandths of processors that the task reserves.
        waited_s : float
            Seconds for which its step has been ready.
        """
        load = self._load_by_service.get(service)
        if load is None or waited_s > MAX_WAIT_S:
            return True
        if load.lasting_milli < UNLIMITED_SHARE * load.capacity_milli:
            return True
        kept_milli = min(
            max(self._peak_milli_by_service[service], MIN_SHARE * load.capacity_milli),
            MAX_SHARE * load.capacity_milli,
        )
        left_milli = load.capacity_milli - load.lasting_milli - demand_milli
        return left_milli >= kept_milli
