"""Builders of specs, instances and settings with defaults for tests."""

from flamingoweir.resources import Resources
from flamingoweir.scheduling import JobKind, JobSpec
from flamingoweir.settings import (
    InstanceSettings,
    RequestSettings,
    SchedulingSettings,
    Settings,
    TimingSettings,
)
from flamingoweir.storage import Instance, InstanceKind

ZONES = ("gwynedd", "powys", "morgannwg")


def make_resources(
    processors: float = 1, memory_mb: int = 0, accelerators: int = 0
) -> Resources:
    """Return resources, given whole or fractional processors."""
    return Resources(round(processors * 1000), memory_mb, accelerators)


def make_spec(**fields) -> JobSpec:
    """Return a batch job of 4 tasks with 2 processors each, unless given."""
    fields.setdefault("id", "rounds")
    fields.setdefault("team", "planning")
    fields.setdefault("tasks", 4)
    fields.setdefault("needs", make_resources(2))
    fields.setdefault("zones", list(ZONES))
    fields.setdefault("kind", JobKind.BATCH)
    return JobSpec(**fields)


def make_worker(name: str, zone: str = ZONES[0], **fields) -> Instance:
    """Return a worker with 8 processors and 32 000 MB, unless given."""
    fields.setdefault("capacity", make_resources(8, 32_000))
    fields.setdefault("rack", "rack-1")
    fields.setdefault("address", "127.0.0.1:1")
    return Instance(name, InstanceKind.WORKER, zone, **fields)


def make_entry(name: str, zone: str = ZONES[0]) -> Instance:
    """Return an entry instance whose address is its name."""
    return Instance(name, InstanceKind.ENTRY, zone, "", name)


def make_runner(name: str, zone: str = ZONES[0], **fields) -> Instance:
    """Return a runner of service ``quotes``, unless given."""
    fields.setdefault("rack", "rack-1")
    fields.setdefault("address", "127.0.0.1:1")
    fields.setdefault("service", "quotes")
    return Instance(name, InstanceKind.RUNNER, zone, **fields)


def make_settings(name: str = "entry-1", zone: str = ZONES[0], **sections) -> Settings:
    """Return the settings of an instance; `sections` replace whole sections."""
    sections.setdefault("timings", make_timings())
    return Settings(
        instance=InstanceSettings(name=name, zone=zone),
        timings=sections["timings"],
        scheduling=sections.get("scheduling", SchedulingSettings()),
        requests=sections.get("requests", RequestSettings()),
    )


def make_timings(**fields) -> TimingSettings:
    """Return timings with a detached limit of 60 s, unless given."""
    fields.setdefault("detached_limit_s", 60.0)
    return TimingSettings(**fields)
