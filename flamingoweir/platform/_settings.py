"""Reads the settings file that the platform writes for an instance."""

import tomllib

import pydantic
from pydantic import Field

from ..settings import FleetSettings, SettingsError
from ..storage import DEFAULT_MAX_ROW_BYTES
from ._model import WireModel

#: Environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = "FLAMINGOWEIR_BOOT"

#: Name of the set of rules on customers and their keys.
CUSTOMERS_POLICY = "tenants"


class ListenMessage(WireModel):
    """Addresses that the process listens on, as ``host:port``."""

    #: Address for job submitters.
    front: str
    #: Address for the load balancer's readiness checks.
    ready: str
    #: Not used.
    control: str = ""


class BoundsMessage(WireModel):
    """Limits that the platform sets."""

    #: Longest lease that a runner grants.
    max_hold_ms: float = 10_000
    #: Time between SIGTERM and SIGKILL.
    grace_s: float = 6.0
    #: Whether withdrawn keys must not work `revoke_ms` after their withdrawal.
    strict_revoke: bool = False
    revoke_ms: float = 5000
    #: Time within which an instance must apply a new configuration.
    config_apply_ms: float = 3_000


class LimitsMessage(WireModel):
    """Resources of the instance's machine."""

    #: Share of a core that the process gets.
    cpu_share: float = 1.0
    #: Number by which the speed of that share is multiplied.
    cores: float = 1.0
    #: Memory of a process that exceeds it and is killed.
    memory_mb: float = 300.0
    #: Largest number of file descriptors of a process.
    max_fds: int = 1_024


class StoreMessage(WireModel):
    """The platform's store."""

    #: Address, as ``host:port``.
    address: str
    #: Largest size of a row's value.
    row_bytes: int = DEFAULT_MAX_ROW_BYTES


class SettingsMessage(WireModel):
    """Contents of the settings file; keys that are not listed here are ignored."""

    #: Name of the instance.
    node_name: str
    #: IP address that the instance listens on.
    ip: str
    zone: str
    #: Ports for peers and for metrics.
    port_range: tuple[int, int] = Field(strict=False)
    listen: ListenMessage
    limits: LimitsMessage = LimitsMessage()
    policy_bounds: BoundsMessage = BoundsMessage()
    #: Names of the sets of rules that are in force.
    policies: list[str] = Field(default_factory=list)
    #: Location of the platform's store.
    platform: StoreMessage = Field(alias="platform")


def load_platform_settings(path: str) -> FleetSettings:
    """Read the platform's settings file.

    Parameters
    ----------
    path : str
        Path of a TOML file.

    Returns
    -------
    FleetSettings
        Settings of the instance.

    Raises
    ------
    SettingsError
        If the file can't be read or a value is missing or invalid.
    """
    try:
        with open(path, "rb") as stream:
            fields = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(
            f"{path}: can't read the settings file: {error}; "
            "set FLAMINGOWEIR_BOOT to the path of a TOML file"
        ) from error
    try:
        message = SettingsMessage.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{path}: {location}: {first['msg']}") from error
    bounds = message.policy_bounds
    revoke_s = bounds.revoke_ms / 1000 if bounds.strict_revoke else None
    return FleetSettings(
        name=message.node_name,
        host=message.ip,
        zone=message.zone,
        front_address=message.listen.front,
        ready_address=message.listen.ready,
        peer_port=message.port_range[0],
        metrics_port=message.port_range[1],
        store_address=message.platform.address,
        max_lease_s=bounds.max_hold_ms / 1000,
        grace_s=bounds.grace_s,
        processors=message.limits.cpu_share * message.limits.cores,
        memory_mb=message.limits.memory_mb,
        descriptors=message.limits.max_fds,
        customers=CUSTOMERS_POLICY in message.policies,
        revoke_s=revoke_s,
        config_apply_s=bounds.config_apply_ms / 1000,
        max_row_bytes=message.platform.row_bytes,
    )
