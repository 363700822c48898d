"""Commands about jobs and tasks."""

import argparse
import time
import uuid

from ..exit_status import ExitStatus
from .client import CommandError, DaemonClient, escape
from .output import Output

#: Seconds between requests for the state of a watched job.
POLL_PERIOD_S = 0.5
FINAL_STATES = ("done", "failed", "cancelled")


def submit(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Submit a job."""
    job_id = arguments.id or f"job-{uuid.uuid4().hex[:12]}"
    declaration = {
        "id": job_id,
        "zones": [zone for zone in arguments.zones.split(",") if zone],
        "tasks": arguments.tasks,
        "processors": arguments.processors,
        "memory_mb": arguments.memory_mb,
        "accelerators": arguments.accelerators,
        "job_class": arguments.job_class,
        "priority": arguments.priority,
        "urgent": arguments.urgent,
        "retries": arguments.retries,
        "estimate_s": arguments.estimate,
    }
    try:
        response = client.post("/v1/jobs", declaration)
    except CommandError as error:
        if error.status is ExitStatus.UNKNOWN:
            raise CommandError(f"{error}: --id {job_id}", error.status) from error
        raise
    if output.as_json:
        output.print_json(response)
    else:
        output.print_line(f"job {response['id']} accepted, {arguments.tasks} tasks")
    return ExitStatus.SUCCESS


def show(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show the state of a job, repeatedly if it is watched."""
    shown = None
    while True:
        status = client.get(f"/v1/jobs/{escape(arguments.job)}")
        if status != shown:
            _print_status(status, output)
            shown = status
        if not arguments.watch or status["state"] in FINAL_STATES:
            return ExitStatus.SUCCESS
        time.sleep(POLL_PERIOD_S)


def list_jobs(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List declared jobs."""
    team = "" if arguments.all_teams else client.team
    response = client.get(
        f"/v1/jobs?team={escape(team)}&after={escape(arguments.after)}"
        f"&limit={arguments.limit}"
    )
    rows = []
    for spec in response["jobs"]:
        zones = ",".join(spec["zones"])
        rows.append((spec["id"], spec["team"], spec["tasks"], zones, spec["job_class"]))
    output.print_table(response, ("job", "team", "tasks", "zones", "class"), rows)
    return ExitStatus.SUCCESS


def cancel(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Cancel a job."""
    response = client.post(f"/v1/jobs/{escape(arguments.job)}/cancel")
    if output.as_json:
        output.print_json(response)
    else:
        output.print_line(f"job {response['id']}: no task is started any more")
    return ExitStatus.SUCCESS


def explain(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show why a task waits or where it runs."""
    job, _, index = arguments.task.rpartition("/")
    if not job or not index.isdigit():
        raise CommandError(
            f"{arguments.task!r} is no task; write JOB/INDEX, such as rounds/0",
            ExitStatus.USAGE,
        )
    response = client.get(f"/v1/jobs/{escape(job)}/tasks/{index}")
    if output.as_json:
        output.print_json(response)
        return ExitStatus.SUCCESS
    if not response["tasks"]:
        output.print_line(f"{arguments.task}: no owner holds it; it may have ended")
    for task in response["tasks"]:
        _print_task(task, output)
    return ExitStatus.SUCCESS


def _print_status(status: dict, output: Output) -> None:
    if output.as_json:
        output.print_json(status)
        return
    counts = ", ".join(
        f"{count} {state}" for state, count in sorted(status["by_state"].items())
    )
    output.print_line(f"job {status['spec']['id']}: {status['state']} ({counts})")
    for reason in dict.fromkeys(status["reasons"]):
        output.print_line(f"  {reason}")
    if status["unheard_shards"]:
        shards = ", ".join(status["unheard_shards"])
        output.print_line(f"  shards that have not answered: {shards}")


def _print_task(task: dict, output: Output) -> None:
    location = f" on {task['worker']}" if task["worker"] else ""
    output.print_line(
        f"{task['task']}: {task['state']}{location}, attempt {task['attempt']}, "
        f"{task['failures']} failures"
    )
    if task["checkpoint"]:
        output.print_line(f"  resumes from {task['checkpoint']}")
    if task["last_end"]:
        output.print_line(f"  last attempt: {task['last_end']}")
    if task["expected_s"]:
        output.print_line(f"  expected to take {task['expected_s']:g} s")
    for reason in task["reasons"]:
        output.print_line(f"  waits: {reason}")
