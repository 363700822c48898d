"""What is stored of lost runners, for later owners to blame tasks for their crashes."""

import itertools
from dataclasses import dataclass, field

import anyio
import pydantic
import pytest

from flamingoweir.fleet import RUNNER_LEASE_S
from flamingoweir.jobs import (
    JobState,
    StateRecord,
    Suspicion,
    TaskId,
    decode_state,
    encode_state,
)
from flamingoweir.ownership import state_row
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.crashes import CrashingTasks
from tests.utils.virtual_time import run_virtual

#: Smallest limit of a row in bytes.
ROW_BYTES = 64 * 1024
#: Most bytes of a runner's id, and of its machine's.
NAME_BYTES = 200


@dataclass(frozen=True, slots=True)
class FormerState:
    """State row as builds read it that know no suspicions."""

    state: JobState
    ended_ms: int
    blame: dict[str, int] = field(default_factory=dict)
    set_aside: bool = False
    closed: list[tuple[int, int]] = field(default_factory=list)


def make_suspicions(count: int, name_bytes: int = 10):
    """Return suspicions of as many runs, each on a runner of its own."""
    suspicion_by_run = {}
    for number in range(count):
        name = f"{number:0{name_bytes}}"
        suspicion = Suspicion(name, name, 1_700_000_000_000, 2, 1000.0 + number)
        suspicion_by_run[TaskId("job", 0, 0, number), number + 1] = suspicion
    return suspicion_by_run


def read_state(cluster, job) -> StateRecord:
    """Return what the store holds of a job's state."""
    row = cluster.rows.row_by_id[state_row("s0", job.id)]
    return decode_state(job.id, row.value)


def test_suspicions_are_read_as_they_were_written():
    """Guards against a machine, a run or a time that the next owner reads wrongly."""
    record = StateRecord(JobState.RUNNING, suspicion_by_run=make_suspicions(5))
    assert decode_state("job", encode_state(record)) == record


def test_state_rows_of_former_builds_are_read():
    """Guards against jobs that are excluded as their rows name no suspicions."""
    record = decode_state("job", b'{"state":"running","ended_ms":0,"blame":{}}')
    assert record == StateRecord(JobState.RUNNING)


def test_former_builds_read_rows_with_suspicions():
    """Guards against jobs that an instance of a former build excludes."""
    data = encode_state(
        StateRecord(JobState.RUNNING, suspicion_by_run=make_suspicions(5))
    )
    former = pydantic.TypeAdapter(FormerState).validate_json(data, strict=True)
    assert former == FormerState(JobState.RUNNING, 0)


def test_suspicions_take_at_most_half_of_a_row():
    """Guards against a state row that the store rejects; the latest are kept."""
    suspicion_by_run = make_suspicions(5000, NAME_BYTES)
    data = encode_state(
        StateRecord(JobState.RUNNING, suspicion_by_run=suspicion_by_run)
    )
    assert len(data) <= ROW_BYTES / 2
    kept = decode_state("job", data).suspicion_by_run
    assert kept.items() <= suspicion_by_run.items()
    assert min(s.until_s for s in kept.values()) > 1000.0 + 5000 - 1 - len(kept)


@pytest.mark.parametrize("kill", [False, True], ids=["same_owner", "next_owner"])
def test_task_is_not_suspected_once_its_runner_responds_again(kill):
    """Guards against blame for a runner that was cut off and crashes much later."""

    async def scenario():
        async with run_cluster(members=2, runners=3) as cluster:
            crashing = CrashingTasks(cluster, set())
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            task = f"{job.id}.0.0.0"
            while not cluster.starts(task):
                await anyio.sleep(0.01)
            (runner_id,) = cluster.starts(task)
            owner.link_by_runner[runner_id].disconnected = True
            await anyio.sleep(3)
            assert len(read_state(cluster, job).suspicion_by_run) == 1
            if kill:
                cluster.kill_member(owner)
            else:
                owner.link_by_runner[runner_id].disconnected = False
            await anyio.sleep(4)
            assert not read_state(cluster, job).suspicion_by_run
            crashing.crash(cluster.runner_by_id[runner_id])
            await anyio.sleep(10)
            assert not read_state(cluster, job).blame_by_task
            assert await cluster.state(job) is JobState.RUNNING
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize("silent", [False, True], ids=["closes", "silent"])
def test_suspected_task_is_away_for_no_longer_than_a_full_lease(silent):
    """Guards against a task that waits for machines that don't come back."""

    async def scenario():
        async with run_cluster(members=1, runners=6) as cluster:
            job = make_job(1, make_step(1, lasting=True))
            task = f"{job.id}.0.0.0"
            crashing = CrashingTasks(cluster, {task}, down_s=100.0, silent=silent)
            cluster.tasks.start_soon(crashing.run)
            await cluster.owner()
            await anyio.sleep(1)
            await cluster.submit(job)
            await anyio.sleep(20)
            starts = [r.at_s for r in cluster.records("start") if str(r.task) == task]
            gaps_s = [later - at for at, later in itertools.pairwise(starts)]
            assert len(gaps_s) >= 3
            # A call that times out takes half a second.
            assert max(gaps_s) < RUNNER_LEASE_S + 1.0

    run_virtual(scenario)


@pytest.mark.parametrize("kill", [False, True], ids=["same_owner", "next_owner"])
def test_planned_restart_of_a_runner_that_is_cut_off_blames_nothing(kill):
    """Guards against a job that is given up for runners that drained in order.

    The owner can't reach them when they announce it.
    """

    async def scenario():
        async with run_cluster(members=4, runners=6) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
            task = f"{job.id}.0.0.0"
            for restart in range(1, 3):
                while len(cluster.starts(task)) < restart:
                    await anyio.sleep(0.01)
                runner = cluster.runner_by_id[cluster.starts(task)[-1]]
                for member in cluster.member_by_name.values():
                    if runner.id in member.link_by_runner:
                        member.link_by_runner[runner.id].disconnected = True
                cluster.sole_member_by_runner[runner.id] = "nobody"
                await anyio.sleep(2)
                cluster.list_runner(runner.id, state="draining")
                await anyio.sleep(0.5)
                if kill:
                    cluster.kill_member(await cluster.owner())
                runner.crash()
                cluster.unlist_runner(runner.id)
                await anyio.sleep(1)
                address = cluster.address_by_runner[runner.id]
                returned = cluster.add_runner(f"{runner.id}+", address=address)
                returned.incarnation = runner.incarnation + 1
                cluster.list_runner(returned.id)
            await anyio.sleep(15)
            assert not read_state(cluster, job).blame_by_task
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)
