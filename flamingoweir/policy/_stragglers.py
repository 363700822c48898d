"""Which attempts are stopped because they stand still.

Answers runners that look healthy but on which nothing goes on: declared run times are
far off, so that only the progress that a runner reports tells a hung task.
"""

from ..fleet import Place, Runner
from ..jobs import Standing

#: Seconds without progress after which an attempt is started elsewhere. The slowest
#: sound task seen advances two percent in a second.
STALL_S = 2.5


def find_stalled(runner: Runner, now_s: float) -> list[Place]:
    """Return attempts that have stood still although nothing holds them back."""
    found = []
    for place in runner.place_by_run.values():
        attempt = place.attempt
        if attempt.standing is not Standing.RUNNING or attempt.pace_asked < 100:
            continue
        if place.spec.lasting or place.spec.gang:
            continue
        if now_s - max(attempt.progressed_s, place.free_since_s) > STALL_S:
            found.append(place)
    return found
