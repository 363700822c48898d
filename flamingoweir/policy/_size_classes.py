"""Classes of jobs by size, and how often each is served in time.

Addresses a load that exceeds the fleet for long: of equally urgent jobs, the large ones
have the least value for the work that they need, so that a decision by that alone never
serves them. A class that is served clearly less often than its queue is spared.
"""

from bisect import insort
from collections import deque

#: Fractions of a queue's jobs below the classes: the fifth below the largest tenth, and
#: the largest tenth.
CLASS_BOUNDS = (0.7, 0.9)
#: Number of the latest jobs of a queue by which sizes are judged, and from which on.
MAX_SIZES = 200
MIN_SIZES = 20
#: Callers need each class to be served at least half as often as the queue. A class is
#: spared from a higher fraction on, as jobs that are kept may still end late. With 0.6,
#: the largest tenth was served less than half as often at 1.6 times the load.
MIN_SERVED_FRACTION = 0.7
#: Factor by which earlier outcomes count less with each job of the queue that ends. The
#: largest tenth needs the outcomes of several hundred jobs of the queue: with a factor
#: of 0.99, a few large jobs that were late by chance had many small ones deferred.
OUTCOME_DECAY = 0.998
#: Number of outcomes, served as often as the queue, with which a class begins.
PRIOR_OUTCOMES = 3.0


class SizeClasses:
    """The classes of one queue: 0 for most jobs, 1 for large and 2 for the largest."""

    def __init__(self) -> None:
        self._sizes: deque[float] = deque()
        self._sorted: list[float] = []
        self._ended = [0.0] * (len(CLASS_BOUNDS) + 1)
        self._in_time = [0.0] * (len(CLASS_BOUNDS) + 1)
        self._deferred = [0] * (len(CLASS_BOUNDS) + 1)

    def classify(self, work: float) -> int:
        """Record the work of an accepted job; return its class."""
        self._sizes.append(work)
        insort(self._sorted, work)
        if len(self._sizes) > MAX_SIZES:
            self._sorted.remove(self._sizes.popleft())
        if len(self._sorted) < MIN_SIZES:
            return 0
        size_class = 0
        for bound in CLASS_BOUNDS:
            size_class += work >= self._sorted[int(bound * len(self._sorted))]
        return size_class

    def record_outcome(self, size_class: int, in_time: bool) -> None:
        """Record a job that has ended, or whose objective has passed."""
        for number in range(len(self._ended)):
            self._ended[number] *= OUTCOME_DECAY
            self._in_time[number] *= OUTCOME_DECAY
        self._ended[size_class] += 1.0
        self._in_time[size_class] += in_time

    def begin_decision(self) -> None:
        """Forget the jobs that the last decision deferred."""
        self._deferred = [0] * len(self._deferred)

    def allows(self, size_class: int) -> bool:
        """Return whether a decision may defer one more job of a class.

        The jobs that it has deferred already count as not served.
        """
        if size_class == 0:
            return True
        outcomes = sum(self._ended) + sum(self._deferred)
        queue_share = (sum(self._in_time) + 1.0) / (outcomes + 1.0)
        in_time = self._in_time[size_class] + PRIOR_OUTCOMES * queue_share
        ended = self._ended[size_class] + self._deferred[size_class] + PRIOR_OUTCOMES
        return in_time / ended >= MIN_SERVED_FRACTION * queue_share

    def record_deferred(self, size_class: int) -> None:
        """Record that the current decision defers a job of a class."""
        self._deferred[size_class] += 1
