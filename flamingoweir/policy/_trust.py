"""Which runners may be trusted with work.

Answers runners that fail, hang or slow down all that they start while they look
healthy: they are told from their peers by how their tasks end.
"""

from dataclasses import dataclass, field

#: Jobs of which tasks must have failed in a row before a runner is avoided. Tasks of
#: one broken job fail everywhere and count once; of the others one in twenty fails.
FAILURES_IN_A_ROW = 2
#: Seconds for which such a runner gets nothing; then one task probes it.
QUARANTINE_S = 3.0
#: Longest quarantine of a runner whose probes fail, in seconds.
MAX_QUARANTINE_S = 12.0


@dataclass(slots=True)
class _Record:
    failed_jobs: list[str] = field(default_factory=list)
    quarantine_s: float = 0.0
    until_s: float = float("-inf")
    probing: bool = False


class RunnerHealth:
    """Counts how tasks end on each runner."""

    def __init__(self) -> None:
        self._by_runner: dict[str, _Record] = {}

    def record_end(self, runner: str, job: str, failed: bool, now_s: float) -> None:
        """Take one end that was the task's or the runner's own."""
        record = self._by_runner.setdefault(runner, _Record())
        if not failed:
            record.failed_jobs.clear()
            record.quarantine_s = 0.0
            record.probing = False
            return
        if job not in record.failed_jobs:
            record.failed_jobs.append(job)
        if record.probing or len(record.failed_jobs) >= FAILURES_IN_A_ROW:
            self._quarantine(record, now_s)

    def record_refusal(self, runner: str, now_s: float) -> None:
        """Take an order that the runner turned away as unhealthy, or a hang."""
        self._quarantine(self._by_runner.setdefault(runner, _Record()), now_s)

    def is_usable(self, runner: str, busy: bool, now_s: float) -> bool:
        """Return whether a runner may get a task now; while probing, just one."""
        record = self._by_runner.get(runner)
        if record is None or not record.quarantine_s:
            return True
        if now_s < record.until_s:
            return False
        record.probing = True
        return not busy

    def failed_job_count(self, runner: str) -> int:
        """Return of how many jobs tasks have failed there in a row."""
        record = self._by_runner.get(runner)
        return len(record.failed_jobs) if record else 0

    def remove_runner(self, runner: str) -> None:
        """Drop what is known of a runner that has gone."""
        self._by_runner.pop(runner, None)

    @staticmethod
    def _quarantine(record: _Record, now_s: float) -> None:
        if now_s < record.until_s:
            return
        record.quarantine_s = min(
            MAX_QUARANTINE_S, max(QUARANTINE_S, 2 * record.quarantine_s)
        )
        record.until_s = now_s + record.quarantine_s
        record.probing = False
