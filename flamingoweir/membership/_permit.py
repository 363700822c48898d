"""Permit to start tasks, based on how recently the settings were confirmed.

An instance may start a task only if, at some time within the last few seconds, no newer
settings than its own had been accepted. A read of the store confirms this, or a peer's
report of such a read, or an outage in which no instance reaches the store: without the
store no change is accepted. See docs/design/0004-start-permit.md.
"""

from typing import TYPE_CHECKING

from ..clock import Clock
from ..settings import TimingSettings
from ..storage import InstanceKind
from ..tree import TreeStore
from ._directory import Directory

if TYPE_CHECKING:
    from ._peers import Peers

NEVER_S = float("-inf")


class StartPermit:
    """Permit of this instance to start tasks.

    Parameters
    ----------
    store : TreeStore
        Settings tree of this instance.
    peers : Peers
        Peers of this instance.
    directory : Directory
        The platform's list of instances.
    clock : Clock
        Monotonic clock of this instance.
    timings : TimingSettings
        Duration of a permit and the drift of clocks.
    """

    def __init__(
        self,
        store: TreeStore,
        peers: "Peers",
        directory: Directory,
        clock: Clock,
        timings: TimingSettings,
    ):
        self._store = store
        self._peers = peers
        self._directory = directory
        self._clock = clock
        self._timings = timings

    def confirmed_s(self) -> float:
        """Return the latest time at which the settings were known to be the newest.

        The time is in seconds on this instance's clock; ``-inf`` if there is none.
        """
        return max(self._store.confirmed_s, self._latest_outage_s())

    def is_fresh(self) -> bool:
        """Return whether the settings were confirmed recently enough to start tasks.

        The permit's duration is shortened by the drift between two clocks.
        """
        age_s = self._clock.now() - self.confirmed_s()
        return age_s < self._timings.permit_s * (1 - self._timings.drift)

    def allows(self, zone: str) -> bool:
        """Return whether the permit is fresh and ``zone`` is open."""
        return self.is_fresh() and self._store.tree.is_zone_open(zone)

    def _latest_outage_s(self) -> float:
        """Return the latest time at which no instance of any zone reached the store.

        Return ``-inf`` if that isn't known of every zone.
        """
        peers = self._peers
        outage_s = latest_zone_outage(peers, self._store, self._clock.now())
        remote_zones = {
            instance.zone
            for instance in self._directory.of_kind(InstanceKind.ENTRY)
            if instance.zone != peers.instance.zone
        }
        for zone in remote_zones:
            outage_s = min(outage_s, self._latest_remote_outage_s(zone))
        return outage_s

    def _latest_remote_outage_s(self, zone: str) -> float:
        latest_s = NEVER_S
        digest = self._peers.members_digest()
        for peer in self._peers.by_name.values():
            if peer.zone != zone or peer.status is None:
                continue
            if peer.pong.members_digest != digest:
                continue
            if peer.pong.settings_version > self._store.tree.version:
                continue
            latest_s = max(latest_s, peer.status.zone_outage_s)
        return latest_s


def latest_zone_outage(peers: "Peers", store: TreeStore, now_s: float) -> float:
    """Return the latest time at which no instance of this zone reached the store.

    Every peer of the zone must have reported that it can't reach the store, the same
    entry instances as are known here, and no newer settings. A peer whose address
    refuses connections counts as stopped and is left out. Return ``-inf`` if the store
    is reachable here, if no settings are loaded, or if a report is missing or differs.
    """
    if store.reachable or not store.is_loaded:
        return NEVER_S
    outage_s = now_s
    digest = peers.members_digest()
    for peer in peers.by_name.values():
        if peer.zone != peers.instance.zone or peer.refused:
            continue
        if peer.status is None:
            return NEVER_S
        pong = peer.pong
        if pong.store_reachable or pong.members_digest != digest:
            return NEVER_S
        if pong.settings_version > store.tree.version:
            return NEVER_S
        outage_s = min(outage_s, peer.status.asked_s)
    return outage_s
