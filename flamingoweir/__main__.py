"""Runs the command-line tool."""

import sys

from .cli import main
from .environment import Environment


def run() -> None:
    """Run the tool and exit with its status."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
