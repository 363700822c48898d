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
        self._untaken: list[AttemptEnd] = []
        self._told: set[AttemptId] = set()
        self._declared: set[AttemptId] = set()

    def tell(self, end: AttemptEnd) -> None:
        """Keep an end for the owner's next tick."""
        self._told.add(AttemptId(end.task, end.attempt))
        self._untaken.append(end)

    def take(self) -> list[AttemptEnd]:
        """Return the ends that the owner has not taken yet."""
        ends, self._untaken = self._untaken, []
        return ends

    def declare(self, identity: AttemptId) -> None:
        """Note that an attempt is held for lapsed without its worker's word."""
        self._declared.add(identity)

    def is_news(self, identity: AttemptId) -> bool:
        """Return whether a worker's word of an end is to be told to the owner.

        After an end that was only declared, the worker's own word is news.
        """
        if identity in self._declared:
            self._declared.discard(identity)
            return True
        return identity not in self._told and identity not in self.durable

    def mark_durable(self, identity: AttemptId) -> None:
        """Note that an end is durable.

        One that was only declared is acknowledged once the worker has said how it did
        end.
        """
        if identity in self._declared:
            return
        self._told.discard(identity)
        self.durable.add(identity)
