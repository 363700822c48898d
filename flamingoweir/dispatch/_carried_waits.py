"""The waits that an owner takes over from the former one and passes on."""

from collections.abc import Iterable

from ..clock import Clock
from ..ownership import RunWait, StepWait, Waits, encoded_bytes
from ._run_waits import RunWaits
from ._step_waits import StepWaits

#: Largest total lengths of what the owner row says of steps and of runs. A row has at
#: most 64 KiB, with the ends of leases and the missing runners.
MAX_STEP_BYTES = 3_500
MAX_RUN_BYTES = 2_000
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
    written_s : float or None
        By when that was written, on the owner's clock, in seconds; None if unknown.

    Attributes
    ----------
    steps : StepWaits
        Waits of steps for a runner.
    runs : RunWaits
        Times without progress of runs.
    """

    def __init__(
        self,
        clock: Clock,
        former: Waits | None = None,
        written_s: float | None = None,
    ):
        former = former or Waits()
        self.steps = StepWaits(former.by_step, written_s)
        self.runs = RunWaits(former.by_run)
        self._clock = clock
        self._listed = former
        self._listed_s = float("-inf")

    def list_waits(self) -> Waits:
        """Return the waits to be published."""
        now_s = self._clock.now()
        if now_s - self._listed_s < LIST_INTERVAL_S:
            return self._listed
        by_step = _take_first(self.steps.list_waits(), MAX_STEP_BYTES)
        by_run = _take_first(self.runs.list_waits(), MAX_RUN_BYTES)
        self._listed = Waits(by_step, by_run)
        self._listed_s = now_s
        return self._listed


def _take_first(
    waits: Iterable[tuple[str, StepWait | RunWait]], max_bytes: int
) -> dict[str, StepWait | RunWait]:
    """Return the first waits, as many as have some bytes in the owner row."""
    wait_by_name = {}
    left_bytes = max_bytes
    for name, wait in waits:
        left_bytes -= encoded_bytes(name, wait)
        if left_bytes < 0:
            break
        wait_by_name[name] = wait
    return wait_by_name
