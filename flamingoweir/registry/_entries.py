"""Data of announcements: queues, services, runners and maintenance waves."""

from dataclasses import dataclass, field

from ..customers import Customer
from ..jobs import QueuePolicy
from ..resources import Resources


@dataclass(frozen=True, slots=True)
class PlacementAdviceTimes:
    """Duration of a call for placement advice, and validity of its tickets.

    Attributes
    ----------
    call_s : float
        Seconds that every call takes.
    per_runner_s : float
        Additional seconds for each runner named in the call.
    ticket_valid_s : float
        Seconds for which a ticket is valid.
    """

    call_s: float
    per_runner_s: float
    ticket_valid_s: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue that accepts jobs.

    Attributes
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host header and path prefix of the requests that are for the queue.
    policy : QueuePolicy
        Scheduling policy of the queue's jobs.
    advice : PlacementAdviceTimes or None
        Times of placement advice; None if the queue's tasks need no tickets.
    public : bool
        Whether requests for the queue need no key, where customers have keys.
    """

    name: str
    host: str
    prefix: str
    policy: QueuePolicy
    advice: PlacementAdviceTimes | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of runners.

    Attributes
    ----------
    name : str
        Name of the service.
    standby : bool
        Whether the machines of the pool are switched off.
    """

    name: str
    standby: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes
    ----------
    version : int
        Number of the version; it increases with every change.
    queue_by_name : dict of str to Queue
        Queues that accept jobs.
    service_by_name : dict of str to Service
        Pools of runners.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    customer_by_name : dict of str to Customer
        Customers, who submit jobs under keys of their own.
    names_customers : bool
        Whether the configuration has a list of customers, which may be empty.
    """

    version: int
    queue_by_name: dict[str, Queue] = field(default_factory=dict)
    service_by_name: dict[str, Service] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    customer_by_name: dict[str, Customer] = field(default_factory=dict)
    names_customers: bool = False
    _customer_by_digest: dict[bytes, Customer] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        customer_by_digest = {}
        for customer in self.customer_by_name.values():
            for digest in customer.key_digests:
                customer_by_digest[digest] = customer
        object.__setattr__(self, "_customer_by_digest", customer_by_digest)

    def find_customer(self, digest: bytes) -> Customer | None:
        """Return the customer with the key of a digest, or None.

        Parameters
        ----------
        digest : bytes
            Result of `customers.digest_key`. The time of the look-up says nothing
            about a key, as close digests belong to unrelated keys.
        """
        return self._customer_by_digest.get(digest)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path, or None."""
        longest = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if longest is None or len(queue.prefix) > len(longest.prefix):
                longest = queue
        return longest


@dataclass(frozen=True, slots=True)
class RunnerEntry:
    """The entry by which a runner announces itself.

    Attributes
    ----------
    id : str
        Id of the runner.
    incarnation : int
        Incarnation of the runner: the time of its start, in milliseconds; 0 if the
        entry does not contain it.
    service, address, zone : str
        Service whose tasks the runner executes, ``host:port`` on which it listens,
        and its availability zone.
    draining : bool
        Whether the runner will shut down soon and takes no new tasks.
    drain_remaining_s : float or None
        Minimum seconds until a draining runner shuts down; None if unknown.
    capacity : Resources
        Total resources of the runner.
    labels : frozenset of str
        Kind and rack of the runner.
    rack : str
        Rack of the runner.
    machine : str
        Machine that the runner is an incarnation of; empty if not announced.
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
    """A set of machines that need maintenance.

    Attributes
    ----------
    number : int
        Number of the wave.
    machines : tuple of str
        Names of the machines.
    finish_by_s : float
        Seconds from the announcement within which the maintenance of all machines
        must have started.
    max_down : int
        Maximum number of machines that may be down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    finish_by_s: float
    max_down: int
