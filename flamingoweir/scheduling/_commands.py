"""Commands that an assignment calls for."""

from ..upstreams import Command, CommandKind
from ._assignment import Assignment, Standing


def start_command(assignment: Assignment) -> Command:
    """Return the command that starts an assignment."""
    return Command(
        CommandKind.START,
        assignment.task,
        assignment.attempt,
        assignment.spec.needs,
        assignment.spec.job_class,
        assignment.resume_from,
    )


def pending_orders(assignment: Assignment) -> list[Command]:
    """Return what a started attempt is still to be told."""
    orders: list[Command] = []
    if assignment.standing is Standing.AHEAD:
        return orders
    if assignment.order is not None:
        orders.append(Command(assignment.order, *assignment.identity))
    if assignment.throttle_percent != assignment.throttle_seen:
        orders.append(
            Command(
                CommandKind.THROTTLE,
                *assignment.identity,
                throttle_percent=assignment.throttle_percent,
            )
        )
    return orders
