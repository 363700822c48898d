"""Main function of the tool."""

import argparse
from collections.abc import Sequence

from ..environment import Environment
from ..exit_status import ExitStatus
from .client import CommandError, DaemonClient
from .definition import create_parser
from .output import Output

PROGRAM = "flamingoweir"
DEFAULT_ADDRESS = "127.0.0.1:8080"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run ``flamingoweir``.

    Parameters
    ----------
    args : sequence of str
        Arguments without the program's name.
    env : Environment
        Output streams and environment variables.

    Returns
    -------
    ExitStatus
        Exit status of the process.
    """
    arguments = create_parser().parse_args(args)
    client = _connect(arguments, env)
    output = Output(env, arguments.json)
    try:
        return arguments.run(arguments, client, output)
    except CommandError as error:
        env.print_error(PROGRAM, str(error))
        return error.status
    except KeyboardInterrupt:
        env.print_error(PROGRAM, "interrupted")
        return ExitStatus.INTERRUPTED


def _connect(arguments: argparse.Namespace, env: Environment) -> DaemonClient:
    address = arguments.address or env.variables.get(
        "FLAMINGOWEIR_ADDRESS", DEFAULT_ADDRESS
    )
    team = arguments.team or env.variables.get("FLAMINGOWEIR_TEAM", "default")
    return DaemonClient(address, team, arguments.timeout)
