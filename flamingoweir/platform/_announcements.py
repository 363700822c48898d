"""Rows that operators and runners write: configuration, zones, waves, runners."""

from typing import TypeVar

import pydantic
from pydantic import Field

from ..jobs import QueuePolicy
from ..registry import (
    Configuration,
    MaintenanceWave,
    PlacementAdviceTimes,
    Queue,
    RunnerEntry,
    Service,
    UnreadableRow,
)
from ..resources import Resources
from ._model import WireModel

OPERATOR_TABLE = "op"
RUNNER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"

DEFAULT_MAX_BODY_BYTES = 262_144

Message = TypeVar("Message", bound=WireModel)


class AdviceMessage(WireModel):
    """What a call for advice costs, in milliseconds."""

    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class RouteMessage(WireModel):
    """A queue; the wire calls it a route and its objective a latency target."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0
    advice: AdviceMessage | None = None


class ServiceMessage(WireModel):
    """A pool of runners."""

    name: str
    standby: bool = False


class LimitsMessage(WireModel):
    """Limits on requests."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class ConfigMessage(WireModel):
    """The whole configuration."""

    version: int
    routes: list[RouteMessage] = Field(default_factory=list)
    services: list[ServiceMessage] = Field(default_factory=list)
    limits: LimitsMessage = LimitsMessage()


class CapacityMessage(WireModel):
    """Room; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def to_resources(self) -> Resources:
        """Return the amounts in our type."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class RunnerMessage(WireModel):
    """A runner's entry; ``born`` is the millisecond of its start."""

    service: str
    address: str
    zone: str
    state: str
    capacity: CapacityMessage
    labels: list[str] = Field(default_factory=list)
    remaining_ms: float | None = None
    born: int = Field(default=0, alias="born")
    machine: str = ""


class WaveMessage(WireModel):
    """Machines that need upkeep; ``finish_by_s`` counts from its announcement."""

    wave: int
    machines: list[str]
    finish_by_s: float
    cap: int


class PlatformRowDecoder:
    """Reads rows of operators and runners; see `RowDecoder`."""

    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """See `RowDecoder.decode_configuration`."""
        if key != CONFIGURATION_KEY:
            return None
        message = _parse(ConfigMessage, value)
        queues = {}
        for route in message.routes:
            queues[route.name] = _decode_queue(route)
        services = {}
        for service in message.services:
            services[service.name] = Service(service.name, service.standby)
        return Configuration(
            message.version, queues, services, message.limits.max_body_bytes
        )

    def decode_evacuated_zone(self, key: str) -> str | None:
        """See `RowDecoder.decode_evacuated_zone`."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)

    def decode_wave(self, key: str, value: bytes) -> MaintenanceWave | None:
        """See `RowDecoder.decode_wave`."""
        if not key.startswith(WAVE_PREFIX):
            return None
        message = _parse(WaveMessage, value)
        return MaintenanceWave(
            message.wave, tuple(message.machines), message.finish_by_s, message.cap
        )

    def decode_runner(self, key: str, value: bytes) -> RunnerEntry:
        """See `RowDecoder.decode_runner`."""
        message = _parse(RunnerMessage, value)
        if message.state not in ("ready", "draining"):
            raise UnreadableRow(f"unknown state {message.state!r}")
        remaining = message.remaining_ms
        return RunnerEntry(
            id=key,
            incarnation=message.born,
            service=message.service,
            address=message.address,
            zone=message.zone,
            draining=message.state == "draining",
            drain_remaining_s=None if remaining is None else remaining / 1000,
            capacity=message.capacity.to_resources(),
            labels=frozenset(message.labels),
            rack=message.labels[-1] if message.labels else "",
            machine=message.machine,
        )


def _decode_queue(route: RouteMessage) -> Queue:
    advice = None
    if route.advice is not None:
        advice = PlacementAdviceTimes(
            route.advice.decide_ms / 1000,
            route.advice.each_ms / 1000,
            route.advice.valid_ms / 1000,
        )
    policy = QueuePolicy(
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / 1000,
        advice is not None,
    )
    return Queue(route.name, route.host, route.path_prefix, policy, advice)


def _parse(kind: type[Message], value: bytes) -> Message:
    try:
        return kind.model_validate_json(value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise UnreadableRow(f"{where}: {first['msg']}") from error
