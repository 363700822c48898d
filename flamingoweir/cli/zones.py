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
    """Take a zone out or bring it back."""
    change_id = arguments.id or f"change-{uuid.uuid4().hex}"
    zone = escape(arguments.zone)
    answer = client.post(f"/v1/zones/{zone}/{arguments.state}?id={escape(change_id)}")
    report_accepted(answer, client, output, arguments.wait)
    return ExitStatus.SUCCESS


def list_zones(
    arguments: argparse.Namespace, client: DaemonClient, output: Output
) -> ExitStatus:
    """List zones."""
    answer = client.get("/v1/zones")
    rows = [(item["zone"], item["state"], item["workers"]) for item in answer["zones"]]
    output.print_table(answer, ("zone", "state", "workers"), rows)
    return ExitStatus.SUCCESS
