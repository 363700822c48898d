"""Pauses of jobs whose planning has failed."""

from dataclasses import dataclass

from ._owner_state import OwnerState

#: Seconds for which a job is passed over after the first error.
FIRST_PAUSE_S = 0.5
#: Longest pause in seconds; each error after another doubles the pause.
MAX_PAUSE_S = 30.0
#: Seconds after the end of a pause from which an error counts as the first one again.
RESET_AFTER_S = 30.0


@dataclass(slots=True)
class _Pause:
    duration_s: float
    until_s: float


class JobPauses:
    """Passes over jobs with an error in their planning, so that others are placed.

    Planning decides by the state of a job and changes it only once it has decided, so
    that the job can be tried again.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs, and the log of their errors.
    """

    def __init__(self, owner_state: OwnerState):
        self._owner_state = owner_state
        self._pause_by_job: dict[str, _Pause] = {}

    def is_paused(self, job_id: str, now_s: float) -> bool:
        """Return whether a job is to be passed over."""
        if not self._pause_by_job:
            return False
        pause = self._pause_by_job.get(job_id)
        return pause is not None and now_s < pause.until_s

    def add(self, job_id: str, error: Exception, now_s: float) -> None:
        """Pause a job after an error, and forget jobs that have ended.

        Parameters
        ----------
        job_id : str
            Id of the job.
        error : Exception
            The error.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self._owner_state.fault_log.record("job_planning_failed", error, job=job_id)
        former = self._pause_by_job.get(job_id)
        duration_s = FIRST_PAUSE_S
        if former is not None and now_s - former.until_s < RESET_AFTER_S:
            duration_s = min(MAX_PAUSE_S, 2 * former.duration_s)
        for known in list(self._pause_by_job):
            if known not in self._owner_state.job_by_id:
                del self._pause_by_job[known]
        self._pause_by_job[job_id] = _Pause(duration_s, now_s + duration_s)
