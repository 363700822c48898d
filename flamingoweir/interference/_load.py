"""A service's load, and where it is going."""

from collections import deque

WINDOW_S = 40.0
BIN_S = 4.0


class LoadForecast:
    """A straight line through the last seconds of lagging measurements."""

    def __init__(self) -> None:
        self._bins: deque[tuple[float, float, int]] = deque()

    def add(self, moment_s: float, load: float) -> None:
        """Take a measurement into account, made at ``moment_s``."""
        start_s = moment_s // BIN_S * BIN_S
        if self._bins and start_s <= self._bins[-1][0]:
            last_s, total, count = self._bins.pop()
            self._bins.append((last_s, total + load, count + 1))
            return
        self._bins.append((start_s, load, 1))
        while self._bins[0][0] < start_s - WINDOW_S:
            self._bins.popleft()

    def highest(self, from_s: float, until_s: float) -> float:
        """Return the highest load to be expected in a span."""
        if not self._bins:
            return 0.0
        moments = [start_s for start_s, _, _ in self._bins]
        loads = [total / count for _, total, count in self._bins]
        middle_s = sum(moments) / len(moments)
        mean = sum(loads) / len(loads)
        spread = sum((moment_s - middle_s) ** 2 for moment_s in moments)
        slope = 0.0
        if spread:
            pairs = zip(moments, loads, strict=True)
            slope = sum((s - middle_s) * (load - mean) for s, load in pairs) / spread
        at = from_s if slope < 0 else until_s
        return max(0.0, mean + slope * (at - middle_s))
