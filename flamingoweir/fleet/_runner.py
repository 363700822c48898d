"""What the owner knows of one runner: its lists, its lease, its room."""

from ..jobs import Attempt, StepSpec, TaskId
from ..registry import RunnerEntry
from ..resources import Resources
from ..wakeup import Wakeup

#: Seconds that the lease of a runner's tasks is prolonged by. Long enough for a
#: successor to take over (about 2 s) before tasks are killed.
RUNNER_LEASE_S = 4.0
#: The same on a runner that is about to leave, so that its tasks can be started
#: elsewhere soon after it has gone.
DRAINING_LEASE_S = 1.6
#: Seconds in which an order to start a task has to arrive. Orders that are carried
#: out late come two seconds later or more.
START_WINDOW_S = 1.5
#: A runner's clock may be this much slow.
CLOCK_DRIFT = 0.02
#: Milliseconds added to every wait for a lease to lapse.
LAPSE_MARGIN_MS = 100
#: Part of its processors that a serving task uses; the rest is left to others.
SERVING_UTILIZATION = 0.6


class Allocation:
    """What one attempt takes of a runner."""

    __slots__ = (
        "attempt",
        "expect_listed_after_s",
        "load",
        "log_latency_deviation",
        "spec",
        "start_unanswered",
        "throttled_since_s",
        "ticket",
        "unthrottled_since_s",
    )

    def __init__(self, attempt: Attempt, spec: StepSpec):
        self.attempt = attempt
        self.spec = spec
        #: A look sent after this must list the attempt, or it isn't there.
        self.expect_listed_after_s = float("inf")
        #: The figure of the latest look; see `RunningTask.load`.
        self.load: float | None = None
        #: By how much its tail differs from what its image's model expects, as a log.
        self.log_latency_deviation = 0.0
        #: Since when it has been held back, if it is.
        self.throttled_since_s: float | None = None
        #: When nothing held it back any more: no pace, a runner that answers.
        self.unthrottled_since_s = attempt.created_s
        #: Whether an order for it was not answered, so that it may arrive later.
        self.start_unanswered = False
        #: Leave of the advice service; empty: none needed.
        self.ticket = ""


class Runner:
    """One runner as the owner of its shard sees it.

    Parameters
    ----------
    entry : RunnerEntry
        What it says of itself.
    max_lease_s : float
        Longest lease that runners grant.
    former_leases_end_s : float
        While it has not answered this owner: when leases that a former owner may
        have granted have surely run out.

    Attributes
    ----------
    incarnation : int or None
        Its incarnation; None before the first look of this owner.
    last_received_end : int
        Number of the last end that was taken in.
    last_durable_end : int
        Number of the last end that is durable.
    allocation_by_run : dict of (TaskId, int) to Place
        Attempts that take room, also those being stopped.
    reserved : Resources
        Room that they take together.
    spare_demand_milli : int
        Processors wanted by tasks that use what others leave.
    serving, serving_demand_milli : int
        Places of tasks with a latency target, and the processors reserved for them.
    last_answer_s : float
        When it last answered.
    unresponsive_since_s : float or None
        When its silence began.
    poll_wakeup : Wakeup
        Set when there may be a reason to look at it.
    revision : int
        Rises whenever a place is taken or given back.
    """

    def __init__(
        self, entry: RunnerEntry, max_lease_s: float, former_leases_end_s: float = 0.0
    ):
        self.entry = entry
        self.incarnation: int | None = None
        self.last_received_end = 0
        self.last_durable_end = 0
        self.allocation_by_run: dict[tuple[TaskId, int], Allocation] = {}
        self.reserved = Resources()
        self.revision = 0
        self.spare_demand_milli = 0
        self.serving_count = 0
        self.serving_demand_milli = 0
        self.last_answer_s = float("-inf")
        self.unresponsive_since_s: float | None = None
        self.poll_wakeup = Wakeup()
        self._max_lease_s = max_lease_s
        self._former_leases_end_s = former_leases_end_s
        self._clock_ms = 0.0
        self._clock_read_s = 0.0
        self._leases_end_ms = 0

    @property
    def id(self) -> str:
        """The runner's id."""
        return self.entry.id

    @property
    def free_resources(self) -> Resources:
        """What is not taken."""
        return self.entry.capacity - self.reserved

    @property
    def has_attempts(self) -> bool:
        """Whether attempts take room."""
        return bool(self.allocation_by_run)

    @property
    def spare_available_milli(self) -> float:
        """Processors that are left to tasks that use spare ones."""
        free_milli = (
            self.entry.capacity.processors_milli - self.reserved.processors_milli
        )
        return free_milli + (1 - SERVING_UTILIZATION) * self.serving_demand_milli

    def spare_oversubscription(self, spec: StepSpec) -> float:
        """Return by how much tasks would want more spare processors than are left.

        0.5 says that, with one more task of a step, they want half as much again,
        and would take half as long again.
        """
        wanted = self.spare_demand_milli + spec.demand.processors_milli
        return wanted / max(1, self.spare_available_milli) - 1

    def add(self, attempt: Attempt, spec: StepSpec) -> Allocation:
        """Take room for an attempt."""
        allocation = Allocation(attempt, spec)
        self.allocation_by_run[attempt.task, attempt.run] = allocation
        self.revision += 1
        self.reserved = self.reserved + spec.reserved
        if spec.uses_spare:
            self.spare_demand_milli += spec.demand.processors_milli
        if spec.latency_target_ms:
            self.serving_count += 1
            self.serving_demand_milli += spec.demand.processors_milli
        return allocation

    def find(self, task: TaskId, run: int) -> Allocation | None:
        """Return the place of an attempt, or None."""
        return self.allocation_by_run.get((task, run))

    def remove(self, task: TaskId, run: int) -> Allocation | None:
        """Give back the room of an attempt."""
        allocation = self.allocation_by_run.pop((task, run), None)
        if allocation is None:
            return None
        self.revision += 1
        self.reserved = self.reserved - allocation.spec.reserved
        if allocation.spec.uses_spare:
            self.spare_demand_milli -= allocation.spec.demand.processors_milli
        if allocation.spec.latency_target_ms:
            self.serving_count -= 1
            self.serving_demand_milli -= allocation.spec.demand.processors_milli
        return allocation

    def begin_incarnation(self, incarnation: int) -> list[Allocation]:
        """Note a new incarnation; return the places that belong to a former one."""
        self.incarnation = incarnation
        self.last_received_end = 0
        self.last_durable_end = 0
        self._leases_end_ms = 0
        lost = []
        for allocation in self.allocation_by_run.values():
            if allocation.attempt.incarnation != incarnation:
                lost.append(allocation)
        return lost

    def record_answer(self, clock_ms: float, now_s: float) -> None:
        """Take the runner's clock from an answer that has just come."""
        self._clock_ms = clock_ms
        self._clock_read_s = now_s
        self.last_answer_s = now_s
        self.unresponsive_since_s = None

    def record_no_answer(self, now_s: float) -> None:
        """Note that a call was not answered."""
        if self.unresponsive_since_s is None:
            self.unresponsive_since_s = now_s

    def extend_lease(self, now_s: float) -> int:
        """Return the end of a lease that is prolonged now, on the runner's clock."""
        lease_s = DRAINING_LEASE_S if self.entry.draining else RUNNER_LEASE_S
        return self._extend(now_s, min(lease_s, self._max_lease_s))

    def start_deadline_ms(self, now_s: float) -> int:
        """Return the latest time of a start ordered now, on the runner's clock."""
        due_ms = round(self._estimate_clock_ms(now_s) + 1000 * START_WINDOW_S)
        self._leases_end_ms = max(self._leases_end_ms, due_ms)
        return due_ms

    def leases_lapsed(self, now_s: float) -> bool:
        """Return whether every lease granted so far has surely run out."""
        if self.incarnation is None:
            return now_s > self._former_leases_end_s
        passed_ms = 1000 * (now_s - self._clock_read_s) * (1 - CLOCK_DRIFT)
        return self._clock_ms + passed_ms > self._leases_end_ms + LAPSE_MARGIN_MS

    def _extend(self, now_s: float, lease_s: float) -> int:
        due_ms = round(self._estimate_clock_ms(now_s) + 1000 * lease_s)
        self._leases_end_ms = max(self._leases_end_ms, due_ms)
        return due_ms

    def _estimate_clock_ms(self, now_s: float) -> float:
        return self._clock_ms + 1000 * (now_s - self._clock_read_s)
