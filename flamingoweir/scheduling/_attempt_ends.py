"""Ends of attempts on one worker: told once, acknowledged once durable."""

from ..upstreams import AttemptId
from ._assignment import AttemptEnd


class AttemptEnds:
    """What became of the ends that a worker reported or its owner declared.

    Attributes
    ----------
    durable : set of AttemptId
        Ends that are durable and still to be acknowledged to the worker.
    """

    def __init__(self) -> None:
        self.durable: set[AttemptId] = set()
        self._uncollected: list[AttemptEnd] = []
        self._recorded: set[AttemptId] = set()
        self._presumed: set[AttemptId] = set()

    def record(self, end: AttemptEnd) -> None:
        """Keep an end for the owner's next tick."""
        self._recorded.add(AttemptId(end.task, end.attempt))
        self._uncollected.append(end)

    def collect(self) -> list[AttemptEnd]:
        """Return the ends that the owner has not taken yet."""
        ends, self._uncollected = self._uncollected, []
        return ends

    def presume_lapsed(self, identity: AttemptId) -> None:
        """Note that an attempt is held for lapsed without its worker's word."""
        self._presumed.add(identity)

    def is_new(self, identity: AttemptId) -> bool:
        """Return whether a worker's word of an end is to be told to the owner.

        After an end that was only declared, the worker's own word is news.
        """
        if identity in self._presumed:
            self._presumed.discard(identity)
            return True
        return identity not in self._recorded and identity not in self.durable

    def mark_durable(self, identity: AttemptId) -> None:
        """Note that an end is durable.

        One that was only declared is acknowledged once the worker has said how it did
        end.
        """
        if identity in self._presumed:
            return
        self._recorded.discard(identity)
        self.durable.add(identity)
