"""Settings of an instance that schedules for a platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Where an instance is, whom it talks to, and the platform's bounds.

    Attributes
    ----------
    name, host, zone : str
        The instance, the IP number that it listens on, its availability zone.
    front_address, ready_address : str
        ``host:port`` for submitters and for the balancer's checks.
    peer_port, metrics_port : int
        Ports for peers and for metrics and state dumps.
    store_address : str
        ``host:port`` of the platform's store.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
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
