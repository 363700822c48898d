"""Detection of attempts without progress.

A runner can look healthy although its tasks hang. Declared run times are inaccurate,
so a hung task is detected only by the progress that its runner reports.
"""

from ..fleet import Allocation, Runner
from ..jobs import AttemptState

#: Seconds without progress after which an attempt is stopped and its task is started
#: elsewhere. The slowest healthy task advances by two percent per second.
STALL_S = 2.5


def find_stalled(runner: Runner, now_s: float) -> list[Allocation]:
    """Return allocations of attempts that make no progress at full pace."""
    found = []
    for allocation in runner.allocation_by_run.values():
        attempt = allocation.attempt
        if (
            attempt.state is not AttemptState.RUNNING
            or attempt.requested_pace_percent < 100
        ):
            continue
        if allocation.spec.lasting or allocation.spec.gang:
            continue
        if (
            now_s - max(attempt.last_progress_s, allocation.unthrottled_since_s)
            > STALL_S
        ):
            found.append(allocation)
    return found
