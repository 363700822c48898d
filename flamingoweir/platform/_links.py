"""Builds the adapter's objects from the settings."""

from ..links import PlatformLinks
from ..settings import FleetSettings
from ._row_decoder import OPERATOR_TABLE, RUNNER_TABLE, PlatformRowDecoder
from ._runners import PlatformRunnerLink
from ._store import PlatformStore


def connect_platform(settings: FleetSettings) -> PlatformLinks:
    """Return the store, row decoder and runner connections of a platform.

    Parameters
    ----------
    settings : FleetSettings
        Settings that hold the address of the platform's store.

    Returns
    -------
    PlatformLinks
        Objects that open their connections on first use.
    """
    return PlatformLinks(
        PlatformStore(settings.store_address, settings.max_row_bytes),
        PlatformStore(settings.store_address, settings.max_row_bytes),
        PlatformRowDecoder(),
        OPERATOR_TABLE,
        RUNNER_TABLE,
        lambda entry: PlatformRunnerLink(entry.id, entry.address),
    )
