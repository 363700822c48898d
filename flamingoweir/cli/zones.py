"""Commands about availability zones."""

import argparse
import uuid

from ..exit_status import ExitStatus
from .client import DaemonClient, escape
from .output import Output
from .settings import report_accepted


def set_zone(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """Take a zone out of service or bring it back."""
    change_id = arguments.id or f"change-{uuid.uuid4().hex}"
    zone = escape(arguments.zone)
    response = client.post(f"/v1/zones/{zone}/{arguments.state}?id={escape(change_id)}")
    report_accepted(response, client, output, arguments.wait)
    return ExitStatus.SUCCESS


def list_zones(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List zones."""
    response = client.get("/v1/zones")
    rows = [
        (item["zone"], item["state"], item["workers"]) for item in response["zones"]
    ]
    output.print_table(response, ("zone", "state", "workers"), rows)
    return ExitStatus.SUCCESS
