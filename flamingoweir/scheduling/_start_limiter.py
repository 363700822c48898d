"""Limits the rate of batch starts after a zone has been brought back."""

from ..clock import Clock

LIMIT_PERIOD_S = 30.0


class BatchStartLimiter:
    """A token bucket for batch starts, active for a period after a zone is back.

    Tokens that are not used in this period accumulate.

    Parameters
    ----------
    clock : Clock
        Clock of the instance.
    starts_per_worker_s : float
        Batch starts per worker and second.
    """

    def __init__(self, clock: Clock, starts_per_worker_s: float):
        self._clock = clock
        self._starts_per_worker_s = starts_per_worker_s
        self._tokens = 0.0
        self._tokens_per_s = 0.0
        self._updated_s = 0.0
        self._limited_until_s = float("-inf")

    def begin(self, workers: int) -> None:
        """Start the limited period for a number of workers."""
        now_s = self._clock.now()
        self._tokens = float(workers) * self._starts_per_worker_s
        self._tokens_per_s = float(workers) * self._starts_per_worker_s
        self._updated_s = now_s
        self._limited_until_s = now_s + LIMIT_PERIOD_S

    def has_token(self) -> bool:
        """Add the tokens due and return whether a batch task may be placed."""
        now_s = self._clock.now()
        if now_s >= self._limited_until_s:
            return True
        self._tokens += (now_s - self._updated_s) * self._tokens_per_s
        self._updated_s = now_s
        return self._tokens >= 1.0

    def use_token(self) -> None:
        """Use one token for a batch task."""
        self._tokens -= 1.0
