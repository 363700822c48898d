"""Submissions that the store has not confirmed yet, and their memory."""

import contextlib
import random
from collections.abc import Iterator

from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec
from ..logs import get_logger
from ..metrics import Metrics
from ..policy import SubmissionBudget

log = get_logger()

#: Range of Retry-After, in seconds; random, so that submitters don't return together.
RETRY_AFTER_S = (1.0, 3.0)


class PendingSubmissions:
    """Holds submissions within the instance's memory.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance in megabytes.
    generator : random.Random
        Source of jitter.
    metrics : Metrics
        Receives counters.
    """

    def __init__(self, memory_mb: float, generator: random.Random, metrics: Metrics):
        self._budget = SubmissionBudget(memory_mb)
        self._generator = generator
        self._metrics = metrics

    @property
    def has_room(self) -> bool:
        """Whether a further submission may be decoded."""
        return self._budget.has_room

    @contextlib.contextmanager
    def hold(self, value: bytes) -> Iterator[None]:
        """Count a submission, given its stored form, during the block."""
        size = self._budget.add(len(value))
        try:
            yield
        finally:
            self._budget.remove(size)

    def record_not_decoded(self, job_id: str, queue: str) -> None:
        """Log and count a submission for which there is no room."""
        self._metrics.incr("jobs_not_decoded")
        log.info(
            "submission_not_decoded",
            job=job_id,
            queue=queue,
            held_bytes=self._budget.held_bytes,
            max_bytes=round(self._budget.max_bytes),
        )

    def refuse(self, spec: JobSpec) -> FlamingoweirError:
        """Return the error for a job that is not stored and was not decoded."""
        return FlamingoweirError(
            ErrorCode.OVERLOADED,
            f"job {spec.id} was not accepted: submissions that the store has not "
            "confirmed leave no memory for it; try again later or on another instance",
            retry_after_s=self._generator.uniform(*RETRY_AFTER_S),
        )
