"""How long an owner may act for its shard, judged on its monotonic clock."""

from dataclasses import dataclass

from ..clock import Clock
from ..settings import TimingSettings


@dataclass(slots=True)
class ShardLease:
    """An instance's right to act for a shard.

    Attributes
    ----------
    clock : Clock
        The instance's clock.
    timings : Timings
        Lengths of leases and margins.
    renewed_s : float
        When the latest renewal that took effect was sent.
    """

    clock: Clock
    timings: TimingSettings
    renewed_s: float

    def renew(self, sent_s: float) -> None:
        """Note that a renewal sent at ``sent_s`` took effect."""
        self.renewed_s = max(self.renewed_s, sent_s)

    def is_current(self) -> bool:
        """Return whether no other instance can have taken the shard."""
        return self._age_s() < self.timings.shard_lease_s * (1 - self.timings.drift)

    def may_command(self) -> bool:
        """Return whether workers may still be commanded without the store.

        A successor that cannot reach a worker waits this long before it takes
        the worker's leases for lapsed (see `orphan_wait_s`).
        """
        return self._age_s() < self.timings.detached_limit_s

    def is_renewal_due(self) -> bool:
        """Return whether the store should hear from the owner."""
        return self._age_s() > self.timings.shard_lease_s / 3

    def _age_s(self) -> float:
        return self.clock.now() - self.renewed_s


def takeover_wait_s(timings: TimingSettings) -> float:
    """Return how long a shard row must stand unchanged before it is taken."""
    return timings.shard_lease_s * (1 + timings.drift) + timings.margin_s


def orphan_wait_s(timings: TimingSettings) -> float:
    """Return how long after its owner's last sign an unseen worker may run tasks."""
    commanded_s = timings.detached_limit_s * (1 + timings.drift)
    return commanded_s + worker_lapse_s(timings)


def worker_lapse_s(timings: TimingSettings) -> float:
    """Return how long after its last echo an unreachable worker may run tasks."""
    return timings.worker_lease_s * (1 + timings.drift) + timings.margin_s
