"""What a submitted job asks for."""

import dataclasses
from dataclasses import dataclass, field

from ..resources import Resources


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: tasks that are alike.

    Attributes
    ----------
    count : int
        How many tasks the step has.
    demand : Resources
        What one task takes.
    estimate_s : float
        The submitter's rough guess of a task's run time, in seconds; 0: none.
    after : tuple of int
        Steps of the same occurrence whose tasks must all be done first.
    checkpoints : bool
        Whether tasks save their progress.
    gang : bool
        Whether the tasks only work together.
    same_rack : bool
        Whether tasks slow down when they run on more than one rack.
    label : str
        Label that a runner must have; empty: any runner.
    data_rack : str
        Rack on which the tasks' data lies; empty: no preference.
    max_per_runner : int
        How many tasks of the step may run on one runner; 0: no limit.
    speculative : bool
        Whether copies of a task may run at the same time.
    lasting : bool
        Whether tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Bound on the tail latency of a serving task; 0: it serves nobody.
    uses_spare : bool
        Whether the tasks only get processors that other tasks leave unused.
    may_miss : int
        How many lasting tasks may be away at once by the system's own acts.
    """

    count: int
    demand: Resources = Resources()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_runner: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_ms: float = 0.0
    uses_spare: bool = False
    may_miss: int = 0
    #: What a task takes from a runner's room.
    reserved: Resources = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        reserved = self.demand
        if self.uses_spare:
            reserved = dataclasses.replace(reserved, processors_milli=0)
        object.__setattr__(self, "reserved", reserved)


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """How the queue of a job treats it.

    Attributes
    ----------
    service : str
        The service whose runners run the tasks.
    priority : int
        0 goes first.
    max_attempts : int
        Failed attempts of a task, or of a gang, after which the job has failed.
    stretch : float
        The job's objective in lengths of its longest chain of work.
    objective_s : float
        Seconds that the objective allows beyond that.
    advised : bool
        Whether placement needs tickets of the advice service.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0
    advised: bool = False


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as accepted.

    Attributes
    ----------
    id : str
        Chosen by the submitter.
    queue : str
        Name of the queue that took it.
    payload : str
        Text handed to every task.
    steps : tuple of StepSpec
        The steps, by number.
    policy : QueuePolicy
        The queue's treatment when the job was accepted.
    accepted_ms : int
        When it was accepted, in milliseconds since 1970.
    occurrences : int
        How often the steps run.
    first_due_ms : int
        When occurrence 0 is due, in milliseconds since 1970; 0: at once.
    interval_ms : int
        Milliseconds between occurrences.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    policy: QueuePolicy
    accepted_ms: int = 0
    occurrences: int = 1
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def scheduled(self) -> bool:
        """Whether occurrences have due times."""
        return self.first_due_ms > 0

    @property
    def lasting(self) -> bool:
        """Whether some step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_path_s(self, step: int) -> float:
        """Return the estimated seconds of the longest chain that starts at ``step``."""
        longest = 0.0
        for later, spec in enumerate(self.steps):
            if step in spec.after:
                longest = max(longest, self.critical_path_s(later))
        return self.steps[step].estimate_s + longest


def find_invalid_dependency(steps: tuple[StepSpec, ...]) -> int | None:
    """Return a step that waits for itself, for a later or a missing step, or None."""
    for number, step in enumerate(steps):
        for earlier in step.after:
            if not 0 <= earlier < number:
                return number
    return None
