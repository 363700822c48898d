"""Builders of test data."""

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
    return Resources(round(processors * 1000), memory_mb, accelerators)


def make_spec(**fields) -> JobSpec:
    fields.setdefault("id", "rounds")
    fields.setdefault("team", "planning")
    fields.setdefault("tasks", 4)
    fields.setdefault("needs", make_resources(2))
    fields.setdefault("zones", list(ZONES))
    fields.setdefault("kind", JobKind.BATCH)
    return JobSpec(**fields)


def make_worker(name: str, zone: str = ZONES[0], **fields) -> Instance:
    fields.setdefault("capacity", make_resources(8, 32_000))
    fields.setdefault("rack", "rack-1")
    fields.setdefault("address", "127.0.0.1:1")
    return Instance(name, InstanceKind.WORKER, zone, **fields)


def make_entry(name: str, zone: str = ZONES[0]) -> Instance:
    return Instance(name, InstanceKind.ENTRY, zone, "", name)


def make_runner(name: str, zone: str = ZONES[0], **fields) -> Instance:
    fields.setdefault("rack", "rack-1")
    fields.setdefault("address", "127.0.0.1:1")
    fields.setdefault("service", "quotes")
    return Instance(name, InstanceKind.RUNNER, zone, **fields)


def make_settings(name: str = "entry-1", zone: str = ZONES[0], **sections) -> Settings:
    sections.setdefault("timings", make_timings())
    return Settings(
        instance=InstanceSettings(name=name, zone=zone),
        timings=sections["timings"],
        scheduling=sections.get("scheduling", SchedulingSettings()),
        requests=sections.get("requests", RequestSettings()),
    )


def make_timings(**fields) -> TimingSettings:
    fields.setdefault("detached_limit_s", 60.0)
    return TimingSettings(**fields)
