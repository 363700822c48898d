"""Dataclasses of the settings, one for each section of the settings file."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: identity and addresses of this process.

    Attributes
    ----------
    name : str
        Name of the instance in the platform's instance list.
    zone : str
        Availability zone of the instance.
    host : str
        IP address that the instance listens on.
    http_port : int
        Port for callers and operators; 0 chooses a free port.
    peer_port : int
        Port for other instances; 0 chooses a free port.
    grace_s : float
        Seconds that a shutdown waits for requests in flight.
    notice_s : float
        Seconds after the start of a shutdown in which the instance still accepts
        requests.
    statsd : str
        Address that metrics are sent to, as ``host:port``; empty sends none.
    log_level : str
        Lowest level that is logged: debug, info, warning or error.
    """

    name: str = "entry-1"
    zone: str = "zone-1"
    host: str = "127.0.0.1"
    http_port: int = 8080
    peer_port: int = 8081
    grace_s: float = 30.0
    notice_s: float = 1.0
    statsd: str = ""
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Section ``[platform]``: connection to the platform.

    Attributes
    ----------
    address : str
        Address of the table service, the object store and the instance list, as
        ``host:port``.
    timeout_s : float
        Timeout of a call, in seconds.
    connections : int
        Largest number of concurrent calls.
    """

    address: str = "127.0.0.1:8090"
    timeout_s: float = 2.0
    connections: int = 4


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Section ``[timings]``: leases, margins and periods, in seconds.

    Attributes
    ----------
    shard_lease_s : float
        Length of a shard's lease. Another instance may replace an owner that has not
        renewed the lease for this long.
    worker_lease_s : float
        Length of a worker's lease. A worker ends its attempts this long after the last
        renewal.
    detached_limit_s : float
        How long an owner that can't reach the store continues to send commands to
        workers.
    drift : float
        Largest relative difference between the rates of two clocks; below 0.5.
    margin_s : float
        Margin that is added to every wait for the end of a lease.
    tick_s : float
        Period of an owner's group commits.
    heartbeat_s : float
        Period of exchanges with a worker and of pings between instances.
    poll_s : float
        Period of reads of shard rows, inboxes and the version of the settings tree.
    permit_s : float
        Largest age of the last confirmation that no newer version of the settings tree
        exists. When it is older, no task is started.
    start_window_s : float
        Time in which a start command must reach its worker. The worker refuses a later
        one.
    """

    shard_lease_s: float = 6.0
    worker_lease_s: float = 10.0
    detached_limit_s: float = 600.0
    drift: float = 0.01
    margin_s: float = 0.5
    tick_s: float = 0.05
    heartbeat_s: float = 1.0
    poll_s: float = 0.5
    permit_s: float = 2.5
    start_window_s: float = 2.0

    @property
    def zone_out_bound_s(self) -> float:
        """Seconds from the acceptance of a zone-out until all starts have stopped."""
        return self.permit_s + self.start_window_s + self.margin_s


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Section ``[scheduling]``: shards, task placement and interference control.

    Attributes
    ----------
    shards_per_zone : int
        Number of shards that the workers and jobs of a zone are divided into. It must
        be the same on all instances.
    assign_ahead : int
        Number of tasks that are assigned durably to a worker in addition to those
        that its free resources can run.
    snapshot_entries : int
        Number of journal entries after which a snapshot is stored.
    placement : str
        Name of the placement policy: dominant, best_fit or first_fit.
    interference : str
        Action on batch tasks that slow down a service: ladder (throttle, then move),
        evict, or off.
    refill_per_s : float
        Limit on batch starts per worker and second after a zone is open again.
    """

    shards_per_zone: int = 1
    assign_ahead: int = 2
    snapshot_entries: int = 200
    placement: str = "dominant"
    interference: str = "ladder"
    refill_per_s: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Section ``[requests]``: routing of callers' requests to runners.

    Attributes
    ----------
    slots_per_runner : int
        Number of requests that a runner executes at once.
    connections_per_runner : int
        Number of connections that a runner accepts from all entry instances together.
    queue_limit : int
        Largest number of requests of a service that wait for a runner.
    team_limit : int
        Largest number of requests of a team in flight, if the team has no quota.
    timeout_s : float
        Timeout of a request that does not name one, in seconds.
    max_body_bytes : int
        Largest request body, in bytes.
    header_timeout_s : float
        Longest pause of a caller while it sends a body, in seconds.
    retry_budget : float
        Largest number of retries and hedged requests, as a fraction of all requests.
    hedge_after_s : float
        Age in seconds at which an idempotent request is sent to a second runner; 0
        disables this.
    keepalive_s : float
        Seconds after which an idle connection to a runner is closed.
    eject_failures : int
        Number of consecutive failures after which a runner is ejected.
    eject_s : float
        Seconds after which an ejected runner is probed.
    key_keep_s : float
        Seconds for which idempotency keys are kept.
    choice : str
        Name of the policy that chooses a runner: two_choices, random or round_robin.
    """

    slots_per_runner: int = 8
    connections_per_runner: int = 64
    queue_limit: int = 256
    team_limit: int = 512
    timeout_s: float = 10.0
    max_body_bytes: int = 16_777_216
    header_timeout_s: float = 10.0
    retry_budget: float = 0.1
    hedge_after_s: float = 0.0
    keepalive_s: float = 4.0
    eject_failures: int = 5
    eject_s: float = 5.0
    key_keep_s: float = 86_400.0
    choice: str = "two_choices"


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Section ``[limits]``: what the connections of all clients may take.

    Attributes
    ----------
    memory_mb : float
        Memory of the machine for this process, in megabytes. Open connections and what
        they hold may take a tenth of it each.
    descriptors : int
        Largest number of open file descriptors; 0: the limit of the process.
    head_bytes : int
        Largest head of a request, chunk header or trailers, in bytes.
    idle_s : float
        Seconds after which a connection without a request is closed.
    head_s : float
        Seconds that a head may take.
    body_s : float
        Seconds that each 64 KiB of a body may take.
    response_s : float
        Seconds that a client may take for the buffered part of a response.
    """

    memory_mb: float = 160.0
    descriptors: int = 0
    head_bytes: int = 32_768
    idle_s: float = 75.0
    head_s: float = 10.0
    body_s: float = 30.0
    response_s: float = 30.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process, one attribute for each section."""

    instance: InstanceSettings = field(default_factory=InstanceSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    timings: TimingSettings = field(default_factory=TimingSettings)
    scheduling: SchedulingSettings = field(default_factory=SchedulingSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
