"""Commands about the settings tree."""

import argparse
import time
import uuid

from ..exit_status import ExitStatus
from .client import CommandError, DaemonClient, escape
from .output import Output

#: Seconds between requests for the state of a change.
POLL_PERIOD_S = 0.2
#: Largest number of changes that are requested for a comparison.
HISTORY_LIMIT = 1000


def get(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show values of the settings tree."""
    response = client.get(f"/v1/settings?path={escape(arguments.path)}")
    output.print_table(response, ("path", "value"), list(response["values"].items()))
    if not output.as_json:
        output.print_line(f"branch version {response['branch_version']}")
    return ExitStatus.SUCCESS


def change(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Change or remove a value of the settings tree."""
    change_id = arguments.id or f"change-{uuid.uuid4().hex}"
    content = {"id": change_id, "values": {arguments.path: arguments.value}}
    if arguments.expected is not None:
        content["expected"] = arguments.expected
    try:
        response = client.post("/v1/settings", content)
    except CommandError as error:
        if error.status is ExitStatus.UNKNOWN:
            raise CommandError(f"{error}: --id {change_id}", error.status) from error
        raise
    report_accepted(response, client, output, arguments.wait)
    return ExitStatus.SUCCESS


def history(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show the latest changes."""
    response = client.get(
        f"/v1/settings/history?path={escape(arguments.path)}&limit={arguments.limit}"
    )
    rows = []
    for item in response["changes"]:
        for path, value in item["values"].items():
            rows.append((item["version"], item["at"], item["team"], path, value))
    output.print_table(response, ("version", "at", "team", "path", "value"), rows)
    return ExitStatus.SUCCESS


def diff(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show what changed between two versions."""
    response = client.get(
        f"/v1/settings/history?path={escape(arguments.path)}&limit={HISTORY_LIMIT}"
    )
    oldest_version = min((item["version"] for item in response["changes"]), default=0)
    if arguments.old < oldest_version - 1:
        raise CommandError(
            f"history starts at version {oldest_version}; compare from "
            f"{oldest_version - 1} on",
            ExitStatus.NOT_FOUND,
        )
    value_by_path: dict[str, str | None] = {}
    for item in response["changes"]:
        if arguments.old < item["version"] <= arguments.new:
            value_by_path.update(item["values"])
    rows = []
    for path, value in sorted(value_by_path.items()):
        rows.append((path, "(removed)" if value is None else value))
    output.print_table(value_by_path, ("path", "value"), rows)
    return ExitStatus.SUCCESS


def report_accepted(
    response: dict, client: DaemonClient, output: Output, wait: bool
) -> None:
    """Print that a change is accepted and, with ``wait``, when it is in force."""
    if not output.as_json:
        output.print_line(f"version {response['version']} accepted")
    if not wait:
        if output.as_json:
            output.print_json(response)
        return
    status = wait_in_force(response["version"], client)
    if output.as_json:
        output.print_json(status)
        return
    if status["in_force_everywhere"]:
        count = len(status["in_force_on"])
        output.print_line(f"in force on all {count} instances")
        return
    unanswered = ", ".join(status["not_answered"])
    output.print_line(f"not answered: {unanswered}")
    output.print_line("these instances start no tasks until they apply the change")


def wait_in_force(version: int, client: DaemonClient) -> dict:
    """Wait until all instances have applied a version or can't start tasks.

    Returns
    -------
    dict
        The last response of the daemon.
    """
    while True:
        status = client.get(f"/v1/settings/force/{version}")
        if status["in_force_everywhere"] or status["starts_stopped_everywhere"]:
            return status
        time.sleep(POLL_PERIOD_S)
