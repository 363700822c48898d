"""How many stop orders go to a runner in one write."""

#: Largest number of orders in one write. A runner takes 0.2 ms for each, and carries
#: out those of a write in turn.
MAX_STOPS_IN_A_WRITE = 256
#: Largest number of orders that all senders together have under way. An owner takes
#: 40 us for each response, so that a turn of its event loop stays below 50 ms.
MAX_STOPS_UNDER_WAY = 1_000
#: Factor by which the size rises with each write that is answered whole. A write takes
#: several turns of the event loop, which are long on a busy instance.
GROWTH = 8


class StopBatch:
    """Chooses how many stop orders a sender writes to a runner at once.

    The load is a submission of thousands of running tasks that is cancelled, or fails:
    a stop must take effect within seconds, and a call for each costs most of what a
    process can do in that time. Few stops go one by one. A write that isn't answered
    whole leaves open which of its orders were carried out, so that the size falls, and
    stays at one if a runner answers the first of several requests alone.

    Attributes
    ----------
    size : int
        Largest number of orders in the next write to the runner.
    """

    def __init__(self) -> None:
        self.size = 1
        self._most = MAX_STOPS_IN_A_WRITE

    def choose(self, senders: int) -> int:
        """Return the largest number of orders in the next write.

        Parameters
        ----------
        senders : int
            Number of senders to all runners, this one included.
        """
        return min(self.size, max(1, MAX_STOPS_UNDER_WAY // senders))

    def record(self, sent: int, answered: int) -> None:
        """Record how many of the orders of a write got a response."""
        if answered == sent:
            self.size = min(self._most, max(self.size, GROWTH * sent))
            return
        if answered == 1:
            self._most = 1
        self.size = max(1, min(self._most, answered))
