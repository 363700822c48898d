"""Resources that the assigned tasks of each team use in a shard."""

from ..resources import Resources
from ._job import JobKind, JobSpec


class TeamUsage:
    """Sums of the needs of tasks, by team and for all preemptible batch tasks.

    Attributes
    ----------
    usage_by_team : dict of str to Resources
        Sum of the needs of all tasks of a team.
    preemptible : Resources
        Sum of the needs of all batch tasks that are not urgent.
    """

    def __init__(self) -> None:
        self.usage_by_team: dict[str, Resources] = {}
        self.preemptible = Resources()

    def add(self, spec: JobSpec) -> None:
        """Add the needs of one task."""
        used = self.usage_by_team.get(spec.team, Resources())
        self.usage_by_team[spec.team] = used + spec.needs
        if _is_preemptible(spec):
            self.preemptible = self.preemptible + spec.needs

    def remove(self, spec: JobSpec) -> None:
        """Subtract the needs of one task."""
        left = self.usage_by_team[spec.team] - spec.needs
        self.usage_by_team[spec.team] = left
        if left == Resources():
            del self.usage_by_team[spec.team]
        if _is_preemptible(spec):
            self.preemptible = self.preemptible - spec.needs

    def used_by(self, team: str) -> Resources:
        """Return the sum of the needs of a team's tasks."""
        return self.usage_by_team.get(team, Resources())


def _is_preemptible(spec: JobSpec) -> bool:
    return spec.kind is JobKind.BATCH and not spec.urgent
