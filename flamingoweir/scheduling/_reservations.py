"""Workers reserved for jobs whose tasks do not fit into the free resources."""

from ._job import JobSpec


class Reservations:
    """Reservations of workers; each worker is reserved for at most one job."""

    def __init__(self) -> None:
        self._job_by_worker: dict[str, str] = {}

    def is_reserved_for_other(self, worker: str, spec: JobSpec) -> bool:
        """Return whether a worker is reserved for another job."""
        reserving_job = self._job_by_worker.get(worker)
        return reserving_job is not None and reserving_job != spec.id

    def has_reservation(self, job: str) -> bool:
        """Return whether a worker is reserved for a job."""
        return job in self._job_by_worker.values()

    def is_reserved(self, worker: str) -> bool:
        """Return whether a worker is reserved for any job."""
        return worker in self._job_by_worker

    def reserve(self, worker: str, job: str) -> None:
        """Reserve a worker for a job."""
        self._job_by_worker[worker] = job

    def release(self, job: str) -> None:
        """Remove all reservations of a job."""
        for worker, reserving_job in list(self._job_by_worker.items()):
            if reserving_job == job:
                del self._job_by_worker[worker]

    def reserving_jobs(self) -> set[str]:
        """Return the jobs for which workers are reserved."""
        return set(self._job_by_worker.values())
