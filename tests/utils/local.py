"""A daemon with stand-ins for the platform, workers and runners, over loopback HTTP."""

import contextlib
import dataclasses

import anyio

from flamingoweir.daemon._daemon import Daemon
from flamingoweir.daemon._standalone import Standins
from flamingoweir.settings import InstanceSettings, PlatformSettings, Settings
from flamingoweir.transport import HttpClient

HOST = "127.0.0.1"
#: Longest time in seconds for which requests go on after a check has failed.
REQUESTS_TIMEOUT_S = 20.0


class LocalSystem:
    """A running daemon and its stand-ins.

    Attributes
    ----------
    daemon : Daemon
        The daemon.
    standins : Standins
        The platform, workers and runners.
    address : str
        ``host:port`` of the daemon.
    client : HttpClient
        Client of that address, with 200 connections and a timeout of 20 s.
    """

    def __init__(self, daemon: Daemon, standins: Standins):
        self.daemon = daemon
        self.standins = standins
        self.address = f"{HOST}:{daemon.http.port}"
        self.client = HttpClient(self.address, 200, 20.0)


@contextlib.asynccontextmanager
async def run_local(**sections):
    """Run a daemon until the block ends; yield it once it owns its shard.

    Parameters
    ----------
    **sections
        Sections of the settings by name, such as ``requests``.
    """
    instance = InstanceSettings(http_port=0, peer_port=0, notice_s=0.0)
    settings = Settings(**{"instance": instance, **sections})
    async with anyio.create_task_group() as tasks:
        standins = Standins(instance.zone)
        await standins.start(tasks)
        platform = PlatformSettings(address=f"{HOST}:{standins.platform_port}")
        daemon = Daemon(dataclasses.replace(settings, platform=platform))
        await tasks.start(daemon.run)
        standins.instances.add(daemon.node.instance)
        local = LocalSystem(daemon, standins)
        while (
            daemon.node.not_ready_reason()
            or not daemon.node.shard_manager.owner_by_shard
        ):
            await anyio.sleep(0.01)
        try:
            yield local
        finally:
            await local.client.aclose()
            await wait_for_requests(local)
            tasks.cancel_scope.cancel()


async def wait_for_requests(local: LocalSystem) -> None:
    """Wait until the daemon and the stand-in runners have ended all requests.

    What is left of them when the event loop ends fails in whichever test runs as it is
    collected.
    """
    runners = local.standins.runner_by_name.values()
    with anyio.move_on_after(REQUESTS_TIMEOUT_S, shield=True):
        while local.daemon.node.router.in_flight or any(r.in_flight for r in runners):
            await anyio.sleep(0.01)
