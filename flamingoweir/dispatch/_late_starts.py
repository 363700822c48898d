"""Start orders that may still be carried out, for the owner row."""

from collections.abc import Mapping

from ..fleet import MAX_LATENESS_S, Allocation, Runner
from ..ownership import HASH_LENGTH, START_VALID_S, encode_run_hashes, hash_run
from ._missing_runners import ENTRY_BYTES

#: Largest total length of each thing that the owner row says of them.
MAX_PUBLISHED_BYTES = 4_000
#: Largest number of runs of which the owner row has hashes.
MAX_HASHED_RUNS = MAX_PUBLISHED_BYTES // HASH_LENGTH
#: Number of allocations up to which each write walks over all of them. It has to exceed
#: `MAX_HASHED_RUNS` by far: those that aren't dropped at once would keep the hashes of
#: the others out of the row, and the next owner would wait for all runs.
MAX_WALKED = 3_000
#: Seconds between two walks over all allocations, if there are more than that.
WALK_INTERVAL_S = 1.0
#: Longest time in seconds in which a start order can reach a runner: that of an order
#: that is yet to be sent.
LONGEST_LEFT_S = START_VALID_S + MAX_LATENESS_S


class LateStarts:
    """Allocations whose start order is under way or got no response.

    Only these are looked at with each write, as a fleet has tens of thousands. If
    thousands of orders wait to be sent, one for each runner tells as much as all.
    """

    def __init__(self) -> None:
        self._allocations_by_runner: dict[str, dict[Allocation, None]] = {}
        self._walked_s = float("-inf")
        self._runners: dict[Runner, None] = {}

    def add(self, allocation: Allocation) -> None:
        """Add an allocation whose order is to be sent, or got no response."""
        runner_id = allocation.attempt.runner
        allocations = self._allocations_by_runner.setdefault(runner_id, {})
        allocations[allocation] = None

    @property
    def _count(self) -> int:
        return sum(len(some) for some in self._allocations_by_runner.values())

    def list_run_hashes(self) -> str | None:
        """Return hashes of the runs of the latest `list_left_s`.

        None if there are too many for the owner row.
        """
        if self._count > MAX_HASHED_RUNS:
            return None
        hashes = []
        for allocations in self._allocations_by_runner.values():
            for allocation in allocations:
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
        dropped, now or, if there are many, within a second.

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
        walks = self._count <= MAX_WALKED
        if now_s - self._walked_s >= WALK_INTERVAL_S:
            walks = True
        if walks:
            self._walked_s = now_s
        left_s_by_runner: dict[str, float] = {}
        for runner_id, allocations in list(self._allocations_by_runner.items()):
            runner = runner_by_id.get(runner_id)
            longest_s = 0.0
            if runner is not None:
                longest_s = _find_longest_left_s(allocations, runner, now_s, walks)
            if longest_s > 0:
                left_s_by_runner[runner_id] = round(longest_s, 3)
            else:
                del self._allocations_by_runner[runner_id]
        published_bytes = 0
        for runner_id in left_s_by_runner:
            published_bytes += len(runner_id.encode()) + ENTRY_BYTES
        return left_s_by_runner if published_bytes <= MAX_PUBLISHED_BYTES else None


def _find_longest_left_s(
    allocations: dict[Allocation, None], runner: Runner, now_s: float, walks: bool
) -> float:
    """Return in how many seconds no start order of some can reach their runner.

    Drops those of which none can. Looks at all if `walks`, else at the latest ones up
    to the first whose order is yet to be sent.
    """
    longest_s = 0.0
    dropped = []
    for allocation in reversed(allocations):
        attempt = allocation.attempt
        left_s = 0.0
        if runner.find(attempt.task, attempt.run) is allocation:
            left_s = _find_left_s(allocation, runner, now_s)
        if left_s <= 0:
            dropped.append(allocation)
            continue
        longest_s = max(longest_s, left_s)
        if longest_s >= LONGEST_LEFT_S and not walks:
            break
    for allocation in dropped:
        del allocations[allocation]
    return longest_s


def _find_left_s(allocation: Allocation, runner: Runner, now_s: float) -> float:
    if allocation.started_s is None and not allocation.has_restarted:
        return LONGEST_LEFT_S
    return runner.find_late_until_s(allocation) - now_s
