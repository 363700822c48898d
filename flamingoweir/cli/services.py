"""Commands about services."""

import argparse

import orjson

from ..exit_status import ExitStatus
from .client import CommandError, DaemonClient
from .output import Output


def declare(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Declare or change a service."""
    value = {
        "instances_by_zone": _parse_instances(arguments.instances),
        "processors": arguments.processors,
        "memory_mb": arguments.memory_mb,
        "accelerators": arguments.accelerators,
        "latency_target_ms": arguments.latency_target_ms,
    }
    return _change(arguments, client, output, orjson.dumps(value).decode())


def remove(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Stop running a service."""
    return _change(arguments, client, output, None)


def list_services(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List services."""
    response = client.get("/v1/services")
    rows = []
    for item in response["services"]:
        service = item["service"]
        zones = ", ".join(
            f"{zone}={count}" for zone, count in service["instances_by_zone"].items()
        )
        rows.append((service["name"], service["team"], zones, item["runners"]))
    output.print_table(response, ("service", "team", "instances", "runners"), rows)
    return ExitStatus.SUCCESS


def _change(
    arguments: argparse.Namespace,
    client: DaemonClient,
    output: Output,
    value: str | None,
) -> ExitStatus:
    path = f"teams/{client.team}/services/{arguments.name}"
    response = client.post("/v1/settings", {"values": {path: value}})
    if output.as_json:
        output.print_json(response)
    else:
        output.print_line(f"version {response['version']} accepted")
    return ExitStatus.SUCCESS


def _parse_instances(text: str) -> dict[str, int]:
    count_by_zone = {}
    for item in text.split(","):
        zone, _, count = item.partition("=")
        if not zone or not count.isdigit():
            raise CommandError(
                f"{item!r} is not ZONE=N; write --instances powys=2,gwynedd=1",
                ExitStatus.USAGE,
            )
        count_by_zone[zone] = int(count)
    return count_by_zone
