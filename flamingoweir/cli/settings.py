"""Commands about the settings tree."""

import argparse
import time
import uuid

from ..exit_status import ExitStatus
from .client import DaemonClient, ToolError, escape
from .output import Output

WAIT_PERIOD_S = 0.2
HISTORY_LIMIT = 1000


def get(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show values."""
    answer = client.get(f"/v1/settings?path={escape(arguments.path)}")
    output.print_table(answer, ("path", "value"), list(answer["values"].items()))
    if not output.as_json:
        output.print_line(f"branch version {answer['branch_version']}")
    return ExitStatus.SUCCESS


def change(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Change or remove a value."""
    change_id = arguments.id or f"change-{uuid.uuid4().hex}"
    content = {"id": change_id, "values": {arguments.path: arguments.value}}
    if arguments.expected is not None:
        content["expected"] = arguments.expected
    try:
        answer = client.post("/v1/settings", content)
    except ToolError as error:
        if error.status is ExitStatus.UNKNOWN:
            raise ToolError(f"{error}: --id {change_id}", error.status) from error
        raise
    report_accepted(answer, client, output, arguments.wait)
    return ExitStatus.SUCCESS


def history(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show the latest changes."""
    answer = client.get(
        f"/v1/settings/history?path={escape(arguments.path)}&limit={arguments.limit}"
    )
    rows = []
    for item in answer["changes"]:
        for path, value in item["values"].items():
            rows.append((item["version"], item["at"], item["team"], path, value))
    output.print_table(answer, ("version", "at", "team", "path", "value"), rows)
    return ExitStatus.SUCCESS


def diff(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show what changed between two versions."""
    answer = client.get(
        f"/v1/settings/history?path={escape(arguments.path)}&limit={HISTORY_LIMIT}"
    )
    first = min((item["version"] for item in answer["changes"]), default=0)
    if arguments.old < first - 1:
        raise ToolError(
            f"history starts at version {first}; compare from {first - 1} on",
            ExitStatus.NOT_FOUND,
        )
    value_by_path: dict[str, str | None] = {}
    for item in answer["changes"]:
        if arguments.old < item["version"] <= arguments.new:
            value_by_path.update(item["values"])
    rows = []
    for path, value in sorted(value_by_path.items()):
        rows.append((path, "(removed)" if value is None else value))
    output.print_table(value_by_path, ("path", "value"), rows)
    return ExitStatus.SUCCESS


def report_accepted(
    answer: dict, client: DaemonClient, output: Output, wait: bool
) -> None:
    """Say that a change is accepted and, if asked, when it is in force."""
    if not output.as_json:
        output.print_line(f"version {answer['version']} accepted")
    if not wait:
        if output.as_json:
            output.print_json(answer)
        return
    force = wait_in_force(answer["version"], client)
    if output.as_json:
        output.print_json(force)
        return
    if force["in_force_everywhere"]:
        count = len(force["in_force_on"])
        output.print_line(f"in force on all {count} instances")
        return
    silent = ", ".join(force["not_answered"])
    output.print_line(f"not answered: {silent}")
    output.print_line("they start no task any more and follow when they are heard")


def wait_in_force(version: int, client: DaemonClient) -> dict:
    """Wait until a version is in force, or silent instances start nothing."""
    while True:
        force = client.get(f"/v1/settings/force/{version}")
        if force["in_force_everywhere"] or force["starts_stopped_everywhere"]:
            return force
        time.sleep(WAIT_PERIOD_S)
