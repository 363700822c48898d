"""Detection of crashed runners, and of the tasks that may have crashed them.

To its owner, a runner that crashed looks like one that is cut off, until the next life
of its machine is listed. A task that crashes runners does so when it starts, so that
an attempt is the more suspicious the later it started.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..fleet import Allocation, Runner
from ..jobs import Suspicion, TaskId
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
#: Seconds after the loss of a runner was noticed within which the next life of its
#: machine shows that it has crashed. At least 30 s are left when its leases lapse.
RETURN_WINDOW_S = 35.0
#: Seconds after the loss of a runner was noticed before which a task is not started
#: elsewhere that is given up if all its suspicions prove true. It would take another
#: runner down every 1.8 s. Any task of a lost runner may have to wait as long, for a
#: full lease.
SUSPECT_WAIT_S = 3.5


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
    """A runner that has crashed.

    Attributes
    ----------
    runner : str
        Id of the runner.
    suspects : tuple of Suspect
        The tasks that may have caused it.
    recorded : bool
        Whether they were recorded when the runner was lost; see `LostRunner`.
    """

    runner: str
    suspects: tuple[Suspect, ...]
    recorded: bool


@dataclass(frozen=True, slots=True)
class LostRunner:
    """A runner that was lost with attempts, of which it is not known if it has crashed.

    Attributes
    ----------
    id : str
        Id of the runner.
    machine : str
        Its machine, or its address if the machine is not known.
    incarnation : int
        Its incarnation.
    suspects : tuple of Suspect
        The tasks that may have crashed it. Others that it had are not suspected.
    until_s : float
        Until when a crash counts, on the owner's clock, in seconds.
    """

    id: str
    machine: str
    incarnation: int
    suspects: tuple[Suspect, ...]
    until_s: float

    def is_over(self, born_by_machine: Mapping[str, int]) -> bool:
        """Return whether the machine has a later life."""
        return born_by_machine.get(self.machine, 0) > self.incarnation


class CrashDetector:
    """Tells runners that have crashed from runners that are cut off.

    A runner has crashed if its machine has a later life, and it did not drain before.
    """

    def __init__(self) -> None:
        #: Runners that were lost, by id; also those of former owners.
        self._lost_by_runner: dict[str, LostRunner] = {}

    def record_lost(self, runner: Runner) -> LostRunner | None:
        """Record that an unresponsive runner is lost.

        Returns
        -------
        LostRunner or None
            None if the loss is recorded already, by a former owner maybe, or if no task
            is suspected.
        """
        recorded = self._lost_by_runner.get(runner.id)
        incarnation = runner.incarnation or runner.entry.incarnation
        if recorded is not None and recorded.incarnation == incarnation:
            return None
        lost = _find_lost(runner)
        if lost is None or not lost.suspects:
            return None
        self._lost_by_runner[runner.id] = lost
        return lost

    def restore(self, suspicion_by_run: Mapping[tuple[TaskId, int], Suspicion]) -> None:
        """Restore what former owners have recorded of the tasks of a job."""
        for (task, run), suspicion in suspicion_by_run.items():
            suspects = (Suspect(task, run, suspicion.blame),)
            known = self._lost_by_runner.get(suspicion.runner)
            if known is not None and known.incarnation > suspicion.incarnation:
                continue
            if known is not None and known.incarnation == suspicion.incarnation:
                suspects = known.suspects + suspects
            self._lost_by_runner[suspicion.runner] = LostRunner(
                suspicion.runner,
                suspicion.machine,
                suspicion.incarnation,
                suspects,
                suspicion.until_s,
            )

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
        recorded = self._lost_by_runner.pop(runner.id, None)
        if recorded is not None and recorded.incarnation < runner.incarnation:
            return Crash(runner.id, recorded.suspects, True)
        suspects = _find_suspects(lost, runner.lost_s)
        return Crash(runner.id, suspects, False) if suspects else None

    def record_response(self, runner: Runner) -> tuple[Suspect, ...]:
        """Record that a runner responds: with the same incarnation, it was cut off.

        Returns
        -------
        tuple of Suspect
            The tasks that are not suspected any more.
        """
        recorded = self._lost_by_runner.get(runner.id)
        if recorded is None or recorded.incarnation != runner.incarnation:
            return ()
        del self._lost_by_runner[runner.id]
        return recorded.suspects

    def forget_settled(
        self, entry_by_id: Mapping[str, RunnerEntry], now_s: float
    ) -> list[Suspect]:
        """Forget lost runners whose crash counts no more; return the suspects.

        These are runners that were cut off and have announced since that they leave,
        and those that were lost long ago.

        Parameters
        ----------
        entry_by_id : mapping of str to RunnerEntry
            The listed runners.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        suspects = []
        for runner_id, recorded in list(self._lost_by_runner.items()):
            entry = entry_by_id.get(runner_id)
            leaves = entry is not None and entry.draining
            if leaves and entry.incarnation > recorded.incarnation:
                # A later life, which find_crashes looks at.
                leaves = False
            if leaves or now_s > recorded.until_s:
                suspects += recorded.suspects
                del self._lost_by_runner[runner_id]
        return suspects

    def find_crashes(
        self,
        runner_by_id: Mapping[str, Runner],
        entry_by_id: Mapping[str, RunnerEntry],
    ) -> list[Crash]:
        """Return the crashes that the listed runners show, each of them once.

        Parameters
        ----------
        runner_by_id : mapping of str to Runner
            Runners that may have attempts.
        entry_by_id : mapping of str to RunnerEntry
            The listed runners.
        """
        unresponsive = []
        for runner in runner_by_id.values():
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
        for runner in unresponsive:
            lost = _find_lost(runner)
            if lost is None or not lost.is_over(born_by_machine):
                continue
            runner.crashed_incarnation = lost.incarnation
            if lost.suspects and not self._is_recorded(lost):
                crashes.append(Crash(runner.id, lost.suspects, False))
        for runner_id, recorded in list(self._lost_by_runner.items()):
            if recorded.is_over(born_by_machine):
                crashes.append(Crash(runner_id, recorded.suspects, True))
                runner = runner_by_id.get(runner_id)
                if runner is not None and runner.incarnation is None:
                    # Its response must not count as another crash.
                    runner.crashed_incarnation = recorded.incarnation
                del self._lost_by_runner[runner_id]
        return crashes

    def _is_recorded(self, lost: LostRunner) -> bool:
        recorded = self._lost_by_runner.get(lost.id)
        return recorded is not None and recorded.incarnation == lost.incarnation


def _find_lost(runner: Runner) -> LostRunner | None:
    """Return what is known of an unresponsive runner.

    The result is None if the runner was to leave, or if its crash is known already.
    """
    entry = runner.entry
    incarnation = runner.incarnation or entry.incarnation
    if not entry.address or not incarnation or entry.draining:
        return None
    if runner.crashed_incarnation == incarnation:
        return None
    of_life = []
    for allocation in runner.allocation_by_run.values():
        if allocation.attempt.incarnation == incarnation:
            of_life.append(allocation)
    suspects = _find_suspects(of_life, runner.lost_s)
    until_s = runner.lost_s + RETURN_WINDOW_S
    return LostRunner(runner.id, _machine(entry), incarnation, suspects, until_s)


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
        if allocation.awaits_order or allocation.has_survived(SURVIVAL_S):
            continue
        if allocation.has_restarted and allocation.listed_s == float("-inf"):
            # Only a late order would start it on this incarnation.
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
