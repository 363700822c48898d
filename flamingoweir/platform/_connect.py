"""Joins the adapters of one platform."""

from ..links import PlatformLinks
from ..settings import FleetSettings
from ._announcements import OPERATOR_TABLE, RUNNER_TABLE, PlatformRowDecoder
from ._runners import PlatformRunnerLink
from ._store import PlatformStore


def connect_platform(settings: FleetSettings) -> PlatformLinks:
    """Return the ways to the platform that the settings name."""
    return PlatformLinks(
        PlatformStore(settings.store_address),
        PlatformRowDecoder(),
        OPERATOR_TABLE,
        RUNNER_TABLE,
        lambda entry: PlatformRunnerLink(entry.id, entry.address),
    )
