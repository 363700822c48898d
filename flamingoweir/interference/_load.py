"""Forecast of a service's load."""

from collections import deque

#: Seconds of measurements that the forecast uses.
WINDOW_S = 40.0
#: Measurements within a bin of this length, in seconds, are averaged.
BIN_S = 4.0


class LoadForecast:
    """Linear fit to the loads measured within the last `WINDOW_S` seconds.

    The measurements arrive late, so the line is extrapolated to the requested time.
    """

    def __init__(self) -> None:
        self._bins: deque[tuple[float, float, int]] = deque()

    def add(self, time_s: float, load: float) -> None:
        """Add a load measured at ``time_s``."""
        start_s = time_s // BIN_S * BIN_S
        if self._bins and start_s <= self._bins[-1][0]:
            last_s, total, count = self._bins.pop()
            self._bins.append((last_s, total + load, count + 1))
            return
        self._bins.append((start_s, load, 1))
        while self._bins[0][0] < start_s - WINDOW_S:
            self._bins.popleft()

    def predict_max(self, from_s: float, until_s: float) -> float:
        """Return the highest load expected between two times; 0 if none was added."""
        if not self._bins:
            return 0.0
        times = [start_s for start_s, _, _ in self._bins]
        loads = [total / count for _, total, count in self._bins]
        mean_time_s = sum(times) / len(times)
        mean_load = sum(loads) / len(loads)
        time_variation = sum((time_s - mean_time_s) ** 2 for time_s in times)
        slope = 0.0
        if time_variation:
            pairs = zip(times, loads, strict=True)
            slope = (
                sum((s - mean_time_s) * (load - mean_load) for s, load in pairs)
                / time_variation
            )
        predicted_at_s = from_s if slope < 0 else until_s
        return max(0.0, mean_load + slope * (predicted_at_s - mean_time_s))
