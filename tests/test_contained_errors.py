"""An unexpected error that concerns one runner or one job touches no other."""

import anyio
import pytest

from flamingoweir.jobs import JobState
from flamingoweir.standins import MemoryRunnerLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Seconds after which a runner with an error has lost its tasks, and a new one is done:
#: the lease of 4 s, the margin for a slow clock and a run of 1 s.
MAX_MOVE_S = 6.0


def fail_on(monkeypatch, method: str, runner_id: str, broken: list) -> None:
    """Let a method of the links to one runner raise while `broken` is not empty."""
    original = getattr(MemoryRunnerLink, method)

    async def fail(self, *args, **kwargs):
        if broken and self.runner.id == runner_id:
            raise RuntimeError(f"a fault in {method}")
        return await original(self, *args, **kwargs)

    monkeypatch.setattr(MemoryRunnerLink, method, fail)


@pytest.mark.parametrize("method", ["poll", "start", "stop", "set_pace"])
def test_error_in_a_call_to_one_runner_stops_no_other(monkeypatch, method):
    """Guards against a runner whose calls end the term of each owner."""
    broken = []
    fail_on(monkeypatch, method, "runner-0", broken)

    async def scenario():
        async with run_cluster(runners=3) as cluster:
            owner = await cluster.owner()
            term = owner.instance.term
            await anyio.sleep(1)
            broken.append(1)
            for number in range(1, 7):
                await cluster.submit(make_job(number, make_step(2)))
            cancelled = await cluster.submit(make_job(70, make_step(12, 0.1)))
            await anyio.sleep(0.4)
            await owner.instance.handler.cancel(cancelled.id, 2.0)
            for number in range(1, 7):
                await cluster.wait_for(make_job(number), JobState.DONE, 2 * MAX_MOVE_S)
            assert owner.instance.term is term
            assert not term.failed
            # A runner that nobody calls records its lapsed leases when it is asked.
            cluster.runner_by_id["runner-0"].advance()
            assert not cluster.find_overlaps()
            broken.clear()
            await anyio.sleep(MAX_MOVE_S)
            started = len([r for r in cluster.records("start") if r.runner[-1] == "0"])
            job = await cluster.submit(make_job(80, make_step(12)))
            await cluster.wait_for(job, JobState.DONE, 4.0)
            records = [r for r in cluster.records("start") if r.runner[-1] == "0"]
            assert len(records) > started, "the runner is used again"

    run_virtual(scenario)
