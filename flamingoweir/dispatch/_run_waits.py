"""For how long runs have made no progress, over owners that follow one another."""

import heapq
from collections.abc import Iterator, Mapping

from ..fleet import Allocation, Runner
from ..jobs import Job
from ..ownership import RunWait
from ..policy import find_stalled, progress_expected_since_s, stall_s

#: Fraction of the time after which a run counts as hung, from which on its time without
#: progress is passed on. A percent of progress takes a third of it at the most, if the
#: declared run time is right.
PASSED_ON_FRACTION = 1 / 3
#: Largest number of runs that are passed on.
MAX_PASSED_ON = 30


class RunWaits:
    """Goes on with the time without progress that a former owner has seen.

    It ends in what the runner reports next: a run that has got on meanwhile shows it.

    Parameters
    ----------
    former_by_run : mapping of str to RunWait, optional
        What the former owner has published; left out: nothing.
    """

    def __init__(self, former_by_run: Mapping[str, RunWait] | None = None):
        self._former_by_run = dict(former_by_run or {})
        #: Restored runs that their runners have not reported to this owner yet.
        self._restored: dict[Allocation, tuple[Runner, RunWait]] = {}
        self._waiting_by_runner: dict[Runner, list[Allocation]] = {}

    def restore(self, runner: Runner, allocation: Allocation) -> None:
        """Keep what is known of a run until its runner reports it."""
        wait = self._former_by_run.pop(_name(allocation), None)
        if wait is not None:
            self._restored[allocation] = runner, wait

    def forget(self, allocation: Allocation) -> None:
        """Forget what is known of a restored run, which has begun anew."""
        self._restored.pop(allocation, None)

    def take_over(self, allocation: Allocation, job: Job, now_s: float) -> None:
        """Go on from the former owner's time without progress, in the first report.

        Parameters
        ----------
        allocation : Allocation
            Allocation of a run that a report lists.
        job : Job
            Its job.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        _, wait = self._restored.pop(allocation, (None, None))
        if wait is None:
            return
        attempt = allocation.attempt
        task = attempt.task
        attempt.progress_percent = wait.progress_percent
        attempt.slowest_percent_s = wait.slowest_percent_s
        attempt.last_progress_s = now_s - wait.still_s
        allocation.unthrottled_since_s = attempt.last_progress_s
        allocation.earlier_stalls = wait.earlier_stalls
        state = job.run_by_step[task.occurrence, task.step].tasks[task.index]
        state.stalls = max(state.stalls, wait.earlier_stalls)

    def record_report(self, runner: Runner, now_s: float) -> None:
        """Record which runs of a runner that has reported make no progress.

        Parameters
        ----------
        runner : Runner
            The runner.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self._former_by_run.clear()
        waiting = find_stalled(runner, now_s, PASSED_ON_FRACTION)
        if len(waiting) > MAX_PASSED_ON:
            waiting = heapq.nlargest(
                MAX_PASSED_ON, waiting, key=lambda a: _find_wait(runner, a)
            )
        if waiting:
            self._waiting_by_runner[runner] = waiting
        else:
            self._waiting_by_runner.pop(runner, None)

    def list_waits(self) -> Iterator[tuple[str, RunWait]]:
        """Yield the names and the waits of runs, those closest to their limits first.

        The time since a runner's latest response doesn't count.
        """
        yield from self._former_by_run.items()
        for allocation, (runner, wait) in list(self._restored.items()):
            if _is_held(runner, allocation):
                yield _name(allocation), wait
                continue
            del self._restored[allocation]
        found = []
        for runner, waiting in list(self._waiting_by_runner.items()):
            held = [a for a in waiting if _is_held(runner, a)]
            if not held:
                del self._waiting_by_runner[runner]
            for allocation in held:
                share, still_s = _find_wait(runner, allocation)
                if still_s > 0:
                    found.append((share, still_s, allocation))
        for _, still_s, allocation in heapq.nlargest(
            MAX_PASSED_ON, found, key=lambda entry: entry[0]
        ):
            attempt = allocation.attempt
            yield (
                _name(allocation),
                RunWait(
                    attempt.progress_percent,
                    round(still_s, 3),
                    round(attempt.slowest_percent_s, 3),
                    allocation.earlier_stalls,
                ),
            )


def _name(allocation: Allocation) -> str:
    return f"{allocation.attempt.task}#{allocation.attempt.run}"


def _find_wait(runner: Runner, allocation: Allocation) -> tuple[float, float]:
    """Return the time without progress, as a share of the longest and in seconds."""
    still_s = runner.last_response_s - progress_expected_since_s(allocation)
    return still_s / stall_s(allocation), still_s


def _is_held(runner: Runner, allocation: Allocation) -> bool:
    attempt = allocation.attempt
    return runner.find(attempt.task, attempt.run) is allocation
