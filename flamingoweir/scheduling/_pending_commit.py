"""What one commit of an owner carries."""

from dataclasses import dataclass, field

from ..storage import Precondition, Write
from ..upstreams import AttemptId
from ._assignment import Assignment
from ._events import Event


@dataclass(slots=True)
class PendingCommit:
    """What one commit carries.

    Attributes
    ----------
    events : list of Event
        Already applied to the state in memory; nobody is told before the commit.
    preconditions, writes : list
        Rows besides the shard's own.
    assignments : list of (str, Assignment)
        Assignments by worker, given to the sessions after the commit.
    ended_attempts : list of (str, AttemptId)
        Ends by worker, acknowledged after the commit.
    """

    events: list[Event] = field(default_factory=list)
    preconditions: list[Precondition] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    assignments: list[tuple[str, Assignment]] = field(default_factory=list)
    ended_attempts: list[tuple[str, AttemptId]] = field(default_factory=list)

    def is_empty(self) -> bool:
        """Return whether there is nothing to make durable."""
        return not (self.events or self.writes)
