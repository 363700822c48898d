"""Run times by job class, learnt, since declared ones are far off."""

from ._job import JobSpec

SMOOTHING_FACTOR = 0.1


class RunTimes:
    """Smoothed run times of attempts that were done."""

    def __init__(self) -> None:
        self._mean_s_by_class: dict[str, float] = {}

    def record(self, job_class: str, ran_s: float) -> None:
        """Take the run time of an attempt into account."""
        mean_s = self._mean_s_by_class.get(job_class)
        if mean_s is None:
            self._mean_s_by_class[job_class] = ran_s
            return
        self._mean_s_by_class[job_class] = mean_s + SMOOTHING_FACTOR * (ran_s - mean_s)

    def expected_s(self, spec: JobSpec) -> float:
        """Return how long a task probably takes: as learnt, else as declared."""
        return self._mean_s_by_class.get(spec.job_class, spec.estimate_s)
