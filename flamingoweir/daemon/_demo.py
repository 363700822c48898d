"""Demonstrate a caller's request and an operator's job, from end to end."""

from typing import TYPE_CHECKING

import anyio
import anyio.to_thread

from ..cli import main as run_tool
from ..environment import Environment
from ..exit_status import ExitStatus
from ..transport import HttpClient

if TYPE_CHECKING:
    from ._daemon import Daemon

#: Id of the sample job.
DEMO_JOB = "leaf-rounds"
#: Seconds within which the daemon must become ready and own a shard.
READY_TIMEOUT_S = 30.0


async def run_demo(daemon: "Daemon", env: Environment, service: str) -> ExitStatus:
    """Run the demonstration against a started daemon, then shut it down.

    Parameters
    ----------
    daemon : Daemon
        A daemon whose ports listen.
    env : Environment
        Streams; commands and their output go to standard output.
    service : str
        The service that gets the sample request.

    Returns
    -------
    ExitStatus
        Status of the first command that failed, otherwise ``SUCCESS``.

    Raises
    ------
    TimeoutError
        If the daemon is not ready, or owns no shard, within `READY_TIMEOUT_S`.
    """
    address = f"127.0.0.1:{daemon.http.port}"
    with anyio.fail_after(READY_TIMEOUT_S):
        while (
            daemon.node.not_ready_reason()
            or not daemon.node.shard_manager.owner_by_shard
        ):
            await anyio.sleep(0.05)
    await _call_service(address, service, env)
    commands = [
        [
            "job",
            "submit",
            "--id",
            DEMO_JOB,
            "--tasks",
            "12",
            "--zones",
            daemon.node.instance.zone,
        ],
        ["job", "show", DEMO_JOB, "--watch"],
        ["workers"],
        ["dump"],
    ]
    exit_status = ExitStatus.SUCCESS
    for command in commands:
        print(f"\n$ flamingoweir {' '.join(command)}", file=env.stdout)
        arguments = ["--address", address, *command]
        command_status = await anyio.to_thread.run_sync(run_tool, arguments, env)
        exit_status = exit_status or command_status
    await daemon.shut_down()
    return ExitStatus(exit_status)


async def _call_service(address: str, service: str, env: Environment) -> None:
    client = HttpClient(address, 1, 10.0)
    response = await client.call(
        "POST", f"/call/{service}/price", b'{"maker": "Jivabhai", "pairs": 2}'
    )
    await client.aclose()
    print(f"$ POST /call/{service}/price", file=env.stdout)
    print(f"{response.status} {response.body.decode()}", file=env.stdout)
