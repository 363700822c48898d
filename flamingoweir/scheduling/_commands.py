"""Commands that are sent to a worker for an assignment."""

from ..upstreams import Command, CommandKind
from ._assignment import Assignment, AssignmentState


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


def pending_commands(assignment: Assignment) -> list[Command]:
    """Return the commands of a sent attempt that its worker has not carried out."""
    commands: list[Command] = []
    if assignment.state is AssignmentState.UNSENT:
        return commands
    if assignment.end_command is not None:
        commands.append(Command(assignment.end_command, *assignment.identity))
    if assignment.throttle_percent != assignment.reported_throttle_percent:
        commands.append(
            Command(
                CommandKind.THROTTLE,
                *assignment.identity,
                throttle_percent=assignment.throttle_percent,
            )
        )
    return commands
