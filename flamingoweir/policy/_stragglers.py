"""Detection of attempts without progress.

A runner can look healthy although its tasks hang. A hung task is detected only by the
progress that its runner reports, in whole percents. A task of ten minutes takes six
seconds for each, so that the time without progress after which a task counts as hung
depends on the task: on its declared run time, on the progress seen so far and, as
declared run times are inaccurate, on how often it was taken for hung before.
"""

from ..fleet import Allocation, Runner
from ..jobs import AttemptState

#: Shortest time in seconds without progress after which an attempt is stopped and its
#: task is started elsewhere.
STALL_S = 2.5
#: Longest such time in seconds for the first attempt at a task.
MAX_FIRST_STALL_S = 60.0
#: Multiple of the time that a percent should take, or has taken at the most.
SLOWDOWN = 3.0
#: Number of earlier stalls up to which each doubles the time.
MAX_DOUBLINGS = 6


def stall_s(allocation: Allocation) -> float:
    """Return the seconds without progress after which an attempt counts as hung."""
    expected_s = SLOWDOWN * allocation.spec.estimate_s / 100
    seen_s = SLOWDOWN * allocation.attempt.slowest_percent_s
    first_s = min(MAX_FIRST_STALL_S, max(STALL_S, expected_s, seen_s))
    return first_s * 2 ** min(allocation.earlier_stalls, MAX_DOUBLINGS)


def progress_expected_since_s(allocation: Allocation) -> float:
    """Return since when an attempt should have made progress, on the owner's clock."""
    return max(allocation.attempt.last_progress_s, allocation.unthrottled_since_s)


def find_stalled(
    runner: Runner, now_s: float, fraction: float = 1.0
) -> list[Allocation]:
    """Return allocations of attempts that make no progress at full pace.

    Parameters
    ----------
    runner : Runner
        The runner.
    now_s : float
        Time on the owner's clock, in seconds.
    fraction : float
        Fraction of the time after which an attempt counts as hung.
    """
    found = []
    least_s = fraction * STALL_S
    for allocation in runner.allocation_by_run.values():
        attempt = allocation.attempt
        if (
            attempt.state is not AttemptState.RUNNING
            or attempt.requested_pace_percent < 100
        ):
            continue
        if allocation.spec.lasting or allocation.spec.gang:
            continue
        still_s = now_s - progress_expected_since_s(allocation)
        # Most attempts have made progress lately; this is the cheapest check.
        if still_s > least_s and still_s > fraction * stall_s(allocation):
            found.append(allocation)
    return found
