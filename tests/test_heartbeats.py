"""A runner's heartbeat must not cost as much as all runners together."""

import anyio

from flamingoweir.fleet import Runner
from tests.utils.cluster import run_cluster
from tests.utils.virtual_time import run_virtual

RUNNERS = 60


def test_heartbeat_of_one_runner_updates_no_other_one(monkeypatch):
    """Guards against a cost of heartbeats times runners.

    246 runners write some 220 rows a second, most of which come one by one.
    Each of them took 1 ms for all runners, on a fast machine without other work.
    """
    updated = []
    setter = Runner.entry.fset

    def count(runner, entry):
        updated.append(runner.id)
        setter(runner, entry)

    async def scenario():
        async with run_cluster(members=1, runners=RUNNERS) as cluster:
            await cluster.owner()
            await anyio.sleep(2)
            monkeypatch.setattr(Runner, "entry", Runner.entry.setter(count))
            cluster.list_runner("runner-0")
            await anyio.sleep(0.1)
        assert set(updated) <= {"runner-0"}

    run_virtual(scenario)
