"""Which ends of attempts a runner may forget."""

#: Largest number of ends that are kept from being acknowledged. A report lists 500.
MAX_WITHHELD_ENDS = 250


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

    @property
    def is_acknowledged(self) -> bool:
        """Whether the runner has forgotten all ends that were received."""
        return self.acknowledged >= self.received

    @property
    def may_be_withheld(self) -> bool:
        """Whether a report has room for ends that are not acknowledged yet."""
        return self.received - self.acknowledged <= MAX_WITHHELD_ENDS

    def record_durable(self, number: int) -> None:
        """Record that the ends up to a number are durable."""
        self.durable = max(self.durable, number)

    def record_acknowledged(self, number: int) -> None:
        """Record that a call with a number got a response."""
        self.acknowledged = max(self.acknowledged, number)

    def choose(self) -> int:
        """Return the number that a call acknowledges; 0: none."""
        return self.durable if self.durable > self.acknowledged else 0
