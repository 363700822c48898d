"""Demands for which no eviction makes room.

Answers the load at which many long-running tasks are away at once, as after the loss
of a rack, and most of them fit on no runner: a choice for each of them would leave
none for those that do fit.
"""

from ..jobs import StepRun
from ..resources import Resources

#: Seconds for which a demand counts as one that no eviction makes room for.
LACK_S = 2.0


class LackOfRoom:
    """Remembers for which demands no eviction made room lately."""

    def __init__(self) -> None:
        #: Demands, each with the end of the time for which it counts, by service and
        #: label, which decide what runners suit a step.
        self._demands_by_kind: dict[tuple[str, str], list[tuple[Resources, float]]] = {}

    def begin_pass(self, now_s: float) -> None:
        """Discard the demands whose time has passed."""
        for kind, demands in list(self._demands_by_kind.items()):
            valid = [
                (demand, until_s) for demand, until_s in demands if now_s < until_s
            ]
            if valid:
                self._demands_by_kind[kind] = valid
            else:
                del self._demands_by_kind[kind]

    def add(self, step: StepRun, now_s: float) -> None:
        """Record that no eviction makes room for a task of a step.

        With a limit per runner that may be so for this step only.
        """
        if step.spec.max_per_runner:
            return
        demands = self._demands_by_kind.setdefault(_kind_of(step), [])
        demands.append((step.spec.reserved, now_s + LACK_S))

    def covers(self, step: StepRun) -> bool:
        """Return whether there was no room for as small a demand as that of a step."""
        for demand, _ in self._demands_by_kind.get(_kind_of(step), ()):
            if demand.fits_in(step.spec.reserved):
                return True
        return False


def _kind_of(step: StepRun) -> tuple[str, str]:
    return step.job.spec.policy.service, step.spec.label
