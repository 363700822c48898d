"""Which runners may be trusted with work.

Answers runners that fail, hang or slow down all that they start while they look
healthy: they are told from their peers by how their tasks end.
"""

from dataclasses import dataclass, field

#: Jobs of which tasks must have failed in a row before a runner is avoided. Tasks of
#: one broken job fail everywhere and count once; of the others one in twenty fails.
QUARANTINE_FAILED_JOBS = 2
#: Seconds for which such a runner gets nothing; then one task probes it.
QUARANTINE_S = 3.0
#: Longest quarantine of a runner whose probes fail, in seconds.
MAX_QUARANTINE_S = 12.0


@dataclass(slots=True)
class _HealthRecord:
    failed_jobs: list[str] = field(default_factory=list)
    quarantine_s: float = 0.0
    quarantined_until_s: float = float("-inf")
    probing: bool = False


class RunnerHealth:
    """Counts how tasks end on each runner."""

    def __init__(self) -> None:
        self._record_by_runner: dict[str, _HealthRecord] = {}

    def record_end(self, runner: str, job: str, failed: bool, now_s: float) -> None:
        """Take one end that was the task's or the runner's own."""
        record = self._record_by_runner.setdefault(runner, _HealthRecord())
        if not failed:
            record.failed_jobs.clear()
            record.quarantine_s = 0.0
            record.probing = False
            return
        if job not in record.failed_jobs:
            record.failed_jobs.append(job)
        if record.probing or len(record.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            self._quarantine(record, now_s)

    def record_refusal(self, runner: str, now_s: float) -> None:
        """Take an order that the runner turned away as unhealthy, or a hang."""
        self._quarantine(
            self._record_by_runner.setdefault(runner, _HealthRecord()), now_s
        )

    def is_usable(self, runner: str, has_attempts: bool, now_s: float) -> bool:
        """Return whether a runner may get a task now; while probing, just one."""
        record = self._record_by_runner.get(runner)
        if record is None or not record.quarantine_s:
            return True
        if now_s < record.quarantined_until_s:
            return False
        record.probing = True
        return not has_attempts

    def failed_job_count(self, runner: str) -> int:
        """Return of how many jobs tasks have failed there in a row."""
        record = self._record_by_runner.get(runner)
        return len(record.failed_jobs) if record else 0

    def remove_runner(self, runner: str) -> None:
        """Drop what is known of a runner that has gone."""
        self._record_by_runner.pop(runner, None)

    @staticmethod
    def _quarantine(record: _HealthRecord, now_s: float) -> None:
        if now_s < record.quarantined_until_s:
            return
        record.quarantine_s = min(
            MAX_QUARANTINE_S, max(QUARANTINE_S, 2 * record.quarantine_s)
        )
        record.quarantined_until_s = now_s + record.quarantine_s
        record.probing = False
