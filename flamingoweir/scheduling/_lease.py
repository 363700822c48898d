"""Lease of a shard, measured on the owner's monotonic clock."""

from dataclasses import dataclass

from ..clock import Clock
from ..settings import TimingSettings


@dataclass(slots=True)
class ShardLease:
    """Lease that lets an instance act for a shard.

    Attributes
    ----------
    clock : Clock
        The instance's clock.
    timings : TimingSettings
        Lengths of leases and margins.
    renewed_s : float
        Time on the clock, in seconds, when the latest renewal that took effect was
        sent.
    """

    clock: Clock
    timings: TimingSettings
    renewed_s: float

    def renew(self, sent_s: float) -> None:
        """Record that a renewal sent at ``sent_s`` took effect."""
        self.renewed_s = max(self.renewed_s, sent_s)

    def is_current(self) -> bool:
        """Return whether no other instance can have acquired the shard."""
        return self._age_s() < self.timings.shard_lease_s * (1 - self.timings.drift)

    def may_command(self) -> bool:
        """Return whether the owner may still send commands to workers.

        An owner that can't reach the store continues to send commands for
        ``detached_limit_s`` after the last renewal. A successor that can't reach a
        worker includes this time in the wait before the worker's leases are presumed
        lapsed (see `orphan_wait_s`).
        """
        return self._age_s() < self.timings.detached_limit_s

    def is_renewal_due(self) -> bool:
        """Return whether the lease should be renewed, after a third of its length."""
        return self._age_s() > self.timings.shard_lease_s / 3

    def _age_s(self) -> float:
        return self.clock.now() - self.renewed_s


def takeover_wait_s(timings: TimingSettings) -> float:
    """Return the seconds that a shard row must be unchanged before a takeover."""
    return timings.shard_lease_s * (1 + timings.drift) + timings.margin_s


def orphan_wait_s(timings: TimingSettings) -> float:
    """Return the seconds that a worker may run tasks after its owner's last renewal.

    This holds for workers that the successor has not reached: the earlier owner may
    have renewed their leases until the end of ``detached_limit_s``.
    """
    commanded_s = timings.detached_limit_s * (1 + timings.drift)
    return commanded_s + worker_lapse_s(timings)


def worker_lapse_s(timings: TimingSettings) -> float:
    """Return the seconds that a worker may run tasks after its last response."""
    return timings.worker_lease_s * (1 + timings.drift) + timings.margin_s
