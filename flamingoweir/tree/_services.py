"""Services as declared in the tree."""

from dataclasses import dataclass

from ..resources import Resources
from ._paths import ServiceValue
from ._tree import SettingsTree


@dataclass(frozen=True, slots=True)
class ServiceDeclaration:
    """A service that operators want to run.

    Attributes
    ----------
    name, team : str
        The service and its owner.
    instances_by_zone : dict of str to int
        How many tasks are wanted in each zone.
    needs : Resources
        What one of them takes.
    latency_target_ms : float
        Tail latency to keep; 0 for none.
    """

    name: str
    team: str
    instances_by_zone: dict[str, int]
    needs: Resources
    latency_target_ms: float

    def task_count_in_zone(self, zone: str, open_zones: list[str]) -> int:
        """Return how many tasks a zone runs, given the zones that are open.

        What a closed zone was to run is spread evenly over the open ones.
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
    """Return all services that the tree declares."""
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
