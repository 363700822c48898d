"""Entry point of the command-line tool."""

import sys

from .cli import main
from .environment import Environment


def run() -> None:
    """Run the command-line tool and exit with the status that it returns."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
