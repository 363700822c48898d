"""Which attempts are stopped because they stand still.

Answers runners that look healthy but on which nothing goes on: declared run times are
far off, so that only the progress that a runner reports tells a hung task.
"""

from ..fleet import Allocation, Runner
from ..jobs import AttemptState

#: Seconds without progress after which an attempt is started elsewhere. The slowest
#: sound task seen advances two percent in a second.
STALL_S = 2.5


def find_stalled(runner: Runner, now_s: float) -> list[Allocation]:
    """Return attempts that have stood still although nothing holds them back."""
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
