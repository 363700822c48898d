"""Who goes first, and how much a team may have."""

from typing import NamedTuple

from ..resources import Resources
from ._context import OwnerContext
from ._job import Job, JobKind, JobSpec
from ._run_times import RunTimes
from ._session_table import SessionTable
from ._team_usage import TeamUsage

UNLIMITED = float("inf")


class Rank(NamedTuple):
    """A job's place in the order; the lowest goes first."""

    not_service: bool
    not_urgent: bool
    share: float
    negative_priority: int
    expected_s: float


class Fairness:
    """Orders jobs and keeps teams within their quotas.

    Services go first, then urgent jobs, then the team with the lowest dominant
    share for its weight (Ghodsi et al., NSDI 2011), then priority, then the job
    whose tasks are expected to be short.
    """

    def __init__(
        self, context: OwnerContext, sessions: SessionTable, run_times: RunTimes
    ):
        self._context = context
        self._sessions = sessions
        self._run_times = run_times
        self._total = Resources()

    @property
    def usage(self) -> TeamUsage:
        """What the teams take now."""
        return self._sessions.usage

    def begin(self) -> None:
        """Take the shard's size for one tick."""
        total = Resources()
        for session in self._sessions.session_by_worker.values():
            total = total + session.capacity
        self._total = total

    def rank(self, job: Job, extra: TeamUsage) -> Rank:
        """Return a job's place; the lowest goes first.

        Parameters
        ----------
        job : Job
            The job.
        extra : TeamUsage
            What was given out in this tick.
        """
        spec = job.spec
        used = self.usage.of(spec.team) + extra.of(spec.team)
        share = used.dominant_share(self._total) / self._weight(spec.team)
        service = spec.kind is JobKind.SERVICE
        expected_s = self._run_times.expected_s(spec)
        return Rank(not service, not spec.urgent, share, -spec.priority, expected_s)

    def why_not(self, spec: JobSpec, extra: TeamUsage) -> str:
        """Return why a team may not have one more task, or nothing."""
        if spec.kind is JobKind.SERVICE:
            return ""
        used = self.usage.of(spec.team) + extra.of(spec.team) + spec.needs
        if not used.fits_in(self._quota(spec.team)):
            return f"team {spec.team} is at its quota"
        if spec.urgent:
            return ""
        batch = self.usage.batch + extra.batch + spec.needs
        if batch.processors_milli > self._batch_limit():
            return "what is left is kept for urgent work"
        return ""

    def _weight(self, team: str) -> float:
        return float(self._context.tree.by_path.get(f"quotas/{team}/weight", 1.0))

    def _batch_limit(self) -> float:
        """Return what plain batch may take, with tasks assigned ahead of room."""
        text = self._context.tree.by_path.get("fleet/urgent_reserve_percent", "0")
        percent = float(text)
        if not percent:
            return UNLIMITED
        return self._total.processors_milli * (1 - percent / 100)

    def _quota(self, team: str) -> Resources:
        """Return this shard's part of a team's quota, even among open shards."""
        by_path = self._context.tree.by_path
        shards = max(1, self._context.fleet.open_shards())
        prefix = f"quotas/{team}/"
        processors = float(by_path.get(prefix + "processors", UNLIMITED)) * 1000
        memory = float(by_path.get(prefix + "memory_mb", UNLIMITED))
        accelerators = float(by_path.get(prefix + "accelerators", UNLIMITED))
        return Resources(processors / shards, memory / shards, accelerators / shards)
