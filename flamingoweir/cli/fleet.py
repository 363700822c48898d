"""Commands about workers, runners and entry instances."""

import argparse

from ..exit_status import ExitStatus
from .client import DaemonClient
from .output import Output


def list_instances(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List workers or runners."""
    response = client.get(f"/v1/fleet/{arguments.kind}")
    rows = []
    for item in response["instances"]:
        state = "leaving" if item["leaving"] else "live"
        rows.append((item["name"], item["zone"], item["rack"], state, _describe(item)))
    last = "service" if arguments.kind == "runners" else "capacity"
    output.print_table(response, ("name", "zone", "rack", "state", last), rows)
    return ExitStatus.SUCCESS


def list_peers(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List entry instances."""
    response = client.get("/v1/peers")
    rows = []
    for item in response["peers"]:
        state = "live" if item["reachable"] else "silent"
        if item["leaving"]:
            state = "leaving"
        shards = ", ".join(item["shards"])
        rows.append(
            (item["instance"], item["zone"], state, item["settings_version"], shards)
        )
    headings = ("instance", "zone", "state", "settings", "shards")
    output.print_table(response, headings, rows)
    return ExitStatus.SUCCESS


def dump(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Dump a daemon's state."""
    output.print_json(client.get("/v1/dump"))
    return ExitStatus.SUCCESS


def health(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Show whether a daemon is ready."""
    response = client.get("/v1/health")
    if output.as_json:
        output.print_json(response)
    else:
        output.print_line(f"ready, settings version {response['settings_version']}")
    return ExitStatus.SUCCESS


def _describe(item: dict) -> str:
    if item["service"]:
        return item["service"]
    capacity = item["capacity"]
    processors = capacity["processors_milli"] / 1000
    text = f"{processors:g} processors, {capacity['memory_mb']} MB"
    if capacity["accelerators"]:
        text += f", {capacity['accelerators']} accelerators"
    return text
