"""The order in which jobs are placed, and the quotas of teams."""

from typing import NamedTuple

from ..policy import weighted_share
from ..resources import Resources
from ._context import OwnerContext
from ._job import Job, JobKind, JobSpec
from ._run_times import RunTimes
from ._session_table import SessionTable
from ._team_usage import TeamUsage

UNLIMITED = float("inf")


class JobSortKey(NamedTuple):
    """Sort key of a job; the job with the lowest key is placed first."""

    not_service: bool
    not_urgent: bool
    weighted_share: float
    negative_priority: int
    expected_s: float


class Fairness:
    """Orders jobs and keeps teams within their quotas.

    Services are placed first, then urgent jobs, then jobs of the team with the
    lowest dominant share divided by its weight (Ghodsi et al., NSDI 2011), then
    jobs of higher priority, then jobs with the shorter expected run time.

    Parameters
    ----------
    context : OwnerContext
        Settings and components of the owner's instance.
    sessions : SessionTable
        Worker sessions of the shard.
    run_times : RunTimes
        Expected run times of tasks.
    """

    def __init__(
        self, context: OwnerContext, sessions: SessionTable, run_times: RunTimes
    ):
        self._context = context
        self._sessions = sessions
        self._run_times = run_times
        self._shard_capacity = Resources()

    @property
    def usage(self) -> TeamUsage:
        """Resources that the teams use now."""
        return self._sessions.usage

    def update_capacity(self) -> None:
        """Recompute the total capacity of the shard; called once per tick."""
        total = Resources()
        for session in self._sessions.session_by_worker.values():
            total = total + session.capacity
        self._shard_capacity = total

    def sort_key(self, job: Job, planned_usage: TeamUsage) -> JobSortKey:
        """Return the sort key of a job; the lowest key is placed first.

        Parameters
        ----------
        job : Job
            The job.
        planned_usage : TeamUsage
            Needs of the tasks placed so far in this tick.
        """
        spec = job.spec
        used = self.usage.used_by(spec.team) + planned_usage.used_by(spec.team)
        share = weighted_share(used, self._shard_capacity, self._weight(spec.team))
        is_service = spec.kind is JobKind.SERVICE
        expected_s = self._run_times.expected_s(spec)
        return JobSortKey(
            not is_service, not spec.urgent, share, -spec.priority, expected_s
        )

    def refusal_reason(self, spec: JobSpec, planned_usage: TeamUsage) -> str:
        """Return why one more task of a job is refused, or an empty string.

        Parameters
        ----------
        spec : JobSpec
            The job.
        planned_usage : TeamUsage
            Needs of the tasks placed so far in this tick.
        """
        if spec.kind is JobKind.SERVICE:
            return ""
        used = (
            self.usage.used_by(spec.team)
            + planned_usage.used_by(spec.team)
            + spec.needs
        )
        if not used.fits_in(self._shard_quota(spec.team)):
            return f"team {spec.team} is at its quota"
        if spec.urgent:
            return ""
        preemptible = self.usage.preemptible + planned_usage.preemptible + spec.needs
        if preemptible.processors_milli > self._preemptible_limit_milli():
            return "the remaining capacity is reserved for urgent jobs"
        return ""

    def _weight(self, team: str) -> float:
        return float(self._context.tree.by_path.get(f"quotas/{team}/weight", 1.0))

    def _preemptible_limit_milli(self) -> float:
        """Return the processors, in thousandths, that preemptible batch may use.

        The limit applies to the sum of sent and unsent tasks.
        """
        text = self._context.tree.by_path.get("fleet/urgent_reserve_percent", "0")
        percent = float(text)
        if not percent:
            return UNLIMITED
        return self._shard_capacity.processors_milli * (1 - percent / 100)

    def _shard_quota(self, team: str) -> Resources:
        """Return a team's quota divided by the number of open shards."""
        by_path = self._context.tree.by_path
        shards = max(1, self._context.fleet.open_shards())
        prefix = f"quotas/{team}/"
        processors = float(by_path.get(prefix + "processors", UNLIMITED)) * 1000
        memory = float(by_path.get(prefix + "memory_mb", UNLIMITED))
        accelerators = float(by_path.get(prefix + "accelerators", UNLIMITED))
        return Resources(processors / shards, memory / shards, accelerators / shards)
