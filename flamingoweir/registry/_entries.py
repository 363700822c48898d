"""What operators and runners announce: queues, services, runners, zones, waves."""

from dataclasses import dataclass, field

from ..jobs import QueuePolicy
from ..resources import Resources


@dataclass(frozen=True, slots=True)
class PlacementAdviceTimes:
    """What a call for placement advice costs and how long its tickets last.

    Attributes
    ----------
    call_s : float
        Seconds that a call takes.
    per_runner_s : float
        Seconds more for each runner named.
    ticket_valid_s : float
        Seconds that a ticket is valid.
    """

    call_s: float
    per_runner_s: float
    ticket_valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that takes jobs.

    Attributes
    ----------
    name : str
        Its name.
    host, prefix : str
        Host header and beginning of the path that select it.
    policy : QueuePolicy
        How its jobs are treated.
    advice : PlacementAdviceTimes or None
        Set if its tasks need tickets.
    """

    name: str
    host: str
    prefix: str
    policy: QueuePolicy
    advice: PlacementAdviceTimes | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of runners.

    Attributes
    ----------
    name : str
        Its name.
    standby : bool
        Whether its machines are switched off.
    """

    name: str
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what operators have configured.

    Attributes
    ----------
    version : int
        Rises with every change.
    queues_by_name : dict of str to Queue
        The queues.
    services_by_name : dict of str to Service
        The services.
    max_body_bytes : int
        Largest request body that is taken.
    """

    version: int
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    services_by_name: dict[str, Service] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that fits, or None."""
        found = None
        for queue in self.queues_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found


@dataclass(frozen=True, slots=True)
class RunnerEntry:
    """What a runner says of itself.

    Attributes
    ----------
    id : str
        Its id.
    incarnation : int
        Its incarnation: the millisecond of its start.
    service, address, zone : str
        What it runs for, where it listens, where it is.
    draining : bool
        Whether it is about to leave.
    drain_remaining_s : float or None
        Seconds that are left at least, while it drains.
    capacity : Resources
        What it has.
    labels : frozenset of str
        Its kind and its rack.
    rack : str
        Its rack.
    machine : str
        The machine that it is a life of; empty if it doesn't say.
    """

    id: str
    incarnation: int
    service: str
    address: str
    zone: str
    draining: bool = False
    drain_remaining_s: float | None = None
    capacity: Resources = Resources()
    labels: frozenset[str] = frozenset()
    rack: str = ""
    machine: str = ""


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Machines that need upkeep.

    Attributes
    ----------
    number : int
        The wave.
    machines : tuple of str
        The machines.
    finish_by_s : float
        Seconds within which all must have begun.
    max_down : int
        How many may be down at once.
    """

    number: int
    machines: tuple[str, ...]
    finish_by_s: float
    max_down: int
