"""What the owner row says of start orders that may be carried out late."""

from collections.abc import Iterable

from ..fleet import MAX_LATENESS_S, Runner
from ..ownership import START_VALID_S
from ._missing_runners import ENTRY_BYTES

#: Largest total length of what the owner row says of them.
MAX_PUBLISHED_BYTES = 4_000


def list_late_starts(
    runners: Iterable[Runner], now_s: float
) -> dict[str, float] | None:
    """Return in how many seconds no start order can reach a runner any more.

    Counts orders that the next write allows to be sent, and those without a response.

    Parameters
    ----------
    runners : iterable of Runner
        All runners.
    now_s : float
        Time on the owner's clock, in seconds.

    Returns
    -------
    dict of str to float, or None
        Seconds by the id of a runner with such orders; None if there are too many.
    """
    left_s_by_runner = {}
    published_bytes = 0
    for runner in runners:
        left_s = _find_left_s(runner, now_s)
        if left_s <= 0:
            continue
        published_bytes += len(runner.id.encode()) + ENTRY_BYTES
        if published_bytes > MAX_PUBLISHED_BYTES:
            return None
        left_s_by_runner[runner.id] = round(left_s, 3)
    return left_s_by_runner


def _find_left_s(runner: Runner, now_s: float) -> float:
    longest_s = 0.0
    for allocation in runner.allocation_by_run.values():
        if allocation.started_s is None:
            return START_VALID_S + MAX_LATENESS_S
        longest_s = max(longest_s, allocation.late_start_until_s - now_s)
    return longest_s
