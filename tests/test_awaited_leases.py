"""What the log says of a task that waits until a lost runner's leases have lapsed."""

import io

import anyio
import pytest

from flamingoweir import logs
from flamingoweir.jobs import JobState
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual


@pytest.fixture
def log_lines():
    """Return a function that returns the lines logged so far with an event."""
    stream = io.StringIO()
    logs.configure(stream, "info")

    def find(event: str) -> list[str]:
        found = []
        for line in stream.getvalue().splitlines():
            if f" event={event} " in line:
                found.append(line)
        return found

    yield find
    logs.configure(io.StringIO(), "error")


@pytest.mark.parametrize("listed", [True, False], ids=["listed", "unlisted"])
@pytest.mark.parametrize("owner_dies", [True, False], ids=["owner-dies", "owner-lives"])
def test_log_names_each_task_that_waits_for_leases_and_until_when(
    log_lines, owner_dies, listed
):
    """Guards against a task that is away without a line that says what it waits for."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
            cluster.runner_by_id[runner_id].crash()
            if owner_dies:
                cluster.kill_member(await cluster.owner())
            if not listed:
                cluster.unlist_runner(runner_id)
            await anyio.sleep(20)
            (awaited,) = log_lines("leases_awaited")
            assert f"runner={runner_id}" in awaited
            assert f"tasks={job.id}.0.0.0#1" in awaited
            assert "lapse_in_s=" in awaited
            granter = "former_owner" if owner_dies else "this_owner"
            (lapsed,) = log_lines("leases_lapsed")
            for line in (awaited, lapsed):
                assert f"granted_by={granter}" in line

    run_virtual(scenario)
