"""Settings of an instance that runs on a platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Identity, addresses and platform limits of an instance.

    Attributes
    ----------
    name : str
        Name of the instance.
    host : str
        IP address that the instance listens on.
    zone : str
        Availability zone of the instance.
    front_address : str
        Address that the instance serves job submitters on, as ``host:port``.
    ready_address : str
        Address that the instance serves the load balancer's checks on, as
        ``host:port``.
    peer_port : int
        Port for other instances.
    metrics_port : int
        Port for metrics.
    store_address : str
        Address of the platform's store, as ``host:port``.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    grace_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    processors : float
        Processors that the instance may use; a share of one counts as a fraction.
    memory_mb : float
        Memory that the instance may use, in megabytes.
    descriptors : int
        Largest number of file descriptors that the instance may have open.
    customers : bool
        Whether requests for queues that are not public need a customer's key.
    revoke_s : float or None
        Seconds after the confirmation of a configuration without a key from which no
        request with that key may succeed; None: no limit.
    config_apply_s : float
        Seconds after the confirmation of a configuration within which an instance that
        can reach the store must apply it.
    max_row_bytes : int
        Largest size of a row in the platform's store, in bytes.
    """

    name: str
    host: str
    zone: str
    front_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    max_lease_s: float = 10.0
    grace_s: float = 6.0
    processors: float = 1.0
    memory_mb: float = 300.0
    descriptors: int = 1_024
    customers: bool = False
    revoke_s: float | None = None
    config_apply_s: float = 3.0
    max_row_bytes: int = 65_536
