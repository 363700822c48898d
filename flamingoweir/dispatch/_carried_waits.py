"""The waits that an owner takes over from the former one and passes on."""

from ..clock import Clock
from ..ownership import Waits, encoded_bytes
from ._step_waits import StepWaits

#: Largest total length of what the owner row says of steps. A row has at most 64 KiB,
#: with the ends of leases and the missing runners.
MAX_STEP_BYTES = 3_500
#: Shortest time in seconds between two lists. A busy owner writes more often.
LIST_INTERVAL_S = 0.1


class CarriedWaits:
    """Waits that go on from one owner to the next.

    Parameters
    ----------
    clock : Clock
        The owner's clock.
    former : Waits, optional
        What the former owner has published; left out: nothing.

    Attributes
    ----------
    steps : StepWaits
        Waits of steps for a runner.
    """

    def __init__(self, clock: Clock, former: Waits | None = None):
        former = former or Waits()
        self.steps = StepWaits(former.by_step)
        self._clock = clock
        self._listed = former
        self._listed_s = float("-inf")

    def list_waits(self) -> Waits:
        """Return the waits to be published."""
        now_s = self._clock.now()
        if now_s - self._listed_s < LIST_INTERVAL_S:
            return self._listed
        by_step = {}
        left_bytes = MAX_STEP_BYTES
        for name, wait in self.steps.list_waits():
            left_bytes -= encoded_bytes(name, wait)
            if left_bytes < 0:
                break
            by_step[name] = wait
        self._listed = Waits(by_step)
        self._listed_s = now_s
        return self._listed
