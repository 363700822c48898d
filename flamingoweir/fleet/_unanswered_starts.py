"""Start orders to one runner that got no response, or none yet."""

from ._call_fence import MAX_LATENESS_S

#: Seconds after its sending within which an order is expected to get a response.
USUAL_RESPONSE_S = 0.05


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
        #: When the orders were sent that have no result yet, by a number of their own.
        self._sent_s_by_number: dict[int, float] = {}
        self._last_number = 0

    def record_sent(self, now_s: float) -> int:
        """Record that an order is sent; return its number."""
        self._last_number += 1
        self._sent_s_by_number[self._last_number] = now_s
        return self._last_number

    def record_result(self, number: int, is_answered: bool, now_s: float) -> None:
        """Record that an order has got a response, or will get none."""
        del self._sent_s_by_number[number]
        if not is_answered:
            self.until_s = max(self.until_s, now_s + MAX_LATENESS_S)

    @property
    def has_pending(self) -> bool:
        """Whether an order was sent that has no result yet."""
        return bool(self._sent_s_by_number)

    def may_arrive(self, now_s: float) -> bool:
        """Return whether an order may arrive later that should have been answered.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if now_s < self.until_s:
            return True
        # They are in the order of their sending.
        for sent_s in self._sent_s_by_number.values():
            return now_s - sent_s > USUAL_RESPONSE_S
        return False
