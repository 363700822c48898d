"""Detection of crashed runners, and of the tasks that may have crashed them.

To its owner, a runner that crashed looks like one that is cut off, until the next life
of its machine is listed. A task that crashes runners does so when it starts, so that
an attempt is the more suspicious the later it started.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet import Allocation, Runner
from ..jobs import TaskId
from ..registry import RunnerEntry

#: Seconds after its start from which an attempt is not suspected of a crash.
SURVIVAL_S = 2.0
#: Longest time in seconds from a start to the crash that it causes, as the owner sees
#: them.
EARLY_CRASH_S = 0.5
#: Blame for a crash within `SURVIVAL_S`, or within an unknown time, of the start.
WEAK_BLAME = 1
#: Blame for a crash within `EARLY_CRASH_S` of the start.
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
    """A runner that has crashed, by its id, and the tasks that may have caused it."""

    runner: str
    suspects: tuple[Suspect, ...]


@dataclass(frozen=True, slots=True)
class _Life:
    """One life of a machine, which a runner is."""

    machine: str
    incarnation: int

    def is_over(self, born_by_machine: Mapping[str, int]) -> bool:
        """Return whether the machine has a later life."""
        return born_by_machine.get(self.machine, 0) > self.incarnation


@dataclass(frozen=True, slots=True)
class _LostRunner:
    """A runner whose attempts have ended; a crash counts until ``until_s``."""

    life: _Life
    suspects: tuple[Suspect, ...]
    until_s: float


class CrashDetector:
    """Tells runners that have crashed from runners that are cut off.

    A runner has crashed if its machine has a later life, and it did not drain before.
    """

    def __init__(self) -> None:
        #: Runners whose attempts have ended, by id.
        self._lost_by_runner: dict[str, _LostRunner] = {}

    def record_lapsed(self, runner: Runner, now_s: float) -> None:
        """Record that the leases of a runner have lapsed, before its attempts end."""
        life = _find_life(runner)
        suspects = _find_suspects(runner.allocation_by_run.values(), runner.lost_s)
        if life is not None and suspects:
            until_s = now_s + RETURN_WINDOW_S
            self._lost_by_runner[runner.id] = _LostRunner(life, suspects, until_s)

    def find_crash_of_restarted(
        self, runner: Runner, former: int | None, lost: Iterable[Allocation]
    ) -> Crash | None:
        """Return the crash of a runner that has restarted with the same id.

        Parameters
        ----------
        runner : Runner
            The runner, which has responded.
        former : int or None
            Its former incarnation; None if it had not responded to this owner.
        lost : iterable of Allocation
            Allocations whose attempts were lost.
        """
        if runner.crashed_incarnation and former in (None, runner.crashed_incarnation):
            return None
        lapsed = self._lost_by_runner.pop(runner.id, None)
        if lapsed is not None and lapsed.life.incarnation < runner.incarnation:
            return Crash(runner.id, lapsed.suspects)
        suspects = _find_suspects(lost, runner.lost_s)
        return Crash(runner.id, suspects) if suspects else None

    def record_response(self, runner: Runner) -> None:
        """Record that a runner responds: with the same incarnation, it was cut off."""
        lapsed = self._lost_by_runner.get(runner.id)
        if lapsed is not None and lapsed.life.incarnation == runner.incarnation:
            del self._lost_by_runner[runner.id]

    def find_crashes(
        self,
        runners: Iterable[Runner],
        entry_by_id: Mapping[str, RunnerEntry],
        now_s: float,
    ) -> list[Crash]:
        """Return the crashes that the listed runners show, each of them once.

        Parameters
        ----------
        runners : iterable of Runner
            Runners that may have attempts.
        entry_by_id : mapping of str to RunnerEntry
            The listed runners.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        unresponsive = []
        for runner in runners:
            if runner.unresponsive_since_s is not None and runner.has_attempts:
                unresponsive.append(runner)
        if not unresponsive and not self._lost_by_runner:
            return []
        born_by_machine: dict[str, int] = {}
        for entry in entry_by_id.values():
            machine = _machine(entry)
            born = max(entry.incarnation, born_by_machine.get(machine, 0))
            born_by_machine[machine] = born
        crashes = []
        for runner_id, lost in list(self._lost_by_runner.items()):
            if lost.life.is_over(born_by_machine):
                crashes.append(Crash(runner_id, lost.suspects))
            elif now_s <= lost.until_s:
                continue
            del self._lost_by_runner[runner_id]
        for runner in unresponsive:
            life = _find_life(runner)
            if life is None or not life.is_over(born_by_machine):
                continue
            runner.crashed_incarnation = life.incarnation
            suspects = _find_suspects(runner.allocation_by_run.values(), runner.lost_s)
            if suspects:
                crashes.append(Crash(runner.id, suspects))
        return crashes


def _find_life(runner: Runner) -> _Life | None:
    """Return the life of an unresponsive runner.

    The result is None if the runner was to leave, or if its crash is known already.
    """
    entry = runner.entry
    incarnation = runner.incarnation or entry.incarnation
    if not entry.address or not incarnation or entry.draining:
        return None
    if runner.crashed_incarnation == incarnation:
        return None
    return _Life(_machine(entry), incarnation)


def _find_suspects(
    allocations: Iterable[Allocation], lost_s: float
) -> tuple[Suspect, ...]:
    """Return which of the attempts on a runner may have crashed it.

    Parameters
    ----------
    allocations : iterable of Allocation
        Allocations of the runner when it was lost.
    lost_s : float
        When the runner became unresponsive, on the owner's clock, in seconds. An
        earlier time than that of a start says nothing about this attempt.
    """
    suspects = []
    for allocation in allocations:
        if allocation.has_survived(SURVIVAL_S):
            continue
        attempt = allocation.attempt
        blame = STRONG_BLAME if _is_early(allocation, lost_s) else WEAK_BLAME
        suspects.append(Suspect(attempt.task, attempt.run, blame))
    return tuple(suspects)


def _is_early(allocation: Allocation, lost_s: float) -> bool:
    """Return whether a runner was lost right after it had started an attempt."""
    started_s = allocation.started_s
    if started_s is None or started_s == float("-inf"):
        return False
    # The response to the start may be read after the loss was noticed.
    if abs(lost_s - started_s) <= EARLY_CRASH_S:
        return True
    # Where calls time out, the loss is noticed late.
    never_listed = allocation.listed_s == float("-inf")
    return never_listed and lost_s >= started_s


def _machine(entry: RunnerEntry) -> str:
    return entry.machine or entry.address
