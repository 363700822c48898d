"""Run the daemon from its command line."""

import argparse
from collections.abc import Sequence

import anyio

from .. import logs
from ..environment import Environment
from ..exit_status import ExitStatus
from ..settings import SettingsError
from ._definition import create_parser
from ._settings import load_daemon_settings

PROGRAM = "flamingoweird"


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run ``flamingoweird``.

    Parameters
    ----------
    args : sequence of str
        Arguments without the program's name.
    env : Environment
        Streams and variables.

    Returns
    -------
    ExitStatus
        Exit status of the process.
    """
    arguments = create_parser().parse_args(args)
    if arguments.platform:
        from ._platform_main import main as run_on_platform

        return run_on_platform(env)
    return _run_with_settings_file(arguments, env)


def _run_with_settings_file(
    arguments: argparse.Namespace, env: Environment
) -> ExitStatus:
    if arguments.demo and not arguments.standalone:
        env.print_error(PROGRAM, "--demo needs --standalone")
        return ExitStatus.USAGE
    try:
        settings = load_daemon_settings(arguments.settings, arguments.standalone)
    except SettingsError as error:
        env.print_error(PROGRAM, str(error))
        return ExitStatus.SETTINGS
    if arguments.check:
        print("settings are fine", file=env.stdout)
        return ExitStatus.SUCCESS
    logs.configure(env.stderr, settings.instance.log_level)
    if arguments.standalone:
        from ._standalone import run_standalone

        return anyio.run(run_standalone, settings, env, arguments.demo)
    from ._daemon import run_daemon

    return anyio.run(run_daemon, settings, env, arguments.settings)
