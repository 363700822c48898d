"""Start orders that may still be carried out, for the owner row."""

from collections.abc import Mapping

from ..fleet import MAX_LATENESS_S, Allocation, Runner
from ..ownership import HASH_LENGTH, START_VALID_S, encode_run_hashes, hash_run
from ._missing_runners import ENTRY_BYTES

#: Largest total length of each thing that the owner row says of them.
MAX_PUBLISHED_BYTES = 4_000


class LateStarts:
    """Allocations whose start order is under way or got no response.

    Only these are looked at with each write, as a fleet has tens of thousands.
    """

    def __init__(self) -> None:
        self._allocations: dict[Allocation, None] = {}
        self._runners: dict[Runner, None] = {}

    def add(self, allocation: Allocation) -> None:
        """Add an allocation whose order is to be sent, or got no response."""
        self._allocations[allocation] = None

    def list_run_hashes(self) -> str | None:
        """Return hashes of the runs of the latest `list_left_s`.

        None if there are too many for the owner row.
        """
        if HASH_LENGTH * len(self._allocations) > MAX_PUBLISHED_BYTES:
            return None
        hashes = []
        for allocation in self._allocations:
            attempt = allocation.attempt
            hashes.append(hash_run(f"{attempt.task}#{attempt.run}"))
        return encode_run_hashes(hashes)

    def add_runner(self, runner: Runner) -> None:
        """Add a runner that has not responded to a start order."""
        self._runners[runner] = None

    def list_unanswered_left_s(self, now_s: float) -> dict[str, float]:
        """Return for how many seconds orders without a response may arrive, by runner.

        Attempts that have ended count as well, as their task may run again. An empty id
        stands for the runners that are not named.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        left_s_by_runner: dict[str, float] = {}
        published_bytes = 0
        for runner in list(self._runners):
            left_s = round(runner.unanswered_starts.find_end_s(now_s) - now_s, 3)
            if left_s <= 0:
                del self._runners[runner]
                continue
            runner_id = runner.id
            published_bytes += len(runner_id.encode()) + ENTRY_BYTES
            if published_bytes > MAX_PUBLISHED_BYTES:
                runner_id = ""
                left_s = max(left_s, left_s_by_runner.get("", 0.0))
            left_s_by_runner[runner_id] = left_s
        return left_s_by_runner

    def list_left_s(
        self, runner_by_id: Mapping[str, Runner], now_s: float
    ) -> dict[str, float] | None:
        """Return in how many seconds no start order can reach a runner any more.

        Counts orders that the next write allows to be sent, and those without a
        response. Allocations that have ended, or whose order can't come any more, are
        dropped.

        Parameters
        ----------
        runner_by_id : mapping of str to Runner
            All runners.
        now_s : float
            Time on the owner's clock, in seconds.

        Returns
        -------
        dict of str to float, or None
            Seconds by the id of a runner with such orders; None if there are too many.
        """
        left_s_by_runner: dict[str, float] = {}
        for allocation in list(self._allocations):
            attempt = allocation.attempt
            runner = runner_by_id.get(attempt.runner)
            if (
                runner is None
                or runner.find(attempt.task, attempt.run) is not allocation
            ):
                del self._allocations[allocation]
                continue
            left_s = _find_left_s(allocation, runner, now_s)
            if left_s <= 0:
                del self._allocations[allocation]
                continue
            longest_s = max(left_s_by_runner.get(runner.id, 0.0), left_s)
            left_s_by_runner[runner.id] = round(longest_s, 3)
        published_bytes = 0
        for runner_id in left_s_by_runner:
            published_bytes += len(runner_id.encode()) + ENTRY_BYTES
        return left_s_by_runner if published_bytes <= MAX_PUBLISHED_BYTES else None


def _find_left_s(allocation: Allocation, runner: Runner, now_s: float) -> float:
    if allocation.started_s is None and not allocation.has_restarted:
        return START_VALID_S + MAX_LATENESS_S
    return runner.find_late_until_s(allocation) - now_s
