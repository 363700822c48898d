"""What orders of all kinds need to call runners."""

from ..faults import Containment
from ..fleet import Allocation, Runner
from ..jobs import Attempt
from ._context import TermContext, TermEnd
from ._protocols import RunnerLink


class RunnerCalls:
    """Finds what an order is about, and contains its errors.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    term_end : TermEnd
        Signalled when a runner has received a higher fencing token.
    link_by_runner : dict of str to RunnerLink
        Links to the runners, by runner id.
    """

    def __init__(
        self,
        context: TermContext,
        term_end: TermEnd,
        link_by_runner: dict[str, RunnerLink],
    ):
        self._owner_state = context.owner_state
        self._term_end = term_end
        self._link_by_runner = link_by_runner

    def find_link(self, runner_id: str) -> RunnerLink | None:
        """Return the link to a runner; None before the table of runners is read."""
        return self._link_by_runner.get(runner_id)

    def find_allocation(self, attempt: Attempt) -> tuple[Runner, Allocation] | None:
        """Return the runner and the allocation of an attempt; None if it has ended."""
        runner = self._owner_state.runner_by_id.get(attempt.runner)
        allocation = runner.find(attempt.task, attempt.run) if runner else None
        return (runner, allocation) if allocation else None

    def contain(self, order: str, runner_id: str) -> Containment:
        """Return a context that limits an unexpected error to one order."""
        return self._owner_state.fault_log.contain(
            "order_failed", order=order, runner=runner_id
        )

    def end_if_replaced(self, runner: Runner, fence: int) -> bool:
        """End the term if a next owner has called a runner; return whether it has."""
        if runner.call_fence.is_stale(fence):
            return False
        self._term_end.signal(f"runner {runner.id} has received a higher fencing token")
        return True
