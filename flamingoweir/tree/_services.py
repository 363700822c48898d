"""Services declared in the settings tree."""

from dataclasses import dataclass

from ..resources import Resources
from ._paths import ServiceValue
from ._tree import SettingsTree


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service that operators want to run.

    Attributes
    ----------
    name : str
        Name of the service.
    team : str
        Team that owns the service.
    instances_by_zone : dict of str to int
        Number of tasks declared for each zone.
    needs : Resources
        Resources that one task needs.
    latency_target_ms : float
        Target for the tail latency in milliseconds; 0 for none.
    """

    name: str
    team: str
    instances_by_zone: dict[str, int]
    needs: Resources
    latency_target_ms: float

    def task_count_in_zone(self, zone: str, open_zones: list[str]) -> int:
        """Return the number of tasks that should run in a zone.

        The tasks declared for closed zones are spread evenly over the open zones.

        Parameters
        ----------
        zone : str
            The zone.
        open_zones : list of str
            Open zones. If the tasks of closed zones can't be split evenly, the first
            zones of the list get one more.

        Returns
        -------
        int
            Number of tasks; 0 if the zone is closed.
        """
        if zone not in open_zones:
            return 0
        displaced = 0
        for name, count in self.instances_by_zone.items():
            if name not in open_zones:
                displaced += count
        position = open_zones.index(zone)
        share, remainder = divmod(displaced, len(open_zones))
        extra = share + (1 if position < remainder else 0)
        return self.instances_by_zone.get(zone, 0) + extra


def services_of(tree: SettingsTree) -> list[ServiceDeclaration]:
    """Return the declarations of all services in a tree."""
    declarations = []
    for path, text in tree.by_path.items():
        parts = path.split("/")
        if len(parts) != 4 or parts[2] != "services":
            continue
        value = ServiceValue.model_validate_json(text)
        declarations.append(
            ServiceDeclaration(
                parts[3],
                parts[1],
                value.instances_by_zone,
                Resources(
                    int(value.processors * 1000), value.memory_mb, value.accelerators
                ),
                value.latency_target_ms,
            )
        )
    return declarations
