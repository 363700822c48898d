"""What each team's tasks take in a shard, kept as assignments come and go."""

from ..resources import Resources
from ._job import JobKind, JobSpec


class TeamUsage:
    """Sums of needs, by team and for batch as a whole.

    Attributes
    ----------
    usage_by_team : dict of str to Resources
        What all tasks of a team take.
    preemptible : Resources
        What all batch tasks that are not urgent take.
    """

    def __init__(self) -> None:
        self.usage_by_team: dict[str, Resources] = {}
        self.preemptible = Resources()

    def add(self, spec: JobSpec) -> None:
        """Count one task."""
        used = self.usage_by_team.get(spec.team, Resources())
        self.usage_by_team[spec.team] = used + spec.needs
        if _is_preemptible(spec):
            self.preemptible = self.preemptible + spec.needs

    def remove(self, spec: JobSpec) -> None:
        """Count one task less."""
        left = self.usage_by_team[spec.team] - spec.needs
        self.usage_by_team[spec.team] = left
        if left == Resources():
            del self.usage_by_team[spec.team]
        if _is_preemptible(spec):
            self.preemptible = self.preemptible - spec.needs

    def used_by(self, team: str) -> Resources:
        """Return what a team's tasks take."""
        return self.usage_by_team.get(team, Resources())


def _is_preemptible(spec: JobSpec) -> bool:
    return spec.kind is JobKind.BATCH and not spec.urgent
