"""An operator's session with the command-line tool, compared with a snapshot.

The snapshot holds the output and the exit status of each command, so that changes of
texts and codes that operators see are noticed.
"""

import io
import re

import anyio
import anyio.to_thread

from flamingoweir.cli import main
from flamingoweir.environment import Environment
from tests.utils.local import run_local

SESSION = [
    "health",
    "zone list",
    "workers",
    "runners",
    "peers",
    "job submit --id rounds --zones zone-1 --tasks 3 --processors 2",
    "job submit --id rounds --zones zone-1 --tasks 3 --processors 2",
    "job submit --id rounds --zones zone-1 --tasks 4",
    "job submit --id giant --zones zone-1 --processors 500",
    "job submit --id lost --zones nowhere",
    "job submit --id bad --zones zone-1 --tasks 0",
    "job show rounds --wait-done",
    "job list",
    "--team other job cancel rounds",
    "job cancel rounds",
    "job show nothing",
    "explain rounds/0",
    "explain rounds",
    "settings get",
    "--team rounds settings set teams/rounds/notice early",
    "--team rounds settings set teams/rounds/notice late --expected 1",
    "--team rounds settings set teams/rounds/notice never --expected 1",
    "--team other settings set teams/rounds/notice mine",
    "--team operators settings set quotas/rounds/weight none",
    "--team rounds settings set quotas/rounds/weight 2",
    "--team rounds settings set teams/rounds/colour red",
    "--team rounds settings unset teams/rounds/notice",
    "settings get teams/rounds",
    "settings history",
    "settings diff 1 2",
    "--team shops service declare makers --instances zone-1=2 --processors 0.5",
    "--team shops service declare makers --instances zone-1",
    "service list",
    "zone out zone-1 --wait",
    "zone list",
    "job submit --id later --zones zone-1 --tasks 2",
    "zone in zone-1 --wait",
    "job show later --wait-done",
    "zone out zone-9",
    "--json zone list",
]
TIMESTAMP = re.compile(r"\d{4}-\d\d-\d\dT[0-9:+]+")


def run_command(address: str, line: str) -> str:
    """Run one command and return its output and exit status.

    ``--wait-done`` is not passed on: the command is first run with ``--watch`` until
    the job is done, and then once more.
    """
    words = line.split()
    wait = "--wait-done" in words
    if wait:
        words.remove("--wait-done")
        watch_env = Environment(io.StringIO(), io.StringIO(), {})
        main(["--address", address, *words, "--watch"], watch_env)
    env = Environment(io.StringIO(), io.StringIO(), {})
    status = main(["--address", address, *words], env)
    stdout = TIMESTAMP.sub("TIMESTAMP", env.stdout.getvalue())
    stderr = env.stderr.getvalue()
    return f"$ flamingoweir {' '.join(words)}\n{stdout}{stderr}exit {status.value}\n"


def test_operator_session(snapshot):
    """Output and exit statuses of the tool do not change unnoticed."""

    async def scenario() -> list[str]:
        shown = []
        async with run_local() as local:
            for line in SESSION:
                shown.append(
                    await anyio.to_thread.run_sync(run_command, local.address, line)
                )
        return shown

    assert "\n".join(anyio.run(scenario)) == snapshot
