"""The settings file that the platform writes."""

import tomllib

import pydantic
from pydantic import Field

from ..settings import FleetSettings, SettingsError
from ._model import WireModel

SETTINGS_VARIABLE = "FLAMINGOWEIR_BOOT"


class ListenMessage(WireModel):
    """Addresses that the process listens on."""

    front: str
    ready: str
    control: str = ""


class BoundsMessage(WireModel):
    """Figures of the platform's rules that the code needs."""

    max_hold_ms: float = 10_000
    grace_s: float = 6.0
    stop_ms: float = 900.0
    far_x: float = 2.0
    early_ms: float = Field(default=250, alias="early_ms")
    status_s: float = Field(default=120, alias="status_s")
    upkeep_s: float = 2.0
    harm_ms: float = 4_000


class StoreMessage(WireModel):
    """Where the store answers."""

    address: str


class CloudMessage(WireModel):
    """Where machines are managed, and how often this may be asked."""

    address: str = ""
    rate_per_s: float = 0.0
    duty_per_s: float = 0.0


class SettingsMessage(WireModel):
    """The whole file, as far as it is used."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int] = Field(strict=False)
    advice: str = ""
    listen: ListenMessage
    policy_bounds: BoundsMessage = BoundsMessage()
    platform: StoreMessage = Field(alias="platform")
    cloud_api: CloudMessage = CloudMessage()


def load_platform_settings(path: str) -> FleetSettings:
    """Read the platform's settings file; raises SettingsError."""
    try:
        with open(path, "rb") as stream:
            fields = tomllib.load(stream)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    try:
        message = SettingsMessage.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{path}: {where}: {first['msg']}") from error
    bounds = message.policy_bounds
    return FleetSettings(
        name=message.node_name,
        host=message.ip,
        zone=message.zone,
        front_address=message.listen.front,
        ready_address=message.listen.ready,
        peer_port=message.port_range[0],
        metrics_port=message.port_range[1],
        store_address=message.platform.address,
        cloud_address=message.cloud_api.address,
        advice_address=message.advice,
        max_lease_s=bounds.max_hold_ms / 1000,
        grace_s=bounds.grace_s,
        stop_s=bounds.stop_ms / 1000,
        far_factor=bounds.far_x,
        retention_s=bounds.status_s,
        upkeep_s=bounds.upkeep_s,
        harm_s=bounds.harm_ms / 1000,
        cloud_rate=message.cloud_api.rate_per_s,
        duty_rate=message.cloud_api.duty_per_s,
    )
