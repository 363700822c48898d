"""Ends of attempts on one worker.

The owner receives each end once. If it has presumed that an attempt lapsed, it also
receives the end that the worker reports later. The worker receives an acknowledgement
once the end is durable.
"""

from ..upstreams import AttemptId
from ._assignment import AttemptEnd


class AttemptEnds:
    """Ends that a worker reported, or that its owner presumed after a lapsed lease.

    Attributes
    ----------
    durable : set of AttemptId
        Attempts whose end is durable and not yet acknowledged to the worker.
    """

    def __init__(self) -> None:
        self.durable: set[AttemptId] = set()
        self._uncollected: list[AttemptEnd] = []
        self._recorded: set[AttemptId] = set()
        self._presumed: set[AttemptId] = set()

    def record(self, end: AttemptEnd) -> None:
        """Record an end for the owner's next tick."""
        self._recorded.add(AttemptId(end.task, end.attempt))
        self._uncollected.append(end)

    def collect(self) -> list[AttemptEnd]:
        """Return and clear the ends that the owner has not collected yet."""
        ends, self._uncollected = self._uncollected, []
        return ends

    def presume_lapsed(self, identity: AttemptId) -> None:
        """Mark an attempt as lapsed without a report from its worker."""
        self._presumed.add(identity)

    def is_new(self, identity: AttemptId) -> bool:
        """Return whether an end that the worker reports must be recorded.

        The first report of an attempt that was presumed lapsed is new, and removes
        the presumption.
        """
        if identity in self._presumed:
            self._presumed.discard(identity)
            return True
        return identity not in self._recorded and identity not in self.durable

    def mark_durable(self, identity: AttemptId) -> None:
        """Mark an end as durable, so that it is acknowledged to the worker.

        A presumed end is not acknowledged until the worker has reported how the
        attempt ended.
        """
        if identity in self._presumed:
            return
        self._recorded.discard(identity)
        self.durable.add(identity)
