"""Workers by what they have left, so that a task looks at a few of them only."""

from collections.abc import Iterable, Iterator

from ..resources import Resources


class FreeResourceIndex:
    """Rooms of workers in buckets of free processors, each twice the one before.

    Parameters
    ----------
    free_resources : iterable of (str, Resources)
        Workers that may get tasks and what they have left.
    """

    def __init__(self, free_resources: Iterable[tuple[str, Resources]]):
        self.free_by_worker: dict[str, Resources] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        for worker, free in free_resources:
            self._insert(worker, free)

    def candidates(self, needs: Resources) -> Iterator[str]:
        """Yield the workers that have room, the fullest bucket first."""
        for bucket in sorted(self._buckets):
            if bucket < _bucket(needs):
                continue
            for worker in self._buckets[bucket]:
                if needs.fits_in(self.free_by_worker[worker]):
                    yield worker

    def allocate(self, worker: str, needs: Resources) -> None:
        """Lessen a worker's room."""
        free = self.free_by_worker[worker]
        del self._buckets[_bucket(free)][worker]
        self._insert(worker, free - needs)

    def _insert(self, worker: str, free: Resources) -> None:
        self.free_by_worker[worker] = free
        self._buckets.setdefault(_bucket(free), {})[worker] = None


def _bucket(resources: Resources) -> int:
    return max(0, resources.processors_milli).bit_length()
