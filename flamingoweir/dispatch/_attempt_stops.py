"""Which attempts are to be stopped, in the order in which that was found."""

import itertools
from collections import deque
from collections.abc import Iterable, Iterator

from ..jobs import Attempt, AttemptState, Job
from ..logs import get_logger
from ..wakeup import Wakeup

log = get_logger()

#: Number of attempts of a job that are marked at once. Those beyond it are marked in
#: slices, so that a job of many tasks doesn't hold the event loop.
MARKED_AT_ONCE = 500
#: Number of attempts of a job, stopped together, from which they share a log line.
LOGGED_TOGETHER = 20


class AttemptStops:
    """Marks attempts as stopping, and lists those that orders are to be sent for.

    Attributes
    ----------
    pending : list of Attempt
        Attempts to stop.
    wakeup : Wakeup
        Set when there are attempts to stop.
    """

    def __init__(self) -> None:
        self.pending: list[Attempt] = []
        self.wakeup = Wakeup()
        #: Attempts that are not marked yet, of one job each.
        self._unmarked: deque[Iterator[Attempt]] = deque()

    def stop(self, attempt: Attempt, reason: str) -> None:
        """Request the stop of an attempt; it keeps its resources until it has ended."""
        if not self._mark(attempt):
            return
        log.info(
            "attempt_stopping",
            task=str(attempt.task),
            run=attempt.run,
            runner=attempt.runner,
            reason=reason,
        )

    def stop_all(self, job: Job, attempts: Iterable[Attempt], reason: str) -> None:
        """Request the stop of attempts of a job that are not stopping yet.

        They are looked for as they are marked, the first ones at once.
        """
        if job.attempt_count <= LOGGED_TOGETHER:
            for attempt in attempts:
                self.stop(attempt, reason)
            return
        attempts = iter(attempts)
        first = next(attempts, None)
        if first is None:
            return
        log.info(
            "attempts_stopping",
            job=job.spec.id,
            attempts=job.attempt_count,
            first=str(first.task),
            reason=reason,
        )
        self._unmarked.append(itertools.chain([first], attempts))
        self.mark_more()

    def mark_more(self) -> bool:
        """Mark further attempts as stopping; return whether there may be more."""
        left = MARKED_AT_ONCE
        while self._unmarked and left:
            attempt = next(self._unmarked[0], None)
            if attempt is None:
                self._unmarked.popleft()
                continue
            self._mark(attempt)
            left -= 1
        return bool(self._unmarked)

    @property
    def has_more(self) -> bool:
        """Whether there are attempts to stop that were not taken yet."""
        return bool(self._unmarked or self.pending)

    def take(self) -> list[Attempt]:
        """Remove and return the attempts to stop."""
        taken, self.pending = self.pending, []
        return taken

    def _mark(self, attempt: Attempt) -> bool:
        if attempt.state is AttemptState.STOPPING:
            return False
        attempt.state = AttemptState.STOPPING
        self.pending.append(attempt)
        self.wakeup.set()
        return True
