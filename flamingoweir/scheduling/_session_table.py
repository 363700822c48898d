"""Table of an owner's sessions with its workers."""

from dataclasses import dataclass, field

from ._assignment import AttemptEnd
from ._session import WorkerSession
from ._team_usage import TeamUsage


@dataclass(slots=True)
class SessionTable:
    """Sessions of an owner with its workers.

    Attributes
    ----------
    session_by_worker : dict of str to WorkerSession
        Sessions by the name of the worker.
    usage : TeamUsage
        Resources assigned to teams over all sessions.
    """

    session_by_worker: dict[str, WorkerSession] = field(default_factory=dict)
    usage: TeamUsage = field(default_factory=TeamUsage)

    def collect_ends(self) -> list[AttemptEnd]:
        """Return and clear the uncollected ends of all sessions."""
        ends = []
        for session in self.session_by_worker.values():
            ends.extend(session.ends.collect())
        return ends

    def any_fenced(self) -> bool:
        """Return whether a worker has accepted an owner with a higher epoch."""
        return any(session.fenced for session in self.session_by_worker.values())
