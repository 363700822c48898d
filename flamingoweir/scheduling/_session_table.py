"""All sessions of an owner."""

from dataclasses import dataclass, field

from ._assignment import AttemptEnd
from ._session import WorkerSession
from ._team_usage import TeamUsage


@dataclass(slots=True)
class SessionTable:
    """All sessions of an owner, by worker, and what they add up to."""

    session_by_worker: dict[str, WorkerSession] = field(default_factory=dict)
    usage: TeamUsage = field(default_factory=TeamUsage)

    def collect_ends(self) -> list[AttemptEnd]:
        """Return and clear the ends that all sessions have collected."""
        ends = []
        for session in self.session_by_worker.values():
            ends.extend(session.ends.collect())
        return ends

    def any_fenced(self) -> bool:
        """Return whether a worker has seen a newer owner."""
        return any(session.fenced for session in self.session_by_worker.values())
