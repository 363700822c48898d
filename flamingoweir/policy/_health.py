"""Detection and quarantine of faulty runners.

A faulty runner can look healthy and yet fail, hang or slow down every task that it
starts. Such a runner is detected by how the tasks on it end.
"""

from dataclasses import dataclass, field

from ..fleet import Runner

#: Distinct jobs with tasks that failed in a row after which a runner is quarantined.
#: Tasks of a broken job fail on every runner, so a job counts once. Of the tasks of
#: other jobs, one in twenty fails.
QUARANTINE_FAILED_JOBS = 2
#: Length of the first quarantine in seconds; after it, one task probes the runner.
QUARANTINE_S = 3.0
#: Seconds after the latest fault of a runner from which an absent long-running task may
#: be tried there in spite of a quarantine. A rejected start costs a call.
EARLY_PROBE_S = 1.0
#: Longest quarantine in seconds; each failed probe doubles the length.
MAX_QUARANTINE_S = 12.0
#: Seconds after which a long-running task that probes a runner has succeeded.
LASTING_PROBE_S = 2.0
#: Seconds after such a success within which a failure quarantines the runner again.
PROBATION_S = 10.0


@dataclass(slots=True)
class _HealthRecord:
    failed_jobs: list[str] = field(default_factory=list)
    quarantine_s: float = 0.0
    quarantined_until_s: float = float("-inf")
    #: When the latest fault was seen.
    faulted_s: float = float("-inf")
    probing: bool = False
    #: Since when the runner gets tasks again after a long-running task has probed it.
    opened_s: float = float("inf")

    def record_success(self) -> None:
        self.failed_jobs.clear()
        self.quarantine_s = 0.0
        self.probing = False
        self.opened_s = float("inf")


class RunnerHealth:
    """Quarantine faulty runners.

    A runner is faulty if tasks of several jobs fail on it in a row, if a task on it
    makes no progress, or if it rejects an order as unhealthy.

    Quarantines spare batch the tries on a runner that stays faulty, and may go on for
    seconds after the fault. Absent long-running tasks that find no other room are tried
    there earlier, one after another, and open the runner to batch if one survives.

    Attributes
    ----------
    quarantined_ids : set of str
        Ids of the runners that were quarantined and have not proved sound since. All
        others are usable. Only the end of an attempt, or a fault, begins a quarantine.
    """

    def __init__(self) -> None:
        self.quarantined_ids: set[str] = set()
        self._record_by_runner: dict[str, _HealthRecord] = {}

    def record_end(self, runner: str, job: str, failed: bool, now_s: float) -> None:
        """Record the end of an attempt that was done or failed.

        Other ends, such as a stop or a lapsed lease, are not recorded here.
        """
        record = self._record_by_runner.setdefault(runner, _HealthRecord())
        if not failed:
            self._record_success(runner, record)
            return
        record.faulted_s = now_s
        if job not in record.failed_jobs:
            record.failed_jobs.append(job)
        if record.probing or len(record.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            self._quarantine(runner, record, now_s)

    def record_fault(self, runner: str, now_s: float) -> None:
        """Quarantine a runner at once.

        The runner rejected an order as unhealthy, or a task on it makes no progress.
        """
        record = self._record_by_runner.setdefault(runner, _HealthRecord())
        self._quarantine(runner, record, now_s)

    def is_usable(self, runner: Runner, now_s: float) -> bool:
        """Return whether a runner may get a task now.

        After its quarantine a runner is probed: it gets one task, and others once a
        task succeeds. Tasks from before the fault, which may run for long, are no
        probes. A call after the quarantine starts the probing, and others end it after
        a long-running probe.

        Parameters
        ----------
        runner : Runner
            The runner.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        record = self._record_by_runner.get(runner.id)
        if record is None or not record.quarantine_s:
            return True
        if record.opened_s == float("inf") and _has_survivor(runner, record.faulted_s):
            # A long-running task never ends as done, and may have probed it early.
            record.quarantined_until_s = min(record.quarantined_until_s, now_s)
            record.opened_s = now_s
        if now_s < record.quarantined_until_s:
            return False
        if now_s - record.opened_s >= PROBATION_S:
            self._record_success(runner.id, record)
            return True
        record.probing = True
        if record.opened_s < float("inf"):
            return True
        for allocation in runner.allocation_by_run.values():
            if allocation.attempt.created_s >= record.faulted_s:
                return False
        return True

    def may_probe_early(self, runner: Runner, now_s: float) -> bool:
        """Return whether an absent long-running task may probe an unusable runner.

        It may do so `EARLY_PROBE_S` after the latest fault, unless the start of another
        one that was placed there since isn't confirmed. Batch that probes the runner
        may run for long.

        Parameters
        ----------
        runner : Runner
            The runner.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        record = self._record_by_runner.get(runner.id)
        if record is None or now_s - record.faulted_s < EARLY_PROBE_S:
            return False
        if self.is_usable(runner, now_s):
            return False
        for allocation in runner.allocation_by_run.values():
            if not allocation.spec.lasting or allocation.started_s is not None:
                continue
            if allocation.attempt.created_s >= record.faulted_s:
                return False
        return True

    def failed_job_count(self, runner: str) -> int:
        """Return the number of distinct jobs with tasks that failed there in a row."""
        record = self._record_by_runner.get(runner)
        return len(record.failed_jobs) if record else 0

    def remove_runner(self, runner: str) -> None:
        """Discard the state of a runner that was removed."""
        self._record_by_runner.pop(runner, None)
        self.quarantined_ids.discard(runner)

    def _record_success(self, runner: str, record: _HealthRecord) -> None:
        record.record_success()
        self.quarantined_ids.discard(runner)

    def _quarantine(self, runner: str, record: _HealthRecord, now_s: float) -> None:
        record.faulted_s = now_s
        if now_s < record.quarantined_until_s:
            return
        record.quarantine_s = min(
            MAX_QUARANTINE_S, max(QUARANTINE_S, 2 * record.quarantine_s)
        )
        self.quarantined_ids.add(runner)
        record.quarantined_until_s = now_s + record.quarantine_s
        record.probing = False
        record.opened_s = float("inf")


def _has_survivor(runner: Runner, since_s: float) -> bool:
    """Return whether a long-running task has survived that was placed since a time."""
    for allocation in runner.allocation_by_run.values():
        if allocation.attempt.created_s < since_s or not allocation.spec.lasting:
            continue
        if allocation.has_survived(LASTING_PROBE_S):
            return True
    return False
