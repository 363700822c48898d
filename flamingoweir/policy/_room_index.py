"""Runners by free processors, so that a step looks at those with room only."""

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterator, Sequence

from ..fleet import Runner
from ..jobs import StepSpec
from ._colocation import spare_room_milli

_Entries = list[tuple[float, int]]


class RoomIndex:
    """Positions in a list of runners, ordered by free and by spare processors.

    On a busy fleet of thousands of runners, few have room for a task. The room on a
    runner may shrink, but must not grow, while the object is in use; the index is
    brought up to date as shrunk runners are met.

    Parameters
    ----------
    runners : sequence of Runner
        The runners.

    Attributes
    ----------
    runners : sequence of Runner
        The runners.
    """

    def __init__(self, runners: Sequence[Runner]):
        self.runners = runners
        self._by_free: _Entries | None = None
        self._by_spare: _Entries | None = None

    def find(self, spec: StepSpec) -> list[int]:
        """Return the positions of runners with processors for a task, in order.

        Memory, and how tasks on spare processors disturb others, are left to
        `PlacementPolicy.fits`.
        """
        if spec.uses_spare:
            if self._by_spare is None:
                self._by_spare = self._make_entries(spare_room_milli)
            # Rounding must leave out no runner.
            least = spec.demand.processors_milli - 1
            return self._find(self._by_spare, least, spare_room_milli)
        least = spec.reserved.processors_milli
        return self._find(self._index_free(), least, _free_milli)

    def by_most_free(self) -> Iterator[Runner]:
        """Yield all runners, those with the most free processors first.

        Equal ones are in the order of the list.
        """
        entries = self._index_free()
        left = len(entries)
        while left:
            milli = entries[left - 1][0]
            first = bisect_left(entries, (milli, 0))
            equal, shrunk = [], []
            for entry in entries[first:left]:
                runner = self.runners[entry[1]]
                room_milli = _free_milli(runner)
                if room_milli < milli:
                    shrunk.append((room_milli, entry[1]))
                    continue
                equal.append(entry)
                yield runner
            if shrunk:
                entries[first:left] = equal
                for entry in shrunk:
                    insort(entries, entry)
            left -= len(equal)

    def _index_free(self) -> _Entries:
        if self._by_free is None:
            self._by_free = self._make_entries(_free_milli)
        return self._by_free

    def _make_entries(self, measure: Callable[[Runner], float]) -> _Entries:
        entries = []
        for position, runner in enumerate(self.runners):
            entries.append((measure(runner), position))
        entries.sort()
        return entries

    def _find(
        self, entries: _Entries, least: float, measure: Callable[[Runner], float]
    ) -> list[int]:
        first = bisect_left(entries, (least, 0))
        large, shrunk = [], []
        for entry in entries[first:]:
            room = measure(self.runners[entry[1]])
            if room < least:
                shrunk.append((room, entry[1]))
            else:
                large.append(entry)
        if shrunk:
            entries[first:] = large
            for entry in shrunk:
                insort(entries, entry)
        return sorted([position for _, position in large])


class PartialRoomIndex:
    """A `RoomIndex` without some of its runners, of which there are few.

    Parameters
    ----------
    index : RoomIndex
        The index of all runners.
    excluded_ids : collection of str
        Ids of the runners that are not found.

    Attributes
    ----------
    runners : sequence of Runner
        All runners, to which the positions refer.
    """

    def __init__(self, index: RoomIndex, excluded_ids: Collection[str]):
        self.runners = index.runners
        self._index = index
        self._excluded_ids = excluded_ids

    def find(self, spec: StepSpec) -> list[int]:
        """Return the positions of runners with processors for a task, in order."""
        found = []
        for position in self._index.find(spec):
            if self.runners[position].id not in self._excluded_ids:
                found.append(position)
        return found


def _free_milli(runner: Runner) -> float:
    return runner.free_resources.processors_milli
