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
    cloud_address, advice_address : str
        ``host:port`` of the services that manage machines and advise on placement;
        empty: there is none.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
    stop_s : float
        Seconds that stopping a task takes at the most.
    far_factor : float
        How much longer a task takes away from its data or across racks.
    retention_s : float
        Seconds for which the state of an ended job is told.
    upkeep_s : float
        Seconds for which a machine is down for upkeep.
    harm_s : float
        Seconds for which a serving task may be over its target.
    cloud_rate, duty_rate : float
        Readings and changes of machines that all instances may make a second.
    """

    name: str
    host: str
    zone: str
    front_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    cloud_address: str = ""
    advice_address: str = ""
    max_lease_s: float = 10.0
    grace_s: float = 6.0
    stop_s: float = 0.9
    far_factor: float = 2.0
    retention_s: float = 120.0
    upkeep_s: float = 2.0
    harm_s: float = 4.0
    cloud_rate: float = 0.0
    duty_rate: float = 0.0
