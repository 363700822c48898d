"""Decodes the rows that operators and runners write to the platform's store.

Operators write the configuration, evacuated zones and maintenance waves; every
runner writes a row of its own.
"""

from typing import TypeVar

import pydantic
from pydantic import Field

from ..customers import Customer, digest_key
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
from ._model import Address, Count, Number, Text, WireModel

OPERATOR_TABLE = "op"
RUNNER_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"

DEFAULT_MAX_BODY_BYTES = 262_144

Message = TypeVar("Message", bound=WireModel)


class AdviceMessage(WireModel):
    """Durations of a call to the placement advice service, in milliseconds."""

    #: Duration of a call that names no runner.
    decide_ms: float = 0
    #: Additional duration for each runner that the call names.
    each_ms: float = 0
    #: How long the ticket from a call is valid.
    valid_ms: float = 0


class RouteMessage(WireModel):
    """Configuration of a queue, which the platform calls a route."""

    name: str
    host: str
    path_prefix: str
    service: str
    #: Queues with a lower number are served first.
    priority: int = 0
    max_attempts: int = 1
    #: Factor for the estimated critical path in the objective of a job.
    stretch: float = 1.0
    #: Time added to the stretched critical path in the objective of a job.
    target_latency_ms: float = 0
    #: Set if placement on this queue needs tickets of the advice service.
    advice: AdviceMessage | None = None
    #: Whether calls need no key of a customer.
    public: bool = False


class ServiceMessage(WireModel):
    """Configuration of a service, which is a pool of runners."""

    name: str
    #: Whether the machines of the service are switched off.
    standby: bool = False


class LimitsMessage(WireModel):
    """Limits on requests."""

    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


class CapacityMessage(WireModel):
    """Resources of a runner, or limits of a customer."""

    #: Processors, in thousandths of a core.
    cpu: Count = 0
    mem_mb: Count = 0
    #: Number of accelerators.
    gpu: Count = 0

    def to_resources(self) -> Resources:
        """Convert the message to `Resources`."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class TenantMessage(WireModel):
    """Configuration of a customer, whom the platform calls a tenant."""

    name: Text
    api_keys: list[str] = Field(default_factory=list)
    priority: int = 0
    weight: Number = 1.0
    #: Largest amounts that the customer may have running; 0: no limit.
    cap: CapacityMessage = CapacityMessage()


class ConfigMessage(WireModel):
    """Configuration of all queues, services and customers."""

    version: int
    routes: list[RouteMessage] = Field(default_factory=list)
    services: list[ServiceMessage] = Field(default_factory=list)
    limits: LimitsMessage = LimitsMessage()
    #: Customers; None in installations without customers.
    tenants: list[TenantMessage] | None = None


class RunnerMessage(WireModel):
    """Row that a runner writes about itself."""

    service: Text
    address: Address
    zone: Text
    state: str
    capacity: CapacityMessage
    #: Kind and rack of the runner, which steps can require. The last one is the rack.
    labels: list[str] = Field(default_factory=list)
    #: Shortest time that a draining runner still stays.
    remaining_ms: Number | None = None
    #: Start time in milliseconds, which identifies the runner's incarnation.
    born: Count = Field(default=0, alias="born")
    #: Machine that the runner is an incarnation of; empty if the row names none.
    machine: str = ""


class WaveMessage(WireModel):
    """Row that announces a wave of machine maintenance."""

    #: Number of the wave.
    wave: int
    machines: list[str]
    #: Seconds from the announcement until maintenance of all machines must have begun.
    finish_by_s: float
    #: Largest number of machines that may be down at once.
    cap: int


class PlatformRowDecoder:
    """Decode rows of operators and runners; implements `RowDecoder`."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a row holds the configuration."""
        return key == CONFIGURATION_KEY

    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration in a row, or None if the row holds something else.

        Raises
        ------
        UnreadableRow
            If the value is not a valid configuration.
        """
        if not self.is_configuration(key):
            return None
        message = _parse(ConfigMessage, value)
        queues = {}
        for route in message.routes:
            queues[route.name] = _decode_queue(route)
        services = {}
        for service in message.services:
            services[service.name] = Service(service.name, service.standby)
        customers = {}
        for tenant in message.tenants or ():
            customers[tenant.name] = _decode_customer(tenant)
        return Configuration(
            message.version,
            queues,
            services,
            message.limits.max_body_bytes,
            customers,
            message.tenants is not None,
        )

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the evacuated zone that a row names; None for any other row."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return key.removeprefix(EVACUATION_PREFIX)

    def decode_wave(self, key: str, value: bytes) -> MaintenanceWave | None:
        """Return a maintenance wave, or None if the row holds something else.

        Raises
        ------
        UnreadableRow
            If the value is not a valid wave.
        """
        if not key.startswith(WAVE_PREFIX):
            return None
        message = _parse(WaveMessage, value)
        return MaintenanceWave(
            message.wave, tuple(message.machines), message.finish_by_s, message.cap
        )

    def decode_runner(self, key: str, value: bytes) -> RunnerEntry:
        """Return the entry in a runner's row.

        Raises
        ------
        UnreadableRow
            If the value is not a valid entry.
        """
        message = _parse(RunnerMessage, value)
        if message.state not in ("ready", "draining"):
            raise UnreadableRow(
                f"unknown runner state {message.state!r}; use 'ready' or 'draining'"
            )
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
    return Queue(
        route.name, route.host, route.path_prefix, policy, advice, route.public
    )


def _decode_customer(tenant: TenantMessage) -> Customer:
    return Customer(
        tenant.name,
        frozenset(digest_key(key) for key in tenant.api_keys),
        tenant.weight,
        tenant.cap.to_resources(),
        tenant.priority,
    )


def _parse(message_type: type[Message], value: bytes) -> Message:
    try:
        return message_type.model_validate_json(value)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"])
        raise UnreadableRow(f"{location}: {first['msg']}") from error
