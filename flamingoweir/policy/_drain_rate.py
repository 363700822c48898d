"""How much work ends per second, and how long tasks run compared with their estimates.

Addresses a load that exceeds the fleet: what can end until a deadline follows from what
has ended in the last seconds. That figure contains the pace of tasks, their neighbours,
repeated runs and wrong estimates, none of which need to be known.
"""

from collections import deque
from dataclasses import dataclass

#: Least seconds over which the rate is measured, and the same in mean run times. A
#: shorter window would see whole waves of tasks end, or none.
MIN_WINDOW_S = 5.0
WINDOW_RUNS = 2.5
#: Least seconds of the window in which tasks must have waited for the rate to be known.
#: It is at least a mean run time.
MIN_MEASURED_S = 1.2
#: Limits for the time, in seconds, for which tasks have to wait before ends count. What
#: ends earlier was started while the fleet was not full, so that the time is the mean
#: run time of tasks.
MIN_SETTLE_S = 0.3
MAX_SETTLE_S = 60.0
#: Number of ended tasks with known run times from which the mean run time is known. A
#: new owner knows no run times at first.
MIN_RUNS = 20
#: Number of ends in the window from which the rate is known. Few ends are chance.
MIN_WINDOW_ENDS = 10
#: Longest time in seconds between two updates that counts towards the rate. Nothing is
#: placed while planning is suspended, as during an outage of the store.
MAX_GAP_S = 1.0
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
    ends: int


class DrainRate:
    """Work that ends per second on one kind of processors of a service.

    It is measured only while tasks wait for room; otherwise the capacity isn't known.
    """

    def __init__(self) -> None:
        self._intervals: deque[_Interval] = deque()
        self._updated_s: float | None = None
        self._waiting_since_s: float | None = None
        self._run_s = 0.0
        self._run_count = 0

    def update(
        self,
        ended_work: float,
        mean_run_s: float,
        is_waiting: bool,
        now_s: float,
        *,
        run_count: int,
        declared_run_s: float = 0.0,
        interval_s: float = 0.0,
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
        run_count : int
            Number of ended tasks whose run times are known.
        declared_run_s : float
            Mean declared run time of the tasks that wait, in seconds; 0 if it isn't
            known.
        interval_s : float
            Intended time between updates, in seconds. With very many jobs it exceeds
            `MAX_GAP_S`.
        """
        began_s, self._updated_s = self._updated_s, now_s
        if run_count:
            self._run_count += run_count
            weight = max(0.3, run_count / self._run_count)
            self._run_s += weight * (mean_run_s - self._run_s)
        if began_s is not None and now_s - began_s > max(MAX_GAP_S, 2 * interval_s):
            self._intervals.clear()
            self._waiting_since_s = None
        window_s = max(MIN_WINDOW_S, WINDOW_RUNS * self._run_s)
        while self._intervals and self._intervals[0].end_s < now_s - window_s:
            self._intervals.popleft()
        if not is_waiting:
            self._waiting_since_s = None
            return
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
            return
        run_s = self._run_s if self._run_count >= MIN_RUNS else declared_run_s
        settle_s = min(max(run_s or MAX_SETTLE_S, MIN_SETTLE_S), MAX_SETTLE_S)
        if began_s is not None and began_s - self._waiting_since_s >= settle_s:
            interval = _Interval(now_s, now_s - began_s, ended_work, run_count)
            self._intervals.append(interval)

    def per_s(self) -> float | None:
        """Return the work that ends per second; None if it isn't known."""
        if self._run_count < MIN_RUNS:
            return None
        measured_s = sum(interval.duration_s for interval in self._intervals)
        if measured_s < max(MIN_MEASURED_S, min(self._run_s, MAX_SETTLE_S)):
            return None
        if sum(interval.ends for interval in self._intervals) < MIN_WINDOW_ENDS:
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
