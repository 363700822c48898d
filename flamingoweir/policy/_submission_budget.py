"""Whether an instance may decode one more submission.

Answers submissions that arrive while the store confirms none, or only slowly: each is
held until its caller's deadline, and a body of 60 kB with 5,000 small steps takes 11 MB
once it is decoded, encoded and sent. A bound for the bytes received, or for a
submission, is no bound for that, so that the memory of all submissions that are not
confirmed yet is counted. What is refused is refused before it is decoded. A submission
is decoded as long as there is any room, so that a single one is always accepted.
"""

#: Share of an instance's memory for submissions that the store has not confirmed.
SUBMISSION_MEMORY_SHARE = 0.1
#: Memory of a submission whose stored form is small, in bytes.
SUBMISSION_BYTES = 25_000
#: Memory of a submission for each byte of its stored form: the job, the stored form,
#: and three forms of the store's request, which are a third larger.
STORED_FORM_FACTOR = 6


class SubmissionBudget:
    """Counts the memory of submissions that the store has not confirmed.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance in megabytes.

    Attributes
    ----------
    held_bytes : int
        Estimated memory of the submissions.
    max_bytes : float
        Memory from which no further submission is decoded.
    """

    def __init__(self, memory_mb: float):
        self.held_bytes = 0
        self.max_bytes = SUBMISSION_MEMORY_SHARE * 1e6 * memory_mb

    @property
    def has_room(self) -> bool:
        """Whether a further submission may be decoded."""
        return self.held_bytes < self.max_bytes

    def add(self, stored_bytes: int) -> int:
        """Count a submission; return its estimated memory in bytes.

        Parameters
        ----------
        stored_bytes : int
            Length of the stored form of the job.
        """
        size = SUBMISSION_BYTES + STORED_FORM_FACTOR * stored_bytes
        self.held_bytes += size
        return size

    def remove(self, size: int) -> None:
        """Forget a submission for which `add` returned a size."""
        self.held_bytes -= size
