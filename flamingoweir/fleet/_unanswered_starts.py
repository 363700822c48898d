"""Start orders to one runner that got no response, or none yet."""

from ._call_fence import MAX_LATENESS_S


class UnansweredStarts:
    """Tells until when a start order may arrive late at an incarnation of a runner.

    A task may have run and ended by then: another order of it, or the same one, was
    carried out before.

    Parameters
    ----------
    until_s : float
        Until when an earlier owner's orders may arrive, on the owner's clock, in
        seconds.

    Attributes
    ----------
    until_s : float
        Until when orders without a response may arrive, on the owner's clock, in
        seconds.
    """

    def __init__(self, until_s: float = float("-inf")):
        self.until_s = until_s
        self._pending_count = 0

    def record_sent(self) -> None:
        """Record that an order is sent, or waits for a connection."""
        self._pending_count += 1

    def record_result(self, is_answered: bool, now_s: float) -> None:
        """Record that an order has got a response, or will get none."""
        self._pending_count -= 1
        if not is_answered:
            self.until_s = max(self.until_s, now_s + MAX_LATENESS_S)

    def may_arrive(self, now_s: float) -> bool:
        """Return whether an order may arrive now or later.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        return self._pending_count > 0 or now_s < self.until_s
