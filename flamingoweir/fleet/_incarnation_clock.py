"""The clock of a runner's incarnation, which begins anew with each incarnation."""

from ..clock import CLOCK_DRIFT

#: Longest delay in milliseconds of a report, whose clock lags behind by as much.
MAX_REPORT_DELAY_MS = 1_600
#: Milliseconds by which a clock may be behind, for rounding.
ROUNDING_MS = 20


class IncarnationClock:
    """The clock of the incarnation that reports have reached, as of its last response.

    Attributes
    ----------
    read_ms : float
        The clock in the last report, in milliseconds.
    read_s : float
        When that report arrived, on the owner's clock, in seconds.
    """

    def __init__(self) -> None:
        self.read_ms = 0.0
        self.read_s = 0.0

    def record(self, clock_ms: float, now_s: float) -> None:
        """Record the clock in a report that has just arrived."""
        self.read_ms = clock_ms
        self.read_s = now_s

    def estimate_ms(self, now_s: float) -> float:
        """Return the clock in milliseconds; it is behind by the report's delay.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        return self.read_ms + 1000 * (now_s - self.read_s)

    def may_show(self, clock_ms: float, sent_s: float, now_s: float) -> bool:
        """Return whether a response may be this incarnation's, by the clock in it.

        Parameters
        ----------
        clock_ms : float
            The clock in the response, in milliseconds.
        sent_s, now_s : float
            When the call was sent, and the current time, on the owner's clock, in
            seconds.
        """
        drift_ms = 1000 * CLOCK_DRIFT * (now_s - self.read_s)
        earliest_ms = self.estimate_ms(sent_s) - drift_ms - ROUNDING_MS
        latest_ms = self.estimate_ms(now_s) + drift_ms + MAX_REPORT_DELAY_MS
        return earliest_ms <= clock_ms <= latest_ms
