"""Which ends of attempts a runner may forget."""

#: Largest number of ends that are kept from being acknowledged. A report lists 500.
MAX_WITHHELD_ENDS = 250
#: Longest time in seconds for which start orders wait as soon as ends are withheld. The
#: orders under way usually get their responses within it.
TURN_S = 0.05
#: Seconds after which they wait once more, for slow responses.
WITHHELD_S = 1.0
#: Longest time in seconds for which they then wait.
LONG_TURN_S = 0.25


class EndCursor:
    """Numbers of the ends that an incarnation of a runner lists.

    A runner forgets the ends up to a number that a call acknowledges. Numbers begin
    anew with each incarnation, and the next one may take a call that was meant for the
    former one, so that only as few calls as possible acknowledge ends.

    Attributes
    ----------
    received : int
        Number of the last end that was received.
    durable : int
        Number of the last end that is durable in the store.
    acknowledged : int
        Number of the last end whose acknowledgement got a response.
    """

    def __init__(self) -> None:
        self.received = 0
        self.durable = 0
        self.acknowledged = 0
        #: Since when ends are withheld, or when their latest long turn ended; None:
        #: none is.
        self._withheld_since_s: float | None = None

    @property
    def is_acknowledged(self) -> bool:
        """Whether the runner has forgotten all ends that were received."""
        return self.acknowledged >= self.received

    @property
    def are_many_withheld(self) -> bool:
        """Whether ends that are withheld may soon fill a report."""
        withheld = self.received - self.acknowledged > MAX_WITHHELD_ENDS
        return withheld and self._withheld_since_s is not None

    def record_withheld(self, now_s: float) -> None:
        """Record that a call could not acknowledge ends for the sake of start orders.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        since_s = self._withheld_since_s
        if since_s is None or now_s >= since_s + WITHHELD_S + LONG_TURN_S:
            self._withheld_since_s = now_s

    def record_sent(self) -> None:
        """Record that a call is sent that acknowledges all that it may."""
        self._withheld_since_s = None

    def have_turn(self, now_s: float) -> bool:
        """Return whether start orders wait, so that ends can be acknowledged.

        Ends and orders take turns, so that neither waits for a steady stream of the
        others.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        since_s = self._withheld_since_s
        if since_s is not None and now_s < since_s + TURN_S:
            return True
        return self.have_long_turn(now_s)

    def have_long_turn(self, now_s: float) -> bool:
        """Return whether start orders wait as ends have been withheld for long.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self._withheld_since_s is None:
            return False
        waited_s = now_s - self._withheld_since_s
        return WITHHELD_S <= waited_s < WITHHELD_S + LONG_TURN_S

    def record_durable(self, number: int) -> None:
        """Record that the ends up to a number are durable."""
        self.durable = max(self.durable, number)

    def record_acknowledged(self, number: int) -> None:
        """Record that a call with a number got a response."""
        self.acknowledged = max(self.acknowledged, number)

    def choose(self) -> int:
        """Return the number that a call acknowledges; 0: none."""
        return self.durable if self.durable > self.acknowledged else 0
