"""Definition of the commands and arguments of ``flamingoweir``."""

import argparse

from .. import __version__
from . import fleet, jobs, services, settings, zones

EPILOG = """\
examples:
  flamingoweir job submit --zones powys,gwynedd --tasks 40 --processors 2
  flamingoweir job show job-3f2a --watch
  flamingoweir zone out powys --wait
  flamingoweir --team rounds settings set teams/rounds/notice "late start"
"""


def create_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the tool."""
    parser = argparse.ArgumentParser(
        prog="flamingoweir",
        description="Submits jobs, changes settings and shows what the fleet does.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    _add_connection(parser)
    _add_output(parser)
    commands = parser.add_subparsers(
        title="commands", dest="command", metavar="COMMAND", required=True
    )
    _add_jobs(commands)
    _add_services(commands)
    _add_zones(commands)
    _add_settings(commands)
    _add_fleet(commands)
    return parser


def _add_connection(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("connection")
    group.add_argument(
        "--address",
        metavar="HOST:PORT",
        help="daemon to call; default: $FLAMINGOWEIR_ADDRESS or 127.0.0.1:8080",
    )
    group.add_argument(
        "--team",
        help="team to act for; default: $FLAMINGOWEIR_TEAM or 'default'",
    )
    group.add_argument(
        "--timeout",
        type=float,
        default=30.0,
        metavar="SECONDS",
        help="how long one call may take (default: %(default)s)",
    )


def _add_output(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("output")
    group.add_argument(
        "--json", action="store_true", help="print JSON instead of tables"
    )


def _add_jobs(commands) -> None:
    job = commands.add_parser("job", help="submit, show, list and cancel jobs")
    actions = job.add_subparsers(metavar="ACTION", required=True)
    submit = actions.add_parser("submit", help="submit a batch job")
    submit.set_defaults(run=jobs.submit)
    submit.add_argument("--id", help="repeat a submission with the same id safely")
    submit.add_argument(
        "--zones",
        required=True,
        metavar="ZONE,...",
        help="availability zones where the job may run",
    )
    needs = submit.add_argument_group("needs of one task")
    needs.add_argument("--processors", type=float, default=1.0)
    needs.add_argument("--memory-mb", type=int, default=0)
    needs.add_argument("--accelerators", type=int, default=0)
    work = submit.add_argument_group("work")
    work.add_argument("--tasks", type=int, default=1, help="number of equal tasks")
    work.add_argument(
        "--class",
        dest="job_class",
        default="default",
        help="class for which run times and interference are learnt",
    )
    work.add_argument(
        "--estimate",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="estimated run time",
    )
    work.add_argument(
        "--retries", type=int, default=3, help="new attempts of a task after failures"
    )
    order = submit.add_argument_group("order")
    order.add_argument(
        "--priority",
        type=int,
        default=0,
        help="jobs with a higher priority start first",
    )
    order.add_argument(
        "--urgent", action="store_true", help="allow the job to evict other batch work"
    )
    show = actions.add_parser("show", help="show the state of a job")
    show.set_defaults(run=jobs.show)
    show.add_argument("job")
    _add_watch(show, "until the job has ended")
    list_ = actions.add_parser("list", help="list declared jobs")
    list_.set_defaults(run=jobs.list_jobs)
    list_.add_argument("--all-teams", action="store_true")
    list_.add_argument("--after", default="", metavar="JOB", help="start after JOB")
    list_.add_argument("--limit", type=int, default=100)
    cancel = actions.add_parser("cancel", help="cancel a job")
    cancel.set_defaults(run=jobs.cancel)
    cancel.add_argument("job")
    explain = commands.add_parser(
        "explain", help="show why a task waits or where it runs"
    )
    explain.set_defaults(run=jobs.explain)
    explain.add_argument("task", metavar="JOB/INDEX")


def _add_services(commands) -> None:
    service = commands.add_parser("service", help="declare and show services")
    actions = service.add_subparsers(metavar="ACTION", required=True)
    declare = actions.add_parser("declare", help="declare or change a service")
    declare.set_defaults(run=services.declare)
    declare.add_argument("name")
    declare.add_argument(
        "--instances",
        required=True,
        metavar="ZONE=N,...",
        help="tasks wanted in each zone",
    )
    declare.add_argument("--processors", type=float, default=1.0)
    declare.add_argument("--memory-mb", type=int, default=0)
    declare.add_argument("--accelerators", type=int, default=0)
    declare.add_argument(
        "--latency-target-ms", type=float, default=0.0, help="tail latency to keep"
    )
    remove = actions.add_parser("remove", help="stop running a service")
    remove.set_defaults(run=services.remove)
    remove.add_argument("name")
    list_ = actions.add_parser("list", help="list services")
    list_.set_defaults(run=services.list_services)


def _add_zones(commands) -> None:
    zone = commands.add_parser(
        "zone", help="take zones out of service and bring them back"
    )
    actions = zone.add_subparsers(metavar="ACTION", required=True)
    for state, text in (
        ("out", "take a zone out of service"),
        ("in", "bring a zone back"),
    ):
        action = actions.add_parser(state, help=text)
        action.set_defaults(run=zones.set_zone, state=state)
        action.add_argument("zone")
        action.add_argument("--id", help="repeat the change with the same id safely")
        action.add_argument(
            "--wait",
            "--watch",
            dest="wait",
            action="store_true",
            help="wait until the change is in force everywhere, and list the instances "
            "that have not answered",
        )
    list_ = actions.add_parser("list", help="list zones")
    list_.set_defaults(run=zones.list_zones)


def _add_settings(commands) -> None:
    tree = commands.add_parser("settings", help="read and change the settings tree")
    actions = tree.add_subparsers(metavar="ACTION", required=True)
    get = actions.add_parser("get", help="show values")
    get.set_defaults(run=settings.get)
    get.add_argument("path", nargs="?", default="")
    set_ = actions.add_parser("set", help="change a value")
    set_.set_defaults(run=settings.change)
    set_.add_argument("path")
    set_.add_argument("value")
    _add_change(set_)
    unset = actions.add_parser("unset", help="remove a value")
    unset.set_defaults(run=settings.change, value=None)
    unset.add_argument("path")
    _add_change(unset)
    history = actions.add_parser("history", help="show the latest changes")
    history.set_defaults(run=settings.history)
    history.add_argument("path", nargs="?", default="")
    history.add_argument("--limit", type=int, default=20)
    diff = actions.add_parser("diff", help="compare two versions below a path")
    diff.set_defaults(run=settings.diff)
    diff.add_argument("old", type=int)
    diff.add_argument("new", type=int)
    diff.add_argument("path", nargs="?", default="")


def _add_change(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--id", help="repeat the change with the same id safely")
    parser.add_argument(
        "--expected",
        type=int,
        metavar="VERSION",
        help="refuse the change if the branch is not at this version",
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until the change is in force everywhere",
    )


def _add_fleet(commands) -> None:
    for kind in ("workers", "runners"):
        parser = commands.add_parser(kind, help=f"list {kind}")
        parser.set_defaults(run=fleet.list_instances, kind=kind)
    peers = commands.add_parser("peers", help="list entry instances")
    peers.set_defaults(run=fleet.list_peers)
    dump = commands.add_parser("dump", help="dump a daemon's state as JSON")
    dump.set_defaults(run=fleet.dump)
    health = commands.add_parser("health", help="show whether a daemon is ready")
    health.set_defaults(run=fleet.health)


def _add_watch(parser: argparse.ArgumentParser, until: str) -> None:
    parser.add_argument(
        "--watch", action="store_true", help=f"show each new state {until}"
    )
