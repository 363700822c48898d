"""Workers kept free for a job whose tasks are too large for what others leave."""

from ._job import JobSpec


class Reservations:
    """Which worker is kept for which job."""

    def __init__(self) -> None:
        self._job_by_worker: dict[str, str] = {}

    def is_kept_from(self, worker: str, spec: JobSpec) -> bool:
        """Return whether a worker is kept for another job."""
        keeper = self._job_by_worker.get(worker)
        return keeper is not None and keeper != spec.id

    def has(self, job: str) -> bool:
        """Return whether a worker is kept for a job."""
        return job in self._job_by_worker.values()

    def is_taken(self, worker: str) -> bool:
        """Return whether a worker is kept for any job."""
        return worker in self._job_by_worker

    def keep(self, worker: str, job: str) -> None:
        """Keep a worker for a job."""
        self._job_by_worker[worker] = job

    def release(self, job: str) -> None:
        """Keep nothing for a job any more."""
        for worker, keeper in list(self._job_by_worker.items()):
            if keeper == job:
                del self._job_by_worker[worker]

    def jobs(self) -> set[str]:
        """Return the jobs for which workers are kept."""
        return set(self._job_by_worker.values())
