"""Start orders to one runner that got no response, or none yet."""

from ._call_fence import MAX_LATENESS_S


class UnansweredStarts:
    """Tells until when a start order may arrive late at an incarnation of a runner.

    A task may have run and ended by then: another order of it, or the same one, was
    carried out before. Any order without a response may be late, however short ago it
    was sent.

    Parameters
    ----------
    until_s : float
        Until when an earlier owner's orders may arrive, on the owner's clock, in
        seconds.

    Attributes
    ----------
    lost_until_s : float
        Until when orders may arrive that will get no response, on the owner's clock, in
        seconds.
    """

    def __init__(self, until_s: float = float("-inf")):
        self.lost_until_s = until_s
        self._pending_count = 0

    def record_sent(self) -> None:
        """Record that an order is sent."""
        self._pending_count += 1

    def record_result(self, is_answered: bool, now_s: float) -> None:
        """Record that an order has got a response, or will get none.

        Parameters
        ----------
        is_answered : bool
            Whether it has got one.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self._pending_count -= 1
        if not is_answered:
            self.lost_until_s = max(self.lost_until_s, now_s + MAX_LATENESS_S)

    @property
    def has_pending(self) -> bool:
        """Whether an order was sent that has no result yet."""
        return self._pending_count > 0

    def find_end_s(self, now_s: float) -> float:
        """Return until when an order may arrive late, on the owner's clock, in seconds.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.has_pending:
            return max(self.lost_until_s, now_s + MAX_LATENESS_S)
        return self.lost_until_s

    def may_arrive(self, now_s: float) -> bool:
        """Return whether an order may arrive late, now or later.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        return now_s < self.find_end_s(now_s)
