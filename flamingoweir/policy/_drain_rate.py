"""How much work ends per second, and how long tasks run compared with their estimates.

Addresses a load that exceeds the fleet: what can end until a deadline follows from what
has ended in the last seconds. That figure contains the pace of tasks, their neighbours,
repeated runs and wrong estimates, none of which need to be known.
"""

from collections import deque
from dataclasses import dataclass

#: Seconds over which the rate is measured. Tasks run for a few seconds; a shorter
#: window would see whole waves of them end, or none.
WINDOW_S = 5.0
#: Seconds of the window in which tasks must have waited for the rate to be known.
MIN_MEASURED_S = 1.2
#: Limits for the time, in seconds, for which tasks have to wait before ends count. What
#: ends earlier was started while the fleet was not full, so that the time is the mean
#: run time of tasks.
MIN_SETTLE_S = 0.3
MAX_SETTLE_S = 4.0
#: Quantile of the ratios of real to estimated run times. A step ends with its slowest
#: task.
RATIO_QUANTILE = 0.9
#: Limits of the ratio. Declared run times are off by a factor of 3 at most.
MIN_RATIO = 1 / 3
MAX_RATIO = 3.0
#: Number of ended tasks from which the ratio is used, and number of the latest ones
#: that count.
MIN_RATIO_TASKS = 20
MAX_RATIO_TASKS = 200


@dataclass(frozen=True, slots=True)
class _Interval:
    """Work that ended in an interval in which tasks waited."""

    end_s: float
    duration_s: float
    work: float


class DrainRate:
    """Work that ends per second on one kind of processors of a service.

    It is measured only while tasks wait for room; otherwise the capacity isn't known.
    """

    def __init__(self) -> None:
        self._intervals: deque[_Interval] = deque()
        self._updated_s: float | None = None
        self._waiting_since_s: float | None = None
        self._run_s = MIN_SETTLE_S

    def update(
        self, ended_work: float, mean_run_s: float, is_waiting: bool, now_s: float
    ) -> None:
        """Record what has ended since the last update.

        Parameters
        ----------
        ended_work : float
            Estimated work of the ended tasks, in processor-seconds.
        mean_run_s : float
            Mean run time of these tasks in seconds; 0 if it isn't known.
        is_waiting : bool
            Whether tasks wait for room now.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        began_s, self._updated_s = self._updated_s, now_s
        if mean_run_s > 0.0:
            self._run_s += 0.3 * (mean_run_s - self._run_s)
        while self._intervals and self._intervals[0].end_s < now_s - WINDOW_S:
            self._intervals.popleft()
        if not is_waiting:
            self._waiting_since_s = None
            return
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
            return
        settle_s = min(max(self._run_s, MIN_SETTLE_S), MAX_SETTLE_S)
        if began_s is not None and began_s - self._waiting_since_s >= settle_s:
            self._intervals.append(_Interval(now_s, now_s - began_s, ended_work))

    def per_s(self) -> float | None:
        """Return the work that ends per second; None if it isn't known."""
        measured_s = sum(interval.duration_s for interval in self._intervals)
        if measured_s < MIN_MEASURED_S:
            return None
        return sum(interval.work for interval in self._intervals) / measured_s

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the end of the latest measurement."""
        return now_s - self._intervals[-1].end_s if self._intervals else float("inf")


class RunRatio:
    """Ratio of the real to the declared run times of a queue's tasks."""

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=MAX_RATIO_TASKS)
        self._value: float | None = 1.0

    def record(self, run_s: float, estimate_s: float) -> None:
        """Record the run of a task that is done, in seconds."""
        if estimate_s > 0.0:
            self._ratios.append(run_s / estimate_s)
            self._value = None

    @property
    def value(self) -> float:
        """The ratio, a high quantile of the latest runs; 1 until enough have ended."""
        if self._value is None:
            self._value = 1.0
            if len(self._ratios) >= MIN_RATIO_TASKS:
                at = int(RATIO_QUANTILE * (len(self._ratios) - 1))
                ratio = sorted(self._ratios)[at]
                self._value = min(max(ratio, MIN_RATIO), MAX_RATIO)
        return self._value
