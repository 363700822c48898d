"""No body that a submitter sends ends one owner after the other.

A job that an owner can't handle is met again by the next owner of the shard. Each of
these bodies is one request; all other jobs would wait until somebody removes its row.
"""

import json
import time

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoweir.entry._schemas import JobRequest, parse
from flamingoweir.errors import ErrorCode, FlamingoweirError
from flamingoweir.jobs import Job, JobState, encode_spec
from flamingoweir.ownership import job_row
from flamingoweir.platform._ingress import JOB_ID
from tests.utils.cluster import Cluster, Member, make_job, make_step, run_cluster
from tests.utils.ingress import post_job
from tests.utils.virtual_time import run_virtual

#: Seconds of processor time for what takes milliseconds if done in one pass.
MAX_PROCESSOR_S = 1.0

WHOLE_NUMBERS = st.sampled_from([0, 1, 2, 3, 2000, 2**31, 2**63 - 1, 2**64 - 1, 2**64])
NUMBERS = WHOLE_NUMBERS | st.sampled_from([0.5, 1e-320, 1e308, 1e999])
TEXTS = st.sampled_from(["", "a", "rack-1", "\0", "é" * 300])
PHASES = st.fixed_dictionaries(
    {"Count": st.integers(0, 40)},
    optional={
        "Cpu": WHOLE_NUMBERS,
        "MemMb": WHOLE_NUMBERS,
        "Gpu": WHOLE_NUMBERS,
        "EstimateMs": NUMBERS,
        "After": st.lists(st.integers(-1, 3), max_size=4),
        "Checkpoint": st.booleans(),
        "Gang": st.booleans(),
        "SameRack": st.booleans(),
        "Requires": TEXTS,
        "DataRack": TEXTS,
        "Spread": WHOLE_NUMBERS,
        "Speculative": st.booleans(),
        "LongRunning": st.booleans(),
        "Image": TEXTS,
        "TargetMs": NUMBERS,
        "Fills": st.booleans(),
        "MayMiss": WHOLE_NUMBERS,
    },
)
BODIES = st.fixed_dictionaries(
    {"Phases": st.lists(PHASES, max_size=4)},
    optional={
        "Spec": TEXTS,
        "Times": st.integers(0, 9),
        "StartAtMs": WHOLE_NUMBERS,
        "IntervalMs": WHOLE_NUMBERS,
    },
)


def encode_body(body: dict) -> bytes:
    """Return a body as JSON, with numbers that `orjson` does not write."""
    return json.dumps(body).encode()


def one_phase(fields: str) -> bytes:
    more = f",{fields}" if fields else ""
    return b'{"Phases":[{"Count":1,"Cpu":1000%s}]}' % more.encode()


def make_chain(length: int) -> list[dict]:
    """Return the steps of a job in which each step waits for the one before it."""
    steps = [{"Count": 1, "Cpu": 100, "EstimateMs": 10}]
    for number in range(1, length):
        steps.append({**steps[0], "After": [number - 1]})
    return steps


async def find_other_member(cluster: Cluster) -> Member:
    """Return an instance that does not own the shard."""
    owner = await cluster.owner()
    return next(m for m in cluster.member_by_name.values() if m is not owner)


async def check_other_jobs(cluster: Cluster, count: int = 1) -> None:
    """Check that other jobs end, without a change of owner meanwhile."""
    owner = await cluster.owner()
    for number in range(count):
        job = await cluster.submit(make_job(900 + number, make_step(2)))
        await cluster.wait_for(job, JobState.DONE, 3.0)
    assert await cluster.owner() is owner
    assert owner.instance.term is not None
    assert not owner.instance.term.failed


@pytest.mark.parametrize(
    "fields",
    [
        '"EstimateMs":1e999',
        '"EstimateMs":Infinity',
        '"LongRunning":true,"TargetMs":1e999',
        '"MemMb":18446744073709551616',
    ],
    ids=["estimate", "infinity", "target", "memory"],
)
def test_number_that_cannot_be_stored_is_refused(fields):
    """An infinite number is stored as null, which an owner can't calculate with."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            member = await find_other_member(cluster)
            assert await post_job(cluster, member, 1, one_phase(fields)) == 400
            await check_other_jobs(cluster)

    run_virtual(scenario)


def test_stored_job_that_cannot_be_loaded_stops_no_other_job():
    """The row may have been written by an earlier version, which accepted the job."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            await cluster.owner()
            job = make_job(1, make_step(estimate_s=float("inf")))
            cluster.rows.put(job_row("s0", job.id), encode_spec(job))
            await anyio.sleep(1)
            await check_other_jobs(cluster)
            # The next owner reads the row when it restores the shard.
            cluster.kill_member(await cluster.owner())
            await anyio.sleep(2.55)
            job = await cluster.submit(make_job(2))
            await cluster.wait_for(job, JobState.DONE, 3.0)

    run_virtual(scenario)


def test_long_chain_of_steps_stops_no_other_job():
    """Each step of the chain takes a level of recursion in a naive search."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            member = await find_other_member(cluster)
            body = encode_body({"Phases": make_chain(1200)})
            assert await post_job(cluster, member, 1, body) == 200
            await check_other_jobs(cluster)

    run_virtual(scenario)


def test_long_chain_of_steps_runs():
    """An accepted job must not wait for ever because it has many steps."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            member = await find_other_member(cluster)
            body = encode_body({"Phases": make_chain(1200)})
            assert await post_job(cluster, member, 1, body) == 200
            await cluster.wait_for(
                cluster.spec_by_id[f"{1:016x}"], JobState.RUNNING, 2.0
            )

    run_virtual(scenario)


def test_steps_that_wait_for_all_earlier_ones_are_loaded_in_one_pass():
    """The number of chains doubles with each step; 60 steps fit in 11 KB.

    An owner that follows every chain holds up its process for good.
    """
    steps = [make_step(after=tuple(range(number))) for number in range(21)]
    started_s = time.process_time()
    job = Job(make_job(1, *steps))
    assert job.critical_paths_s == [float(21 - number) for number in range(21)]
    assert time.process_time() - started_s < MAX_PROCESSOR_S


def test_occurrences_that_are_due_at_once_are_opened_in_parts():
    """An owner keeps all tasks of open occurrences in memory.

    A small body could ask for more than a machine has, from owner after owner.
    """
    job = Job(
        make_job(1, make_step(100), occurrences=3_000, first_due_ms=1, interval_ms=0)
    )
    job.open_due(1000.0)
    assert sum(len(step.tasks) for step in job.run_by_step.values()) <= 100_000


def test_job_with_more_tasks_than_an_owner_holds_is_refused():
    """An owner keeps all tasks in memory; a task takes some 440 bytes there."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            member = await find_other_member(cluster)
            phases = [{"Count": 100_000, "Cpu": 100}] * 2
            body = encode_body({"Phases": phases})
            assert await post_job(cluster, member, 1, body) == 429

    run_virtual(scenario)


def test_id_with_upper_case_digits_is_an_id():
    """Guards against a submission that is answered as if its queue did not exist."""
    assert JOB_ID.fullmatch("5C0E7A21d94b36f8")
    assert not JOB_ID.fullmatch("5C0E7A21d94b36fg")
    assert not JOB_ID.fullmatch("5C0E7A21d94b36f")


def test_job_with_more_steps_than_an_owner_creates_in_one_go_is_refused():
    """A body of 262 KB has room for 20,000 steps, whose state takes 28 MB."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            member = await find_other_member(cluster)
            body = encode_body({"Phases": [{"Count": 1}] * 5_001})
            assert await post_job(cluster, member, 1, body) == 429
            await check_other_jobs(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("deadline", [b"nan", b"inf", b"1e12"])
def test_request_without_a_usable_deadline_ends(deadline):
    """Each such request would be tried anew for as long as the store is away."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            member = await find_other_member(cluster)
            member.store.down = True
            with anyio.fail_after(60.0):
                status = await post_job(cluster, member, 1, one_phase(""), deadline)
            assert status == 503

    run_virtual(scenario)


@pytest.mark.parametrize("number", ["1e999", "Infinity"])
def test_infinite_estimate_is_refused_for_operators_too(number):
    """A shard's owner that compares a missing estimate fails; so does the next one."""
    body = b'{"id":"rounds","zones":["powys"],"estimate_s":%s}' % number.encode()
    with pytest.raises(FlamingoweirError) as caught:
        parse(JobRequest, body)
    assert caught.value.code is ErrorCode.BAD_REQUEST


@given(st.lists(BODIES, min_size=1, max_size=4))
@settings(max_examples=40, derandomize=True, deadline=None)
def test_no_body_stops_other_jobs(bodies):
    """Guards against further values that end a term."""

    async def scenario():
        async with run_cluster(members=2, runners=6) as cluster:
            member = await find_other_member(cluster)
            for number, body in enumerate(bodies):
                await post_job(cluster, member, number, encode_body(body))
            await anyio.sleep(1.0)
            owner = await cluster.owner()
            await anyio.sleep(12.0)
            assert await cluster.owner() is owner
            assert not owner.instance.term.failed

    run_virtual(scenario)
