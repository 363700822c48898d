"""The owner's view of one runner: allocations, free resources and leases."""

from ..clock import CLOCK_DRIFT
from ..jobs import Attempt, StepSpec, TaskId
from ..registry import RunnerEntry
from ..resources import Resources
from ..wakeup import Wakeup
from ._allocation import Allocation
from ._call_fence import MAX_LATENESS_S, CallFence
from ._end_cursor import EndCursor
from ._incarnation_clock import IncarnationClock
from ._unanswered_starts import UnansweredStarts

#: Seconds from a poll to the end of the lease that it renews for the runner's tasks. A
#: new owner takes over in about 2 s, before the runner would kill the tasks.
RUNNER_LEASE_S = 4.0
#: Seconds from a poll to the end of the lease that it renews on a leaving runner. This
#: time is shorter, so that the tasks can be started elsewhere soon after the runner has
#: stopped.
LEAVING_LEASE_S = 1.6
#: Seconds without a response after which the owner publishes that a runner is granted
#: no leases. An owner that was paused finds all runners unresponsive for a moment.
LOST_AFTER_S = 0.5
#: Seconds within which a start order must reach the runner. A delayed order arrives two
#: seconds late or more, so that the runner rejects it.
START_WINDOW_S = 1.5
#: Milliseconds added to every wait for a lease to lapse.
LAPSE_MARGIN_MS = 100
#: Fraction of the demanded processors that a serving task uses; the rest is spare.
SERVING_UTILIZATION = 0.6
#: Seconds for which a runner that rejected a start for want of room gets no other one.
#: It holds less than its entry shows, and announces that about once a second.
NO_ROOM_PAUSE_S = 1.0
#: Seconds by which the wall clocks of runners and instances may differ.
WALL_CLOCK_MARGIN_S = 5.0
_NOTHING = Resources()


class Runner:
    """One runner, as the owner of its shard sees it.

    Parameters
    ----------
    entry : RunnerEntry
        The entry that the runner announces.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    earlier_leases_end_s : float
        Time on the owner's clock, in seconds, by which leases from earlier owners have
        certainly lapsed; used until the runner first responds to this owner.
    token : int
        The owner's fencing token.
    stale_token : int
        Highest fencing token of this owner's calls to the runner before it was dropped;
        0: there were none.
    may_get_late_calls : bool
        Whether calls of an earlier owner, or to an earlier incarnation, may reach the
        runner.
    late_starts_until_s : float
        Until when start orders of earlier owners may arrive, on the owner's clock, in
        seconds.

    Attributes
    ----------
    incarnation : int or None
        Incarnation of the runner; None before the first response to this owner.
    ends : EndCursor
        Numbers of the ends of attempts that the incarnation lists.
    allocation_by_run : dict of (TaskId, int) to Allocation
        Allocations by task and run, including attempts that are being stopped.
    reserved : Resources
        Sum of the resources reserved by all allocations.
    lasting_reserved : Resources
        Sum of the resources reserved by long-running tasks.
    beside_lasting : Resources
        Capacity that long-running tasks leave to others.
    free_resources : Resources
        Capacity that is not reserved.
    spare_demand_milli : int
        Thousandths of processors demanded by tasks that use spare ones.
    serving_count : int
        Number of allocations of serving tasks, which have a latency target.
    serving_count_by_image : dict of str to int
        Number of allocations of serving tasks, by image; no entry is 0.
    serving_demand_milli : int
        Thousandths of processors demanded by serving tasks.
    last_response_s : float
        When the runner last responded, on the owner's clock, in seconds; minus
        infinity: never.
    last_answered_s : float
        When the latest poll with a response was sent, on the owner's clock, in seconds;
        minus infinity: there was none.
    heard_s : float
        When any call last got a response of the known incarnation, on the owner's
        clock, in seconds; minus infinity: never.
    unresponsive_since_s : float or None
        When calls began to get no response, on the owner's clock, in seconds; None
        while the runner responds.
    lost_s : float
        When the runner last became unresponsive, on the owner's clock, in seconds;
        minus infinity: never.
    crashed_incarnation : int
        Incarnation that is known to have crashed while it had attempts; 0: none.
    leaving : bool
        Whether the runner drains or is listed no more; it is granted short leases.
    leases_left_ms : float
        Milliseconds by the runner's clock from its latest response until all leases
        granted so far have lapsed; infinite before the first response.
    granted_s : float
        When the latest call was made that grants a lease, on the owner's clock, in
        seconds; minus infinity: there was none.
    renewed_s : float
        When the latest call was made that renews the lease in full, or for as long as
        the owner may, on the owner's clock, in seconds; minus infinity: there was none.
    no_room_until_s : float
        Until when the runner gets no task because it rejected one for want of room, on
        the owner's clock, in seconds.
    call_fence : CallFence
        Fencing token of calls to the runner.
    unanswered_starts : UnansweredStarts
        Start orders that may arrive late.
    incarnation_clock : IncarnationClock
        The runner's clock, as of the latest report.
    poll_wakeup : Wakeup
        Set when there may be a reason to poll the runner.
    revision : int
        Incremented whenever an allocation is added or removed, or the capacity changes.
    """

    def __init__(
        self,
        entry: RunnerEntry,
        max_lease_s: float,
        earlier_leases_end_s: float = 0.0,
        token: int = 0,
        stale_token: int = 0,
        may_get_late_calls: bool = True,
        late_starts_until_s: float = float("-inf"),
    ):
        self._entry = entry
        self.incarnation: int | None = None
        self.ends = EndCursor()
        self.allocation_by_run: dict[tuple[TaskId, int], Allocation] = {}
        self.reserved = Resources()
        self.lasting_reserved = Resources()
        self.beside_lasting = entry.capacity
        self.free_resources = entry.capacity
        self.revision = 0
        self.spare_demand_milli = 0
        self.serving_count = 0
        self.serving_count_by_image: dict[str, int] = {}
        self.serving_demand_milli = 0
        self.last_response_s = float("-inf")
        self.last_answered_s = float("-inf")
        self.heard_s = float("-inf")
        self.unresponsive_since_s: float | None = None
        self.lost_s = float("-inf")
        self.crashed_incarnation = 0
        self.leaving = False
        self.no_room_until_s = float("-inf")
        self.call_fence = CallFence(token, stale_token)
        self.unanswered_starts = UnansweredStarts(late_starts_until_s)
        self.poll_wakeup = Wakeup()
        self._max_lease_s = max_lease_s
        self._earlier_leases_end_s = earlier_leases_end_s
        self.incarnation_clock = IncarnationClock()
        self._leases_end_ms = 0
        #: End of leases that calls to former incarnations may have extended.
        self._inherited_end_ms = 0
        self.granted_s = self.renewed_s = float("-inf")
        self._may_get_late_calls = may_get_late_calls
        self.leases_left_ms = float("inf")

    @property
    def entry(self) -> RunnerEntry:
        """The entry that the runner announces."""
        return self._entry

    @entry.setter
    def entry(self, entry: RunnerEntry) -> None:
        if entry.capacity != self._entry.capacity:
            self.revision += 1
            self.no_room_until_s = float("-inf")
        self._entry = entry
        self.beside_lasting = entry.capacity - self.lasting_reserved
        self.free_resources = entry.capacity - self.reserved

    @property
    def id(self) -> str:
        """The runner's id."""
        return self._entry.id

    @property
    def has_attempts(self) -> bool:
        """Whether any attempt holds resources here."""
        return bool(self.allocation_by_run)

    @property
    def spare_available_milli(self) -> float:
        """Thousandths of processors left for tasks that use spare ones."""
        free_milli = self.free_resources.processors_milli
        return free_milli + (1 - SERVING_UTILIZATION) * self.serving_demand_milli

    def spare_oversubscription(self, spec: StepSpec) -> float:
        """Return the oversubscription of spare processors with one more task.

        The result is demand over supply, minus 1. At 0.5 the tasks demand half as much
        again as there is, and take half as long again.
        """
        wanted = self.spare_demand_milli + spec.demand.processors_milli
        return wanted / max(1, self.spare_available_milli) - 1

    def add(self, attempt: Attempt, spec: StepSpec, customer: str = "") -> Allocation:
        """Allocate resources for an attempt at a task of a customer's job."""
        allocation = Allocation(attempt, spec, customer)
        allocation.service = self._entry.service
        self.allocation_by_run[attempt.task, attempt.run] = allocation
        self.revision += 1
        self.reserved = self.reserved + spec.reserved
        self.free_resources = self._entry.capacity - self.reserved
        if spec.lasting:
            self.lasting_reserved = self.lasting_reserved + spec.reserved
            self.beside_lasting = self._entry.capacity - self.lasting_reserved
        if spec.uses_spare:
            self.spare_demand_milli += spec.demand.processors_milli
        if spec.latency_target_ms:
            self.serving_count += 1
            self.serving_demand_milli += spec.demand.processors_milli
            self._count_serving(spec.image, 1)
        return allocation

    def find(self, task: TaskId, run: int) -> Allocation | None:
        """Return the allocation of an attempt, or None."""
        return self.allocation_by_run.get((task, run))

    def has_room_for(self, allocation: Allocation) -> bool:
        """Return whether an attempt may be started by the capacity as it is now.

        The capacity may have shrunk since the attempt was placed. Younger attempts
        that no order was sent for yet give way to it; all others count. Members of its
        gang don't give way, as part of a gang would wait for them in vain.
        """
        own = allocation.attempt.task
        free = self.free_resources
        for younger in reversed(self.allocation_by_run.values()):
            if younger is allocation or _NOTHING.fits_in(free):
                break
            if younger.start_sent:
                continue
            task = younger.attempt.task
            same_step = (task.job, task.occurrence, task.step) == (
                own.job,
                own.occurrence,
                own.step,
            )
            if not (allocation.spec.gang and same_step):
                free = free + younger.spec.reserved
        return _NOTHING.fits_in(free)

    def remove(self, task: TaskId, run: int) -> Allocation | None:
        """Release the allocation of an attempt; return it, or None if there is none."""
        allocation = self.allocation_by_run.pop((task, run), None)
        if allocation is None:
            return None
        self.revision += 1
        spec = allocation.spec
        self.reserved = self.reserved - spec.reserved
        self.free_resources = self._entry.capacity - self.reserved
        if spec.lasting:
            self.lasting_reserved = self.lasting_reserved - spec.reserved
            self.beside_lasting = self._entry.capacity - self.lasting_reserved
        if spec.uses_spare:
            self.spare_demand_milli -= spec.demand.processors_milli
        if spec.latency_target_ms:
            self.serving_count -= 1
            self.serving_demand_milli -= spec.demand.processors_milli
            self._count_serving(spec.image, -1)
        return allocation

    def may_run_unseen(self, allocation: Allocation, now_s: float) -> bool:
        """Return whether an incarnation that has not responded may have a run.

        It has those whose start it has confirmed, or whose start order reaches it late,
        until leases have lapsed that late calls may have extended.

        Parameters
        ----------
        allocation : Allocation
            Allocation of the attempt.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        late_until_s = self.find_late_until_s(allocation)
        if late_until_s == float("-inf"):
            return False
        return now_s < self.find_unseen_until_s(late_until_s)

    def find_unseen_until_s(self, late_until_s: float) -> float:
        """Return until when an incarnation that has not responded may have a run.

        Parameters
        ----------
        late_until_s : float
            Until when a start order of the run may arrive.
        """
        late_until_s = max(late_until_s, self.granted_s + MAX_LATENESS_S)
        lease_s = self._max_lease_s / (1 - CLOCK_DRIFT) + LAPSE_MARGIN_MS / 1000
        return late_until_s + lease_s

    def find_late_until_s(self, allocation: Allocation) -> float:
        """Return until when calls may start a run unseen, or extend its lease.

        On the owner's clock, in seconds; minus infinity if there is no such run: its
        orders have arrived at an incarnation that has responded to a later poll.
        """
        begun_s = max(allocation.late_start_until_s, allocation.unseen_start_s)
        if begun_s == float("-inf") or begun_s < self.last_answered_s:
            return float("-inf")
        return max(begun_s, self.granted_s + MAX_LATENESS_S)

    def begin_incarnation(
        self,
        incarnation: int,
        now_s: float,
        token: int = 0,
        age_s: float = float("inf"),
    ) -> list[Allocation]:
        """Record a new incarnation; return the allocations of former ones.

        The leases of an earlier owner go on for those of this incarnation. That owner
        has fenced calls to former ones, or its bound includes what they may extend.

        Parameters
        ----------
        incarnation : int
            The incarnation.
        now_s : float
            Time on the owner's clock, in seconds.
        token : int
            Fencing token of the call that it has responded to.
        age_s : float
            Age of the incarnation by the wall clock, in seconds; only used for the
            first one that responds to this owner.
        """
        lost = []
        for allocation in self.allocation_by_run.values():
            if allocation.attempt.incarnation != incarnation:
                lost.append(allocation)
        lease_s = 0.0
        was_known = self.incarnation is None and len(lost) < len(self.allocation_by_run)
        if was_known:
            lease_s = max(0.0, self._earlier_leases_end_s - now_s)
        self._leases_end_ms = round(
            self.incarnation_clock.estimate_ms(now_s) + 1000 * lease_s
        )
        inherited_s = MAX_LATENESS_S + self._max_lease_s
        if self.incarnation is not None:
            self.call_fence.begin_incarnation()
        else:
            self.call_fence.record_response(token)
            if self.call_fence.is_established:
                inherited_s += WALL_CLOCK_MARGIN_S - age_s
                inherited_s = min(inherited_s, self._max_lease_s)
            if was_known:
                inherited_s = min(inherited_s, lease_s)
            if not self._may_get_late_calls:
                inherited_s = 0.0
        self._record_inherited(inherited_s, now_s)
        self.incarnation = incarnation
        self.ends = EndCursor()
        self.no_room_until_s = float("-inf")
        return lost

    def record_fenced(self, token: int, now_s: float) -> bool:
        """Record a response to a call with a token; return whether it ends the wait.

        Calls to former incarnations are rejected from then on, so that leases which
        they have extended end within the longest lease.
        """
        if self.call_fence.is_established:
            return False
        self.call_fence.record_response(token)
        if not self.call_fence.is_established:
            return False
        self._record_inherited(self._max_lease_s, now_s)
        return True

    def _record_inherited(self, lease_s: float, now_s: float) -> None:
        """Record for how long leases may last that stale calls have extended."""
        end_ms = self.incarnation_clock.estimate_ms(now_s) + 1000 * max(0.0, lease_s)
        self._inherited_end_ms = round(end_ms)
        self._update_leases_left()

    def inherited_s(self, now_s: float) -> float:
        """Return for how long calls to former incarnations may have extended leases.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.incarnation is None:
            return 0.0
        left_ms = self._inherited_end_ms - self.incarnation_clock.estimate_ms(now_s)
        return max(0.0, left_ms / 1000)

    @property
    def responds(self) -> bool:
        """Whether the latest call of this owner got a response."""
        return self.incarnation is not None and self.unresponsive_since_s is None

    def may_acknowledge(self, now_s: float) -> bool:
        """Return whether a call may acknowledge ends.

        The next incarnation may carry out a start order that arrives late, and forget
        how the run ended if a call that was sent after the order arrives after that.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        return self.responds and not self.unanswered_starts.may_arrive(now_s)

    def must_defer_start(self, spec: StepSpec, now_s: float) -> bool:
        """Return whether a start order waits until ends have been acknowledged.

        That of a long-running task waits only if ends have been withheld for long:
        without a response, its task is held open for long if its owner is lost.

        Parameters
        ----------
        spec : StepSpec
            Step of the task.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.ends.are_many_withheld:
            return True
        if now_s < self.unanswered_starts.lost_until_s:
            return False
        if spec.lasting:
            return self.ends.have_long_turn(now_s)
        return self.ends.have_turn(now_s)

    def must_refuse_start(self, now_s: float) -> bool:
        """Return whether a start order would wait for long until ends are acknowledged.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        is_lost = now_s < self.unanswered_starts.lost_until_s
        return is_lost and self.ends.are_many_withheld

    def record_response(
        self, clock_ms: float, now_s: float, sent_s: float | None = None
    ) -> None:
        """Record a response that has just arrived, with the runner's clock.

        Parameters
        ----------
        clock_ms : float
            The runner's clock in milliseconds.
        now_s : float
            Time on the owner's clock, in seconds.
        sent_s : float or None
            When the call was sent, on that clock; None: now.
        """
        self.incarnation_clock.record(clock_ms, now_s)
        # The response may be older than those to other calls that have arrived before.
        self.last_answered_s = now_s if sent_s is None else sent_s
        self._update_leases_left()
        self.last_response_s = self.heard_s = now_s
        self.unresponsive_since_s = None

    def record_heard(self, now_s: float) -> None:
        """Record a response to another call than a poll, of the known incarnation."""
        self.heard_s = max(self.heard_s, now_s)

    def record_no_response(self, now_s: float) -> None:
        """Record that a call got no response."""
        self.heard_s = float("-inf")
        if self.unresponsive_since_s is None:
            self.unresponsive_since_s = self.lost_s = now_s

    def record_withheld(self, now_s: float) -> None:
        """Record that a call could not acknowledge ends for the sake of start orders.

        Before they fill its reports, the runner gets no further tasks.
        """
        self.ends.record_withheld(now_s)
        if self.ends.are_many_withheld:
            lost_until_s = self.unanswered_starts.lost_until_s
            self.no_room_until_s = max(self.no_room_until_s, lost_until_s)

    def record_no_room(self, now_s: float) -> None:
        """Record that a start was rejected for want of room."""
        self.no_room_until_s = now_s + NO_ROOM_PAUSE_S

    @property
    def lease_s(self) -> float:
        """Seconds for which a lease is renewed."""
        lease_s = LEAVING_LEASE_S if self.leaving else RUNNER_LEASE_S
        return min(lease_s, self._max_lease_s)

    def grant_lease(self, end_s: float, now_s: float) -> int:
        """Grant a lease; return its end in ms on the runner's clock.

        Parameters
        ----------
        end_s, now_s : float
            End of the lease and current time on the owner's clock, in seconds.
        """
        end_ms = round(
            self.incarnation_clock.estimate_ms(now_s) + 1000 * (end_s - now_s)
        )
        self._leases_end_ms = max(self._leases_end_ms, end_ms)
        self._update_leases_left()
        self.granted_s = now_s
        return end_ms

    def has_short_leases(self, now_s: float) -> bool:
        """Return whether the runner is granted short leases, or none for a while.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.leaving or self.incarnation is None:
            return True
        lost_s = self.unresponsive_since_s
        return lost_s is not None and now_s - lost_s >= LOST_AFTER_S

    def leases_lapsed(self, now_s: float) -> bool:
        """Return whether every lease granted so far has certainly lapsed."""
        return self.lapses_in_s(now_s) < 0

    def lapses_in_s(self, now_s: float) -> float:
        """Return after how many seconds all leases granted so far have surely lapsed.

        The result is negative once they have.
        """
        if self.incarnation is None:
            return self._earlier_leases_end_s - now_s
        left_s = self.leases_left_ms / (1000 * (1 - CLOCK_DRIFT))
        return left_s - (now_s - self.incarnation_clock.read_s)

    def unheard_s(self, now_s: float) -> float | None:
        """Return the seconds since the last response to this owner; None: no response.

        Parameters
        ----------
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if self.incarnation is None:
            return None
        return now_s - self.last_response_s

    def _count_serving(self, image: str, change: int) -> None:
        count = self.serving_count_by_image.get(image, 0) + change
        if count:
            self.serving_count_by_image[image] = count
        else:
            del self.serving_count_by_image[image]

    def _update_leases_left(self) -> None:
        end_ms = max(self._leases_end_ms, self._inherited_end_ms)
        self.leases_left_ms = end_ms + LAPSE_MARGIN_MS - self.incarnation_clock.read_ms
