"""Lists of the runners that suit each kind of step, within a slice of a pass."""

from collections.abc import Iterable

from ..fleet import Runner
from ..jobs import StepRun
from ..policy import (
    PartialRoomIndex,
    PlacementPolicy,
    RoomIndex,
    largest_beside_lasting,
)
from ..resources import Resources


class CandidateLists:
    """Collects candidates once for all steps of a service and a label.

    The object is valid until anything but the placement itself changes the runners.

    Parameters
    ----------
    placement : PlacementPolicy
        Decides which runners suit a step.
    runners : list of Runner
        Runners that may be given tasks.
    runner_by_step : dict of StepRun to Runner
        Runners that are kept free, each for one step; `reserve` adds to them.
    now_s : float
        Time on the owner's clock, in seconds.
    """

    def __init__(
        self,
        placement: PlacementPolicy,
        runners: list[Runner],
        runner_by_step: dict[StepRun, Runner],
        now_s: float,
    ):
        self.runners = runners
        self._placement = placement
        self._runner_by_step = runner_by_step
        self._now_s = now_s
        self._all_by_kind: dict[tuple[str, str], RoomIndex] = {}
        self._unreserved_by_kind: dict[tuple[str, str], list[Runner]] = {}
        self._quarantined: list[Runner] | None = None
        self._largest_by_kind: dict[tuple[str, str], list[Resources]] = {}
        self._is_large_enough: dict[tuple[str, str, Resources], bool] = {}

    @property
    def quarantined(self) -> list[Runner]:
        """Runners that were quarantined and have not proved sound since.

        No placement begins a quarantine.
        """
        if self._quarantined is None:
            self._quarantined = self._placement.quarantined(self.runners)
        return self._quarantined

    def has_large_enough(self, step: StepRun) -> bool:
        """Return whether a runner suits a step and could hold one of its tasks."""
        policy, spec = step.job.spec.policy, step.spec
        key = (policy.service, spec.label, spec.reserved)
        found = self._is_large_enough.get(key)
        if found is None:
            found = any(
                spec.reserved.fits_in(runner.entry.capacity)
                for runner in self.find_all(step)
            )
            self._is_large_enough[key] = found
        return found

    def find_all(self, step: StepRun) -> list[Runner]:
        """Return the runners that suit a step, also reserved ones."""
        return self._index_all(step).runners

    def find(self, step: StepRun, is_absent: bool = False) -> list[Runner]:
        """Return the runners that suit a step and are kept free for no other one.

        Parameters
        ----------
        step : StepRun
            Step of which tasks are to be placed.
        is_absent : bool
            Whether they are long-running tasks that have run before. They may use
            runners that are reserved for another step, as what is to become free for
            its absent tasks is promised to these.
        """
        if is_absent or not self._runner_by_step:
            return self.find_all(step)
        kind = (step.job.spec.policy.service, step.spec.label)
        found = self._unreserved_by_kind.get(kind)
        if found is None:
            reserved_ids = self.reserved_ids
            found = [r for r in self.find_all(step) if r.id not in reserved_ids]
            self._unreserved_by_kind[kind] = found
        own = self._find_own(step)
        return found if own is None else [*found, own]

    def find_index(
        self, step: StepRun, is_absent: bool = False
    ) -> RoomIndex | PartialRoomIndex | None:
        """Return an index of the runners that `find` returns, or None.

        There is none of the few lists that end with a runner that is kept free.

        Parameters
        ----------
        step : StepRun
            Step of which tasks are to be placed.
        is_absent : bool
            Whether they are long-running tasks that have run before.
        """
        if is_absent or not self._runner_by_step:
            return self._index_all(step)
        if self._find_own(step) is not None:
            return None
        return PartialRoomIndex(self._index_all(step), self.reserved_ids)

    def may_reserve(self, step: StepRun) -> bool:
        """Return whether a runner may be found to be kept free for a step.

        False is certain: no unreserved runner has as much beside its long-running
        tasks. Runners that are reserved later may count as unreserved. Answers many
        absent tasks that no runner can hold.
        """
        kind = (step.job.spec.policy.service, step.spec.label)
        largest = self._largest_by_kind.get(kind)
        if largest is None:
            largest = largest_beside_lasting(self.find(step))
            self._largest_by_kind[kind] = largest
        return any(step.spec.reserved.fits_in(beside) for beside in largest)

    @property
    def reserved_ids(self) -> frozenset[str]:
        """Ids of the runners that are kept free for a step."""
        return frozenset(runner.id for runner in self._runner_by_step.values())

    def reserve(self, step: StepRun, runner: Runner) -> None:
        """Keep a runner free for a step."""
        self._runner_by_step[step] = runner
        self._unreserved_by_kind.clear()

    def release(self, step: StepRun) -> None:
        """Keep no runner free for a step any more."""
        if self._runner_by_step.pop(step, None) is not None:
            self._clear_unreserved()

    def recheck(self, step: StepRun, runners: Iterable[Runner]) -> None:
        """Collect anew if a runner that got tasks of a step may get no more.

        After its quarantine, a runner gets tasks of one step.
        """
        runners = list(runners)
        suitable = self._placement.candidates(step, runners, self._now_s)
        if len(suitable) < len(runners):
            self._is_large_enough.clear()
            self._all_by_kind.clear()
            self._clear_unreserved()

    def _index_all(self, step: StepRun) -> RoomIndex:
        kind = (step.job.spec.policy.service, step.spec.label)
        index = self._all_by_kind.get(kind)
        if index is None:
            found = self._placement.candidates(step, self.runners, self._now_s)
            index = self._all_by_kind[kind] = RoomIndex(found)
        return index

    def _find_own(self, step: StepRun) -> Runner | None:
        """Return the runner that is kept free for a step, if it still suits it."""
        own = self._runner_by_step.get(step)
        return own if own is not None and own in self.find_all(step) else None

    def _clear_unreserved(self) -> None:
        self._unreserved_by_kind.clear()
        self._largest_by_kind.clear()
