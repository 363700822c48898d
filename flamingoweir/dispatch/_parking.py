"""Accepted jobs that an owner keeps out of its memory until others have ended."""

from collections import deque

from ..jobs import JobSpec

#: Fraction of an instance's memory that the jobs of an owner may take.
HELD_SHARE = 1 / 3
#: Fraction of that up to which jobs are accepted. The rest is for those that are
#: accepted before all instances know.
ACCEPT_FRACTION = 0.8
#: Largest fraction of what is left that an accepted job may take. As memory gets short,
#: large jobs are refused before small ones.
MAX_JOB_FRACTION = 0.1
#: Limit of a job's memory, in bytes, from which there is no limit to publish.
LARGEST_JOB_BYTES = 7_500_000
#: Fraction of that up to which parked jobs are loaded.
LOAD_FRACTION = 0.95
#: The same for jobs beyond the rate of their customer. It is below `ACCEPT_FRACTION` by
#: more than a tenth, so that such jobs don't make instances refuse those of others.
EXCESS_FRACTION = 0.5


class JobParking:
    """Counts the memory of the jobs, and lists those that it does not suffice for.

    Of a parked job, only the id and the queue are kept. Its rows stay in the store.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance in megabytes.

    Attributes
    ----------
    held_bytes : int
        Estimated memory of the jobs that are held.
    queue_by_id : dict of str to str
        Queues of the parked jobs, by job id, in the order of arrival.
    """

    def __init__(self, memory_mb: float):
        self.held_bytes = 0
        self.queue_by_id: dict[str, str] = {}
        self._max_bytes = HELD_SHARE * 1e6 * memory_mb
        self._cancelled_ids: deque[str] = deque()
        #: Ids of parked jobs within the rate of their customers, and beyond it.
        self._ordinary_ids: deque[str] = deque()
        self._excess_ids: deque[str] = deque()

    def find_max_job_bytes(self) -> int | None:
        """Return the largest memory of a job to be accepted now; None for any."""
        left_bytes = max(0.0, ACCEPT_FRACTION * self._max_bytes - self.held_bytes)
        limit_bytes = int(MAX_JOB_FRACTION * left_bytes)
        return None if limit_bytes >= LARGEST_JOB_BYTES else limit_bytes

    def has_room_for(self, spec: JobSpec, is_excess: bool = False) -> bool:
        """Return whether a job may be held; a first one always may.

        Parameters
        ----------
        spec : JobSpec
            The job.
        is_excess : bool
            Whether it is beyond the rate of its customer. Such jobs are parked first.
        """
        if not self.held_bytes:
            return True
        fraction = EXCESS_FRACTION if is_excess else 1.0
        return self.held_bytes + spec.memory_bytes <= fraction * self._max_bytes

    def park(self, spec: JobSpec, is_excess: bool = False) -> None:
        """List a job that is not held; see `has_room_for`."""
        self.queue_by_id[spec.id] = spec.queue
        (self._excess_ids if is_excess else self._ordinary_ids).append(spec.id)

    def record_held(self, spec: JobSpec) -> None:
        """Record that a job is held from now on."""
        self.held_bytes += spec.memory_bytes

    def record_released(self, spec: JobSpec) -> None:
        """Record that a job is held no more."""
        self.held_bytes -= spec.memory_bytes

    def record_cancelled(self, job_id: str) -> None:
        """Record the cancellation of a job; if it is parked, it is taken next."""
        if job_id in self.queue_by_id:
            self._cancelled_ids.append(job_id)

    def take(self) -> str | None:
        """Remove and return a parked job that is to be held now; None if there is none.

        A cancelled one is released at once, so that it need not wait for memory.
        """
        while self._cancelled_ids:
            job_id = self._cancelled_ids.popleft()
            if self.queue_by_id.pop(job_id, None) is not None:
                return job_id
        for job_ids, fraction in (
            (self._ordinary_ids, LOAD_FRACTION),
            (self._excess_ids, EXCESS_FRACTION * LOAD_FRACTION),
        ):
            while job_ids and self.held_bytes <= fraction * self._max_bytes:
                job_id = job_ids.popleft()
                if self.queue_by_id.pop(job_id, None) is not None:
                    return job_id
        return None
