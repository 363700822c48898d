"""Detection of crashed runners, and of the tasks that may have crashed them.

To its owner, a runner that crashed looks like one that is cut off, until the next life
of its machine is listed. A task that crashes runners does so when it starts, so that
the attempts that started last are the most suspicious.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet import Allocation, Runner
from ..jobs import TaskId
from ..registry import RunnerEntry

#: Seconds after its start from which an attempt is not suspected of a crash.
SURVIVAL_S = 2.0
#: Seconds within which attempts count as started at the same time.
SAME_START_S = 0.25
#: Blame for a crash soon after the start of an attempt.
WEAK_BLAME = 1
#: Blame for a crash where no attempt started later.
STRONG_BLAME = 2
#: Seconds after the loss of a runner within which the next life of its machine shows
#: that it has crashed.
RETURN_WINDOW_S = 30.0


@dataclass(frozen=True, slots=True)
class Suspect:
    """A task that may have crashed a runner.

    Attributes
    ----------
    task : TaskId
        Id of the task.
    run : int
        Number of the run that was lost.
    blame : int
        `WEAK_BLAME` or `STRONG_BLAME`.
    """

    task: TaskId
    run: int
    blame: int


@dataclass(frozen=True, slots=True)
class Crash:
    """A runner that has crashed, and the tasks that may have caused it."""

    runner: str
    suspects: tuple[Suspect, ...]


@dataclass(frozen=True, slots=True)
class _LostRunner:
    runner: str
    machine: str
    incarnation: int
    suspects: tuple[Suspect, ...]
    until_s: float


class CrashDetector:
    """Tells runners that have crashed from runners that are cut off.

    A runner has crashed if its machine has a later life, and it did not drain before.
    """

    def __init__(self) -> None:
        self._lost_by_runner: dict[str, _LostRunner] = {}

    def record_lost(self, runner: Runner, now_s: float) -> None:
        """Record that the leases of a runner have lapsed, before its attempts end."""
        entry = runner.entry
        incarnation = runner.incarnation or entry.incarnation
        if not entry.address or not incarnation or entry.draining:
            return
        suspects = find_suspects(runner.allocation_by_run.values())
        if suspects:
            self._lost_by_runner[runner.id] = _LostRunner(
                runner.id,
                _machine(entry),
                incarnation,
                suspects,
                now_s + RETURN_WINDOW_S,
            )

    def record_response(self, runner: str) -> None:
        """Record that a runner responds: it was cut off, or has restarted."""
        self._lost_by_runner.pop(runner, None)

    def find_crashes(
        self, entry_by_id: Mapping[str, RunnerEntry], now_s: float
    ) -> list[Crash]:
        """Return the crashes that the listed runners show, each of them once."""
        if not self._lost_by_runner:
            return []
        born_by_machine: dict[str, int] = {}
        for entry in entry_by_id.values():
            machine = _machine(entry)
            born = max(entry.incarnation, born_by_machine.get(machine, 0))
            born_by_machine[machine] = born
        crashes = []
        for lost in list(self._lost_by_runner.values()):
            if now_s > lost.until_s:
                del self._lost_by_runner[lost.runner]
                continue
            if born_by_machine.get(lost.machine, 0) <= lost.incarnation:
                continue
            del self._lost_by_runner[lost.runner]
            crashes.append(Crash(lost.runner, lost.suspects))
        return crashes


def find_suspects(allocations: Iterable[Allocation]) -> tuple[Suspect, ...]:
    """Return which of the attempts on a runner may have crashed it.

    Parameters
    ----------
    allocations : iterable of Allocation
        All allocations of the runner when it was lost.
    """
    allocations = list(allocations)
    latest_s = float("-inf")
    for allocation in allocations:
        if allocation.started_s is not None:
            latest_s = max(latest_s, allocation.started_s)
    suspects = []
    for allocation in allocations:
        if allocation.has_survived(SURVIVAL_S):
            continue
        started_s = allocation.started_s
        last = started_s is not None and started_s >= latest_s - SAME_START_S
        attempt = allocation.attempt
        blame = STRONG_BLAME if last else WEAK_BLAME
        suspects.append(Suspect(attempt.task, attempt.run, blame))
    return tuple(suspects)


def _machine(entry: RunnerEntry) -> str:
    return entry.machine or entry.address
