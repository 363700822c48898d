"""Entry point of ``flamingoweird``."""

import sys

from ..environment import Environment
from ._main import main


def run() -> None:
    """Run the daemon and exit with its exit status."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    run()
