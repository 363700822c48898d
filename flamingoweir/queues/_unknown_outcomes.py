"""Ids of submissions whose outcome this instance does not know."""

from collections.abc import Iterator
from contextlib import contextmanager

from ..errors import ErrorCode, FlamingoweirError, Verdict, outcome_unknown_error

#: Number of ids that are remembered; the oldest is dropped first. An outage of a minute
#: with 150 submissions a second at one instance leaves 9,000.
MAX_REMEMBERED = 10_000


class UnknownOutcomes:
    """Remember jobs that an earlier call may have stored.

    "Not run" is no true verdict on a further call for such a job while the store can't
    be asked.
    """

    def __init__(self) -> None:
        self._job_ids: dict[str, None] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._job_ids

    @contextmanager
    def track(self, job_id: str) -> Iterator[None]:
        """Remember a job while its submission is sent, and after an unknown outcome.

        Raises
        ------
        FlamingoweirError
            With code OUTCOME_UNKNOWN instead of STORE_UNAVAILABLE if an earlier call
            may have stored the job.
        """
        was_unknown = job_id in self._job_ids
        self._remember(job_id)
        try:
            yield
        except FlamingoweirError as error:
            if error.verdict is not Verdict.NOT_RUN:
                self._remember(job_id)
                raise
            if not was_unknown:
                self._job_ids.pop(job_id, None)
                raise
            if error.code is not ErrorCode.STORE_UNAVAILABLE:
                raise
            raise outcome_unknown_error() from error
        self._job_ids.pop(job_id, None)

    def _remember(self, job_id: str) -> None:
        self._job_ids.pop(job_id, None)
        self._job_ids[job_id] = None
        if len(self._job_ids) > MAX_REMEMBERED:
            del self._job_ids[next(iter(self._job_ids))]
