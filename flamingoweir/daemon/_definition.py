"""Define the command line of ``flamingoweird``."""

import argparse

from .. import __version__


def create_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the daemon."""
    parser = argparse.ArgumentParser(
        prog="flamingoweird",
        description="Schedules services and batch jobs on shared workers.",
        epilog="Signals: TERM and INT shut down gracefully, a second one at once; "
        "HUP reads the log level again.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    settings = parser.add_argument_group("settings")
    settings.add_argument(
        "--settings", metavar="FILE", help="INI file; see docs/CONFIGURATION.md"
    )
    settings.add_argument(
        "--platform",
        action="store_true",
        help="run on the platform, with the settings file that it has written",
    )
    settings.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    alone = parser.add_argument_group("trying it out")
    alone.add_argument(
        "--standalone",
        action="store_true",
        help="run with embedded stand-ins for the platform, workers and runners",
    )
    alone.add_argument(
        "--demo",
        action="store_true",
        help="with --standalone: run a sample request and a sample job, then exit",
    )
    return parser
