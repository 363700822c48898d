"""Workers kept free for a job whose tasks are too large for what others leave."""

from ._job import JobSpec


class Reservations:
    """Which worker is kept for which job."""

    def __init__(self) -> None:
        self._job_by_worker: dict[str, str] = {}

    def is_reserved_for_other(self, worker: str, spec: JobSpec) -> bool:
        """Return whether a worker is kept for another job."""
        reserving_job = self._job_by_worker.get(worker)
        return reserving_job is not None and reserving_job != spec.id

    def has_reservation(self, job: str) -> bool:
        """Return whether a worker is kept for a job."""
        return job in self._job_by_worker.values()

    def is_reserved(self, worker: str) -> bool:
        """Return whether a worker is kept for any job."""
        return worker in self._job_by_worker

    def reserve(self, worker: str, job: str) -> None:
        """Keep a worker for a job."""
        self._job_by_worker[worker] = job

    def release(self, job: str) -> None:
        """Keep nothing for a job any more."""
        for worker, reserving_job in list(self._job_by_worker.items()):
            if reserving_job == job:
                del self._job_by_worker[worker]

    def reserving_jobs(self) -> set[str]:
        """Return the jobs for which workers are kept."""
        return set(self._job_by_worker.values())
