"""The resources that one attempt holds on a runner."""

from ..jobs import Attempt, StepSpec
from ._call_fence import MAX_LATENESS_S


class Allocation:
    """The resources that one attempt holds on a runner."""

    __slots__ = (
        "attempt",
        "awaits_order",
        "customer",
        "earlier_stalls",
        "expect_listed_after_s",
        "late_start_until_s",
        "load",
        "headroom_deviation",
        "has_restarted",
        "listed_s",
        "order_under_way",
        "service",
        "spec",
        "start_sent",
        "start_unanswered",
        "started_s",
        "throttled_since_s",
        "ticket",
        "unseen_start_s",
        "unthrottled_since_s",
    )

    def __init__(self, attempt: Attempt, spec: StepSpec, customer: str = ""):
        self.attempt = attempt
        self.spec = spec
        #: Name of the job's customer, kept when the job is gone; empty: none.
        self.customer = customer
        #: Service of the runner when the allocation was made.
        self.service = ""
        #: Number of earlier attempts at the task that made no progress.
        self.earlier_stalls = 0
        #: If a poll sent after this time does not list the attempt, it is not there.
        self.expect_listed_after_s = float("inf")
        #: Load in the latest poll's report; see `RunningTask.load`.
        self.load: float | None = None
        #: Moving average of the measured minus the expected headroom of a serving task.
        self.headroom_deviation = 0.0
        #: Since when the requested pace has been low, on the owner's clock, in seconds;
        #: None while it is not.
        self.throttled_since_s: float | None = None
        #: Time from which progress is expected: when the start was confirmed, or before
        #: that when the attempt was created; when its pace last changed, or its runner
        #: responded again.
        self.unthrottled_since_s = attempt.created_s
        #: Whether this owner has sent a start order.
        self.start_sent = False
        #: Whether nobody has sent a start order yet, so that there is nothing to stop.
        self.awaits_order = False
        #: Whether the runner has restarted since a start order without a response.
        self.has_restarted = False
        #: Whether a start order was sent that has no result yet.
        self.order_under_way = False
        #: Whether a start order got no response, so that it may still be carried out.
        self.start_unanswered = False
        #: Until when a start order that got no response may be carried out, on the
        #: owner's clock, in seconds.
        self.late_start_until_s = float("-inf")
        #: When an incarnation that no report has come from has confirmed the start, on
        #: the owner's clock, in seconds; minus infinity: none has.
        self.unseen_start_s = float("-inf")
        #: Ticket of the placement advice service; empty: none needed.
        self.ticket = ""
        #: When the start was first confirmed, on the owner's clock, in seconds; None
        #: before. Minus infinity: it was ordered by an earlier owner.
        self.started_s: float | None = None
        #: When a poll last listed the attempt as running, on the owner's clock, in
        #: seconds.
        self.listed_s = float("-inf")

    def record_start(self, now_s: float) -> None:
        """Record that the start is confirmed; only the first call counts."""
        if self.started_s is None:
            self.started_s = now_s
            # Its order may have waited for long.
            self.unthrottled_since_s = max(self.unthrottled_since_s, now_s)

    def record_listed(self, now_s: float) -> None:
        """Record that a poll lists the attempt as running."""
        self.record_start(now_s)
        self.listed_s = now_s
        self.unseen_start_s = float("-inf")

    def record_unanswered_start(self, now_s: float) -> None:
        """Record that a start order got no response, so that it may come late."""
        self.start_unanswered = True
        self.late_start_until_s = now_s + MAX_LATENESS_S

    def record_restart(self) -> None:
        """Record that the runner has restarted and doesn't list the attempt."""
        self.has_restarted = True
        self.started_s = None
        self.listed_s = float("-inf")

    def may_start_late(self, now_s: float) -> bool:
        """Return whether a start order without a response may arrive now or later."""
        if self.order_under_way:
            return True
        return self.start_unanswered and now_s < self.late_start_until_s

    def find_late_until_s(self, now_s: float) -> float:
        """Return until when a start order may arrive, on the owner's clock, in seconds.

        Minus infinity if each has got a response.
        """
        if self.order_under_way:
            return now_s + MAX_LATENESS_S
        return self.late_start_until_s

    def has_survived(self, duration_s: float) -> bool:
        """Return whether the runner was up ``duration_s`` after the start."""
        if self.started_s is None or self.listed_s == float("-inf"):
            return False
        return self.listed_s - self.started_s >= duration_s
