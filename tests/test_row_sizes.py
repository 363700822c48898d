"""Rows stay within the size that the store accepts, whatever jobs and fleets are like.

The store refuses a larger row for good, and with it all else in its transaction.
"""

import random
import string

import anyio
import orjson
import pytest

from flamingoweir.errors import ErrorCode, FlamingoweirError
from flamingoweir.jobs import (
    MAX_BLAMED_TASKS,
    MAX_SUSPECTED_RUNS,
    TASKS_PER_ROW,
    Job,
    JobState,
    Outcome,
    StateRecord,
    Suspicion,
    TaskId,
    decode_spec,
    decode_state,
    encode_spec,
    encode_state,
    encode_tasks,
    restore_tasks,
)
from flamingoweir.ownership import (
    Backlog,
    OwnerRecord,
    decode_owner_record,
    owner_row,
    state_row,
)
from flamingoweir.ownership._owner_record import encode_owner_record, fit_owner_record
from flamingoweir.storage import DEFAULT_MAX_ROW_BYTES, VersionedRow
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

#: Largest number of tasks of a step.
MAX_TASKS = 100_000
#: Most bytes of an id; as JSON, a character may take six.
ID_BYTES = 200
ODD_ID = ID_BYTES * "\x01"


def make_id(generator: random.Random) -> str:
    """Return an id as long as the store allows that hardly can be compressed."""
    return "".join(generator.choices(string.printable[:94], k=ID_BYTES))


def test_loss_of_a_zone_makes_a_state_row_too_large_for_the_store():
    """Guards against a row that no owner can write after a mass loss (review/11).

    The owner is lost with the runners, so that the next one suspects all tasks there.
    """

    async def scenario():
        async with run_cluster(members=2, runners=0) as cluster:
            for number in range(4):
                cluster.add_runner(f"runner-{number}", 1000)
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(3600, lasting=True)))
            while not cluster.starts(f"{job.id}.0.0.3599"):
                await anyio.sleep(0.1)
            await anyio.sleep(0.5)
            cluster.kill_member(owner)
            for number in range(3):
                cluster.runner_by_id[f"runner-{number}"].crash()
            await anyio.sleep(1.2)
            for number in range(3):
                cluster.runner_by_id[f"runner-{number}"].restart()
                cluster.list_runner(f"runner-{number}")
            blamed = 0
            for _ in range(100):
                await anyio.sleep(0.1)
                row = cluster.rows.row_by_id[state_row("s0", job.id)]
                blamed = max(blamed, len(decode_state(job.id, row.value).blame_by_task))
            other = await cluster.submit(make_job(2))
            await cluster.wait_for(other, JobState.DONE, 5.0)
            assert blamed
            assert await cluster.state(job) is JobState.RUNNING

    run_virtual(scenario)


@pytest.mark.parametrize("name", [ID_BYTES * "n", ODD_ID])
def test_state_row_of_a_job_whose_tasks_are_all_blamed(name):
    """Guards against a state row that grows with the tasks of a job.

    The most blame and the latest suspicions are kept. One task is blamed twice.
    """
    job = Job(make_job(1, make_step(MAX_TASKS)))
    job.blame_task(TaskId(job.spec.id, 0, 0, 7), 1)
    for index in range(MAX_TASKS):
        task = TaskId(job.spec.id, 0, 0, index)
        job.blame_task(task, 1)
        runner = f"{index:05}{name[5:]}"
        job.suspect(task, 1, Suspicion(runner, name, 2**53, 2, float(index)))
    blame = job.crash_blame
    assert len(blame.blame_by_task) == MAX_BLAMED_TASKS
    assert len(blame.suspicion_by_run) == MAX_SUSPECTED_RUNS
    record = StateRecord(
        JobState.RUNNING,
        blame_by_task=blame.blame_by_task,
        suspicion_by_run=blame.suspicion_by_run,
        closed_occurrences=[(2**60 + 2 * n, 2**60 + 2 * n + 1) for n in range(600)],
        customer=ODD_ID,
    )
    data = encode_state(record)
    assert len(data) <= DEFAULT_MAX_ROW_BYTES
    kept = decode_state(job.spec.id, data)
    assert kept.blame_by_task[TaskId(job.spec.id, 0, 0, 7)] == 2
    assert (TaskId(job.spec.id, 0, 0, MAX_TASKS - 1), 1) in kept.suspicion_by_run
    assert kept.closed_occurrences == record.closed_occurrences


def test_blame_that_is_dropped_is_the_least():
    """Guards against a task that is never given up, as others push its blame out."""
    job = Job(make_job(1, make_step(MAX_TASKS)))
    crashing = TaskId(job.spec.id, 0, 0, MAX_TASKS - 1)
    assert not job.blame_task(crashing, 2)
    for index in range(2 * MAX_BLAMED_TASKS):
        assert not job.blame_task(TaskId(job.spec.id, 0, 0, index), 1)
    assert job.blame_task(crashing, 2)
    assert job.state is JobState.FAILED


def test_closed_occurrences_between_open_ones_have_room_in_a_state_row():
    """Guards against a state row that grows with the occurrences of a scheduled job."""
    spec = make_job(1, occurrences=5000, interval_ms=1)
    job = Job(spec)
    job.open_due(float(spec.due_ms(4999)), 10**6)
    for occurrence in range(1, 5000, 2):
        step = job.run_by_step[occurrence, 0]
        attempt = job.start(step, 0, "runner-0", 1, 0.0)
        job.end(attempt.task, attempt.run, Outcome.DONE, "")
    job.close(job.choose_closing())
    assert 0 < len(job.closed_occurrences) < 2500
    record = StateRecord(
        JobState.RUNNING, closed_occurrences=job.closed_occurrences.ranges
    )
    assert len(encode_state(record)) <= DEFAULT_MAX_ROW_BYTES / 2
    for occurrence in range(0, 5000, 2):
        step = job.run_by_step[occurrence, 0]
        attempt = job.start(step, 0, "runner-0", 1, 0.0)
        job.end(attempt.task, attempt.run, Outcome.DONE, "")
    job.close(job.choose_closing())
    assert len(job.closed_occurrences) == 5000


@pytest.mark.parametrize("attempts, saved_bytes", [(1, 80), (6, 0), (1, 3000)])
def test_row_of_tasks_with_the_longest_ids_and_checkpoints(attempts, saved_bytes):
    """Guards against a row of tasks that the store refuses; no attempt is left out."""
    generator = random.Random(1)
    job = Job(make_job(1, make_step(TASKS_PER_ROW, checkpoints=True)))
    step = job.run_by_step[0, 0]
    names = [make_id(generator) for _ in range(40 if attempts > 1 else TASKS_PER_ROW)]
    for index in range(TASKS_PER_ROW):
        task = step.tasks[index]
        task.checkpoint = generator.randbytes(saved_bytes // 2).hex()
        for run in range(1, attempts + 1):
            name = names[(index + run) % len(names)]
            job.restore_attempt(step, index, run, name, 1_700_000_000_000 + index)
    data = encode_tasks(job, (0, 0, 0))
    assert len(data) <= DEFAULT_MAX_ROW_BYTES
    restored = Job(job.spec)
    restore_tasks(restored, (0, 0, 0), data)
    kept_count = 0
    for index in range(TASKS_PER_ROW):
        task, found = step.tasks[index], restored.run_by_step[0, 0].tasks[index]
        assert found.attempt_by_run.keys() == task.attempt_by_run.keys()
        assert found.checkpoint in ("", task.checkpoint)
        kept_count += bool(found.checkpoint)
    assert kept_count == (TASKS_PER_ROW if saved_bytes == 80 else kept_count)


@pytest.mark.parametrize("compressible", [True, False])
def test_job_that_has_no_room_in_a_row_is_refused_at_once(compressible):
    """Guards against a submission that the store refuses again and again."""
    text = 150_000 * "t" if compressible else random.Random(1).randbytes(60_000).hex()

    async def scenario():
        async with run_cluster() as cluster:
            owner = await cluster.owner()
            job = make_job(1)
            job = type(job)(job.id, job.queue, text, job.steps, job.policy)
            if compressible:
                assert decode_spec(encode_spec(job)) == job
                await cluster.submit(job)
                await cluster.wait_for(job, JobState.DONE, 5.0)
                return
            began_s = anyio.current_time()
            with pytest.raises(FlamingoweirError) as caught:
                await owner.instance.handler.submit(job, 5.0)
            assert caught.value.code is ErrorCode.BODY_TOO_LARGE
            assert anyio.current_time() - began_s < 0.1

    run_virtual(scenario)


def test_owner_row_with_the_longest_names_errs_to_the_safe_side():
    """Guards against an owner that can write nothing, as its own row is too large."""
    names = [f"{number:03}{ODD_ID[3:]}" for number in range(150)]
    record = OwnerRecord(
        "one",
        "one/1",
        7,
        backlog=Backlog(dict.fromkeys(names[:20], 3)),
        leases_end_in_s=7.2,
        leases_end_in_s_by_runner=dict.fromkeys(names, 21.5),
        late_starts_end_in_s_by_runner=dict.fromkeys(names[:20], 9.5),
        late_run_hashes="x" * 4000,
        unanswered_starts_end_in_s_by_runner=dict.fromkeys(names[:20], 14.5),
        bound_tasks=dict.fromkeys(names[:20], [("hash", 14.0, 2.5)]),
        missing_s_by_runner=dict.fromkeys(names[:40], 1.5),
    )
    value, left_out = fit_owner_record(record, DEFAULT_MAX_ROW_BYTES)
    assert len(value) <= DEFAULT_MAX_ROW_BYTES < len(encode_owner_record(record))
    found = decode_owner_record(VersionedRow(owner_row("s0"), value, 1))
    assert found.number == 7
    assert found.leases_end_in_s == 21.5
    assert found.late_starts_end_in_s_by_runner is None
    assert found.unanswered_starts_end_in_s_by_runner == {"": 14.5}
    assert found.bound_tasks == {"": [("", 14.0, 2.5)]}
    assert "backlog" not in left_out
    small = OwnerRecord("one", "one/1", 7, late_run_hashes="x")
    value, left_out = fit_owner_record(small, DEFAULT_MAX_ROW_BYTES)
    assert value == encode_owner_record(small)
    assert left_out == ()
    assert orjson.loads(value)["late_run_hashes"] == "x"
