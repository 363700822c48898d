"""A task that crashes each worker that starts it takes down few of them.

Such a task was started again on the next worker without end, and every crash ended the
attempts of all other tasks on that worker.
"""

import anyio
import pytest

from tests.utils.builders import make_resources, make_spec, make_timings
from tests.utils.fleet import Fleet
from tests.utils.virtual_time import run_virtual

MAX_CRASHES = 3
#: Seconds from the start of a deadly task until its worker crashes.
CRASH_AFTER_S = 0.5


async def crash_workers(fleet: Fleet, job: str, crashed: list[str]) -> None:
    """Restart each worker soon after it has started a task of a job."""
    seen = {name: 0 for name in fleet.worker_by_name}
    while True:
        for name, worker in fleet.worker_by_name.items():
            records, seen[name] = worker.records[seen[name] :], len(worker.records)
            for record in records:
                if record.kind != "start" or not record.task.startswith(f"{job}/"):
                    continue
                await anyio.sleep(CRASH_AFTER_S)
                fleet.restart_worker(name)
                crashed.append(name)
        await anyio.sleep(0.05)


async def wait_for_end(fleet: Fleet, job: str, timeout_s: float) -> str:
    """Return the final state of a job; "" if it has none in time."""
    until_s = anyio.current_time() + timeout_s
    while anyio.current_time() < until_s:
        status = await fleet.live_nodes()[0].handler.jobs.show(job)
        if status.state in ("done", "failed", "cancelled"):
            return status.state
        await anyio.sleep(0.5)
    return ""


async def run_deadly_job(workers: int) -> tuple[list[str], str, str]:
    """Run a deadly task beside others; return the crashes and the jobs' ends."""
    crashed: list[str] = []
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, ("gwynedd",), 2, workers, 0, make_timings())
        fleet.start()
        tasks.start_soon(crash_workers, fleet, "deadly", crashed)
        await anyio.sleep(3.0)
        jobs = fleet.live_nodes()[0].handler.jobs
        # All fit on one worker, so that they may share each crash.
        for name, count in (("rounds", 3), ("deadly", 1)):
            spec = make_spec(
                id=name,
                tasks=count,
                needs=make_resources(1),
                zones=["gwynedd"],
                job_class="run-9",
            )
            await jobs.submit(spec)
        deadly = await wait_for_end(fleet, "deadly", 120.0)
        rounds = await wait_for_end(fleet, "rounds", 120.0)
        tasks.cancel_scope.cancel()
    return crashed, deadly, rounds


@pytest.mark.parametrize("workers", [1, 4])
def test_task_that_crashes_its_workers_is_given_up(workers):
    """The other tasks end well, also if they share each crash on the only worker."""
    crashed, deadly, rounds = run_virtual(run_deadly_job, workers)
    assert len(crashed) <= MAX_CRASHES
    assert deadly == "failed"
    assert rounds == "done"


async def run_through_faults(kind: str) -> str:
    """Run a job of one task, whose worker fails five times; return the job's end."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, ("gwynedd",), 2, 4, 0, make_timings())
        fleet.start()
        await anyio.sleep(3.0)
        spec = make_spec(
            id="rounds", tasks=1, zones=["gwynedd"], job_class="run-60", retries=0
        )
        await fleet.live_nodes()[0].handler.jobs.submit(spec)
        for _ in range(5):
            name = await find_running(fleet)
            if kind == "cut":
                await anyio.sleep(0.5)
                fleet.disconnect_worker(name, anyio.current_time() + 40.0)
                await anyio.sleep(40.0)
                fleet.reconnect_worker(name)
                continue
            await anyio.sleep(15.0)
            fleet.restart_worker(name)
            await anyio.sleep(1.0)
        state = await wait_for_end(fleet, "rounds", 300.0)
        tasks.cancel_scope.cancel()
    return state


async def find_running(fleet: Fleet) -> str:
    """Wait until a worker runs the only task; return the worker's name."""
    while True:
        for name, worker in fleet.worker_by_name.items():
            if worker.records and worker.records[-1].kind == "start":
                return name
        await anyio.sleep(0.1)


def test_task_whose_workers_are_cut_off_is_not_given_up():
    """A cut link is no sign of a crash."""
    assert run_virtual(run_through_faults, "cut") == "done"


def test_task_whose_workers_crash_long_after_its_start_is_not_given_up():
    """Long tasks meet crashes that they don't cause."""
    assert run_virtual(run_through_faults, "late") == "done"
