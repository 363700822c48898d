"""Commands about jobs and tasks."""

import argparse
import time
import uuid

from ..exit_status import ExitStatus
from .client import DaemonClient, ToolError, escape
from .output import Output

WATCH_PERIOD_S = 0.5
ENDED = ("done", "failed", "cancelled")


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
        answer = client.post("/v1/jobs", declaration)
    except ToolError as error:
        if error.status is ExitStatus.UNKNOWN:
            raise ToolError(f"{error}: --id {job_id}", error.status) from error
        raise
    if output.as_json:
        output.print_json(answer)
    else:
        output.print_line(f"job {answer['id']} accepted, {arguments.tasks} tasks")
    return ExitStatus.SUCCESS


def show(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show how a job stands."""
    shown = None
    while True:
        status = client.get(f"/v1/jobs/{escape(arguments.job)}")
        if status != shown:
            _print_status(status, output)
            shown = status
        if not arguments.watch or status["state"] in ENDED:
            return ExitStatus.SUCCESS
        time.sleep(WATCH_PERIOD_S)


def list_jobs(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List declared jobs."""
    team = "" if arguments.all_teams else client.team
    answer = client.get(
        f"/v1/jobs?team={escape(team)}&after={escape(arguments.after)}"
        f"&limit={arguments.limit}"
    )
    rows = []
    for spec in answer["jobs"]:
        zones = ",".join(spec["zones"])
        rows.append((spec["id"], spec["team"], spec["tasks"], zones, spec["job_class"]))
    output.print_table(answer, ("job", "team", "tasks", "zones", "class"), rows)
    return ExitStatus.SUCCESS


def cancel(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Cancel a job."""
    answer = client.post(f"/v1/jobs/{escape(arguments.job)}/cancel")
    if output.as_json:
        output.print_json(answer)
    else:
        output.print_line(f"job {answer['id']}: no task is started any more")
    return ExitStatus.SUCCESS


def explain(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Say why a task waits or where it runs."""
    job, _, index = arguments.task.rpartition("/")
    if not job or not index.isdigit():
        raise ToolError(
            f"{arguments.task!r} is no task; write JOB/INDEX, such as rounds/0",
            ExitStatus.USAGE,
        )
    answer = client.get(f"/v1/jobs/{escape(job)}/tasks/{index}")
    if output.as_json:
        output.print_json(answer)
        return ExitStatus.SUCCESS
    if not answer["tasks"]:
        output.print_line(f"{arguments.task}: no owner holds it; it may have ended")
    for word in answer["tasks"]:
        _print_task(word, output)
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
        output.print_line(f"  not heard of: {shards}")


def _print_task(word: dict, output: Output) -> None:
    place = f" on {word['worker']}" if word["worker"] else ""
    output.print_line(
        f"{word['task']}: {word['state']}{place}, attempt {word['attempt']}, "
        f"{word['failures']} failures"
    )
    if word["checkpoint"]:
        output.print_line(f"  resumes from {word['checkpoint']}")
    if word["last_end"]:
        output.print_line(f"  last attempt: {word['last_end']}")
    if word["expected_s"]:
        output.print_line(f"  expected to take {word['expected_s']:g} s")
    for reason in word["reasons"]:
        output.print_line(f"  waits: {reason}")
