"""Settings as the rest of the code sees them."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Section ``[instance]``: who and where this process is.

    Attributes
    ----------
    name : str
        Name of the instance on the platform's list.
    zone : str
        Its availability zone.
    host : str
        IP number that it listens on.
    http_port : int
        Port for callers and operators; 0 takes a free one.
    peer_port : int
        Port for peers; 0 takes a free one.
    notice_s : float
        Seconds after the start of a shutdown in which requests are still taken.
    grace_s : float
        Seconds that a shutdown waits for requests in flight.
    statsd : str
        ``host:port`` for metrics; empty sends none.
    log_level : str
        Lowest level logged.
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
    """Section ``[platform]``: where the platform answers.

    Attributes
    ----------
    address : str
        ``host:port`` of table service, object store and list.
    timeout_s : float
        Seconds that one call may take.
    connections : int
        Calls made at once at the most.
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
        An owner that does not renew for this long may be replaced.
    worker_lease_s : float
        A worker ends its attempts this long after the last renewal.
    detached_limit_s : float
        How long an owner that can't reach the store goes on commanding workers.
    drift : float
        Greatest relative difference between two clocks' rates.
    margin_s : float
        Added to every wait for a lease to lapse.
    tick_s : float
        Period of an owner's group commits.
    heartbeat_s : float
        Period of exchanges with a worker and of pings between peers.
    poll_s : float
        Period of reads of shard rows, inboxes and the settings' version.
    permit_s : float
        A start needs word this fresh of the settings' newest version.
    start_window_s : float
        A start that reaches its worker later than this is refused.
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
        """How long after its acceptance a zone-out has stopped all starts."""
        return self.permit_s + self.start_window_s + self.margin_s


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Section ``[scheduling]``.

    Attributes
    ----------
    shards_per_zone : int
        Shards that a zone's workers and jobs fall into; equal on all instances.
    assign_ahead : int
        Tasks assigned durably to a worker beyond its room.
    snapshot_entries : int
        Journal entries after which a snapshot is stored.
    placement : str
        Name of the placement policy: dominant, best_fit or first_fit.
    interference : str
        What is done to batch that slows a service: ladder (throttle, then move),
        evict, or off.
    refill_per_s : float
        Batch starts per worker and second after a zone has come back.
    """

    shards_per_zone: int = 1
    assign_ahead: int = 2
    snapshot_entries: int = 200
    placement: str = "dominant"
    interference: str = "ladder"
    refill_per_s: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Section ``[requests]``: how callers' requests are served.

    Attributes
    ----------
    slots_per_runner : int
        Requests that a runner executes at once.
    connections_per_runner : int
        Connections that a runner takes from all entry instances together.
    queue_limit : int
        Requests that wait for a runner at the most, for each service.
    team_limit : int
        Requests of one team in the system at once.
    timeout_s : float
        Deadline of a request that names none.
    max_body_bytes : int
        Largest request body.
    header_timeout_s : float
        Seconds that a caller may pause while it sends a body.
    retry_budget : float
        Retries and hedges, as a fraction of requests.
    hedge_after_s : float
        Age at which an idempotent request is sent a second time; 0 for never.
    keepalive_s : float
        Idle connections to runners are closed after this.
    eject_failures : int
        Failures in a row after which a runner is ejected.
    eject_s : float
        Seconds until an ejected runner is probed.
    key_keep_s : float
        Idempotency keys are forgotten after this.
    choice : str
        Name of the runner choice policy: two_choices, random or round_robin.
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
class Settings:
    """All settings of a process."""

    instance: InstanceSettings = field(default_factory=InstanceSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    timings: TimingSettings = field(default_factory=TimingSettings)
    scheduling: SchedulingSettings = field(default_factory=SchedulingSettings)
    requests: RequestSettings = field(default_factory=RequestSettings)
