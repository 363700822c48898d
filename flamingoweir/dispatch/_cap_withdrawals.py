"""Withdraws starts that were placed before the cap of their customer was lowered."""

from ..fleet import Allocation
from ..policy import allows_task, gang_demand, is_within
from ._cap_changes import find_cap
from ._context import TermContext
from ._owner_state import OwnerState


def may_send_start(context: TermContext, allocation: Allocation) -> bool:
    """Return whether the cap still allows the start of an attempt that was placed.

    An attempt may be placed under a higher cap and become durable late, as while the
    store is unavailable. Only one placed before its customer's cap was lowered is
    checked again, and only until its order is sent, as the order may be carried out
    from then on. Attempts placed after it and not sent yet give way to it, so that as
    few as needed are withdrawn. A gang is withdrawn as a whole.
    """
    if not allocation.customer or allocation.start_sent:
        return True
    usage = context.owner_state.customer_usage
    lowered_s = usage.cap_changes.lowered_s_by_customer.get(allocation.customer)
    if lowered_s is None or allocation.attempt.created_s > lowered_s:
        return True
    cap = find_cap(context.operators.configuration, allocation.customer)
    if cap is None:
        return True
    spec = allocation.spec
    if not spec.gang:
        used_before = usage.used_before(allocation) - spec.demand
        return allows_task(cap, used_before, spec.demand)
    members = _find_members(context.owner_state, allocation)
    if any(member.start_sent for member in members):
        return True
    # The members were placed together, and the last of them are among those after it.
    used_before = usage.used_before(members[0]) - spec.demand
    return is_within(cap, used_before + gang_demand(spec))


def _find_members(owner_state: OwnerState, allocation: Allocation) -> list[Allocation]:
    """Return the allocations of a run of a gang, in the order of placement."""
    task = allocation.attempt.task
    job = owner_state.job_by_id.get(task.job)
    if job is None:
        return [allocation]
    members = []
    for attempt in job.run_by_step[task.occurrence, task.step].attempts():
        if attempt.run != allocation.attempt.run:
            continue
        runner = owner_state.runner_by_id.get(attempt.runner)
        member = runner and runner.find(attempt.task, attempt.run)
        if member is not None:
            members.append(member)
    return members or [allocation]
