"""The settings file that the platform writes."""

import tomllib

import pydantic
from pydantic import Field

from ..settings import FleetSettings, SettingsError
from ._model import WireModel

SETTINGS_PATH_VARIABLE = "FLAMINGOWEIR_BOOT"


class ListenMessage(WireModel):
    """Addresses that the process listens on."""

    front: str
    ready: str
    control: str = ""


class BoundsMessage(WireModel):
    """Figures of the platform's rules that the code needs."""

    max_hold_ms: float = 10_000
    grace_s: float = 6.0


class StoreMessage(WireModel):
    """Where the store answers."""

    address: str


class SettingsMessage(WireModel):
    """The whole file, as far as it is used."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int] = Field(strict=False)
    listen: ListenMessage
    policy_bounds: BoundsMessage = BoundsMessage()
    platform: StoreMessage = Field(alias="platform")


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
        max_lease_s=bounds.max_hold_ms / 1000,
        grace_s=bounds.grace_s,
    )
