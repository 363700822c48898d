"""Learned run times by job class; declared estimates are often inaccurate."""

from ._job import JobSpec

SMOOTHING_FACTOR = 0.1


class RunTimes:
    """Exponentially smoothed run times, in seconds, of completed attempts."""

    def __init__(self) -> None:
        self._mean_s_by_class: dict[str, float] = {}

    def record(self, job_class: str, ran_s: float) -> None:
        """Add the run time of a completed attempt, in seconds."""
        mean_s = self._mean_s_by_class.get(job_class)
        if mean_s is None:
            self._mean_s_by_class[job_class] = ran_s
            return
        self._mean_s_by_class[job_class] = mean_s + SMOOTHING_FACTOR * (ran_s - mean_s)

    def expected_s(self, spec: JobSpec) -> float:
        """Return the expected run time of a task, in seconds.

        The result is the learned run time of the job class, or the declared estimate
        if no run time of the class has been recorded.
        """
        return self._mean_s_by_class.get(spec.job_class, spec.estimate_s)
