"""How many stop orders go to a runner in one write."""

#: Largest number of orders in one write. A runner takes 0.2 ms for each, and carries
#: out those of a write in turn.
MAX_STOPS_IN_A_WRITE = 512
#: Largest number of orders that all senders together have under way, for the memory of
#: their requests and responses.
MAX_STOPS_UNDER_WAY = 10_000
#: Largest number of responses that all senders together read in a turn of the event
#: loop. An owner takes 40 us for each, so that a turn stays below 50 ms.
MAX_RESPONSES_IN_A_TURN = 1_000
#: Size of the second write, if the first order was answered. If that write is answered
#: whole, too, the runner takes several requests at once.
SECOND_SIZE = 8


class StopBatch:
    """Chooses how many stop orders a sender writes to a runner at once.

    The load is a submission of thousands of running tasks that is cancelled, or fails:
    a stop must take effect within seconds, and a call for each costs most of what a
    process can do in that time. Few stops go one by one. A write that isn't answered
    whole leaves open which of its orders were carried out, so that the size falls, and
    stays at one if a runner answers the first of several requests alone. On a machine
    that is short of processor time each write takes several long turns of the event
    loop, so that few large writes are needed; their responses are read in several
    turns.

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

    @staticmethod
    def responses_in_a_turn(senders: int) -> int:
        """Return how many responses a sender reads before other coroutines run.

        Parameters
        ----------
        senders : int
            Number of senders to all runners, this one included.
        """
        return max(1, MAX_RESPONSES_IN_A_TURN // senders)

    def record(self, sent: int, answered: int) -> None:
        """Record how many of the orders of a write got a response."""
        if answered == sent:
            proven = SECOND_SIZE if sent == 1 else MAX_STOPS_IN_A_WRITE
            self.size = min(self._most, max(self.size, proven))
            return
        if answered == 1:
            self._most = 1
        self.size = max(1, min(self._most, answered))
