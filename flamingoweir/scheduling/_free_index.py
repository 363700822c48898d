"""Index of workers by free processors; placement then inspects only a few."""

from collections.abc import Iterable, Iterator

from ..resources import Resources


class FreeResourceIndex:
    """Free resources of workers, in buckets by free processors.

    Each bucket covers a range twice as wide as that of the previous bucket.

    Parameters
    ----------
    free_resources : iterable of (str, Resources)
        Names of usable workers and their free resources.

    Attributes
    ----------
    free_by_worker : dict of str to Resources
        Free resources by worker name.
    """

    def __init__(self, free_resources: Iterable[tuple[str, Resources]]):
        self.free_by_worker: dict[str, Resources] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        for worker, free in free_resources:
            self._insert(worker, free)

    def candidates(self, needs: Resources) -> Iterator[str]:
        """Yield the workers on which a task fits, fewest free processors first.

        The order is by bucket; within a bucket workers are not sorted.
        """
        for bucket in sorted(self._buckets):
            if bucket < _bucket(needs):
                continue
            for worker in self._buckets[bucket]:
                if needs.fits_in(self.free_by_worker[worker]):
                    yield worker

    def allocate(self, worker: str, needs: Resources) -> None:
        """Subtract the needs of a task from a worker's free resources."""
        free = self.free_by_worker[worker]
        del self._buckets[_bucket(free)][worker]
        self._insert(worker, free - needs)

    def _insert(self, worker: str, free: Resources) -> None:
        self.free_by_worker[worker] = free
        self._buckets.setdefault(_bucket(free), {})[worker] = None


def _bucket(resources: Resources) -> int:
    return max(0, resources.processors_milli).bit_length()
