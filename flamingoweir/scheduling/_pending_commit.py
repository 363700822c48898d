"""The contents of one commit of a shard owner."""

from dataclasses import dataclass, field

from ..storage import Precondition, Write
from ..upstreams import AttemptId
from ._assignment import Assignment
from ._events import Event


@dataclass(slots=True)
class PendingCommit:
    """Changes collected in a tick, to be written in one commit.

    Attributes
    ----------
    events : list of Event
        Events already applied to the state in memory, but published to workers only
        after the commit.
    preconditions : list of Precondition
        Preconditions on rows other than the shard row.
    writes : list of Write
        Writes to rows other than the shard row.
    assignments : list of (str, Assignment)
        Worker names and assignments, passed to the sessions after the commit.
    ended_attempts : list of (str, AttemptId)
        Worker names and ended attempts, acknowledged after the commit.
    """

    events: list[Event] = field(default_factory=list)
    preconditions: list[Precondition] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    assignments: list[tuple[str, Assignment]] = field(default_factory=list)
    ended_attempts: list[tuple[str, AttemptId]] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Return whether there are neither events nor writes to commit."""
        return not (self.events or self.writes)
