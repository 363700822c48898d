"""Workers by what they have left, so that a task looks at a few of them only."""

from collections.abc import Iterable, Iterator

from ..resources import Resources


class FreeResourceIndex:
    """Rooms of workers in buckets of free processors, each twice the one before.

    Parameters
    ----------
    rooms : iterable of (str, Resources)
        Workers that may get tasks and what they have left.
    """

    def __init__(self, rooms: Iterable[tuple[str, Resources]]):
        self.free_by_worker: dict[str, Resources] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        for worker, room in rooms:
            self._insert(worker, room)

    def candidates(self, needs: Resources) -> Iterator[str]:
        """Yield the workers that have room, the fullest bucket first."""
        for bucket in sorted(self._buckets):
            if bucket < _bucket(needs):
                continue
            for worker in self._buckets[bucket]:
                if needs.fits_in(self.free_by_worker[worker]):
                    yield worker

    def take(self, worker: str, needs: Resources) -> None:
        """Lessen a worker's room."""
        room = self.free_by_worker[worker]
        del self._buckets[_bucket(room)][worker]
        self._insert(worker, room - needs)

    def _insert(self, worker: str, room: Resources) -> None:
        self.free_by_worker[worker] = room
        self._buckets.setdefault(_bucket(room), {})[worker] = None


def _bucket(amount: Resources) -> int:
    return max(0, amount.processors_milli).bit_length()
