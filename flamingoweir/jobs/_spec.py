"""Specification of a submitted job."""

import dataclasses
from dataclasses import dataclass, field

from ..resources import Resources

#: Memory of a job without its payload and its steps, in bytes.
JOB_BYTES = 2_000
#: Memory of a step, in bytes: its specification and its state.
STEP_BYTES = 1_400


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job: a number of equal tasks.

    Attributes
    ----------
    count : int
        Number of tasks.
    demand : Resources
        Resources that one task uses.
    estimate_s : float
        Submitter's rough estimate of a task's run time in seconds; 0 if there is none.
    after : tuple of int
        Numbers of the steps of the same occurrence that must be done first.
    checkpoints : bool
        Whether tasks save checkpoints.
    gang : bool
        Whether the tasks form a gang, in which all run at the same time.
    same_rack : bool
        Whether tasks slow down when they run on more than one rack.
    label : str
        Label that a runner must have; empty for any runner.
    data_rack : str
        Rack that holds the tasks' data, given as a label of the runners there; empty
        for no preference.
    max_per_runner : int
        Largest number of tasks of the step on one runner; 0 for no limit.
    speculative : bool
        Whether copies of a task may run at the same time.
    lasting : bool
        Whether tasks are long-running: they run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    latency_target_ms : float
        Limit for the tail latency of a serving task in milliseconds; 0 if the task
        serves no requests.
    uses_spare : bool
        Whether the tasks run on processors that other tasks leave unused, and reserve
        none.
    may_miss : int
        Number of long-running tasks that may be missing at a time because of the
        system's own actions.
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
    #: Resources that a task reserves on a runner.
    reserved: Resources = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        reserved = self.demand
        if self.uses_spare:
            reserved = dataclasses.replace(reserved, processors_milli=0)
        object.__setattr__(self, "reserved", reserved)


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Rules of a queue for the jobs in it.

    Attributes
    ----------
    service : str
        Service whose runners run the tasks.
    priority : int
        Rank among queues; 0 goes first.
    max_attempts : int
        Number of failed attempts of a task or a gang after which the job fails.
    stretch : float
        Factor for the estimated critical path in the objective of a job.
    objective_s : float
        Seconds that are added to the stretched critical path in the objective.
    advised : bool
        Whether placement needs tickets of the placement advice service.
    """

    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 0.0
    advised: bool = False


@dataclass(frozen=True, slots=True)
class JobSpec:
    """An accepted job.

    Attributes
    ----------
    id : str
        Id that the submitter chose.
    queue : str
        Name of the queue that accepted the job.
    payload : str
        Text that every task receives.
    steps : tuple of StepSpec
        The steps, by number.
    policy : QueuePolicy
        Rules of the queue at the time of acceptance.
    accepted_ms : int
        Time of acceptance in milliseconds since 1970.
    occurrences : int
        Number of times that the steps run.
    first_due_ms : int
        Time at which occurrence 0 is due, in milliseconds since 1970; 0 for at once.
        Further occurrences count from there.
    interval_ms : int
        Time between occurrences in milliseconds.
    customer : str
        Name of the customer whose job it is, also after the customer's key was removed;
        empty if there is none.
    admitted_fraction : float
        Fraction of the customer's submissions that was admitted when this one was. The
        arrival rate is estimated from it, with those that were refused.
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
    customer: str = ""
    admitted_fraction: float = 1.0

    @property
    def scheduled(self) -> bool:
        """Whether occurrences have due times."""
        return self.first_due_ms > 0 or self.occurrences > 1

    @property
    def lasting(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.lasting for step in self.steps)

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the job in an owner, before its tasks are started."""
        return JOB_BYTES + len(self.payload) + STEP_BYTES * len(self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in milliseconds since 1970."""
        return self.first_due_ms + occurrence * self.interval_ms

    def critical_paths_s(self) -> list[float]:
        """Return the estimated seconds of the longest chain that starts at each step.

        Steps come after those that they wait for, so that one pass from the last step
        to the first is enough.
        """
        longest_after = [0.0] * len(self.steps)
        paths_s = [0.0] * len(self.steps)
        for number in range(len(self.steps) - 1, -1, -1):
            spec = self.steps[number]
            paths_s[number] = spec.estimate_s + longest_after[number]
            for earlier in spec.after:
                longest_after[earlier] = max(longest_after[earlier], paths_s[number])
        return paths_s


def find_invalid_dependency(steps: tuple[StepSpec, ...]) -> int | None:
    """Return the first step that waits for itself, a later step or a missing step.

    The result is None if every step waits for earlier steps only.
    """
    for number, step in enumerate(steps):
        for earlier in step.after:
            if not 0 <= earlier < number:
                return number
    return None
