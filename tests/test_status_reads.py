"""Answers to submitters who ask for the state of an accepted job."""

import random

import anyio
import pytest

from flamingoweir import transport
from flamingoweir.jobs import JobState
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import state_row
from flamingoweir.platform._store import PlatformStore
from flamingoweir.queues import SubmissionHandler
from tests.utils.cluster import make_job, run_cluster
from tests.utils.ingress import get_state
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Seconds for which submitters wait for an answer.
DEADLINE_S = 3.0
#: Longest time in seconds until an answer. A submitter who is refused can then still
#: ask another instance.
MAX_ANSWER_S = DEADLINE_S / 2


async def submit_and_end(cluster):
    """Let a job run to its end; return it."""
    await cluster.owner()
    await anyio.sleep(1)
    job = await cluster.submit(make_job(1))
    await cluster.wait_for(job, JobState.DONE, 10.0)
    return job


def test_state_is_asked_for_while_the_store_is_lost_twice():
    """Guards against reads that each take the whole time that a submitter waits."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            # No task runs, so that the state is found with the second read.
            for runner_id in cluster.runner_by_id:
                cluster.unlist_runner(runner_id)
            await anyio.sleep(5)
            job = await cluster.submit(make_job(1))
            member = next(iter(cluster.member_by_name.values()))
            started_s = anyio.current_time()

            async def lose_store_twice():
                member.store.silent = True
                await anyio.sleep(0.75)
                member.store.silent = False
                member.store.delay_s = 0.6
                await anyio.sleep(0.7)
                member.store.silent = True

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lose_store_twice)
                await get_state(cluster, member, job.id)
            assert anyio.current_time() - started_s < MAX_ANSWER_S

    run_virtual(scenario)


def test_many_ask_for_states_at_an_instance_without_the_store(monkeypatch):
    """Guards against a wait for a connection that no timeout limits."""

    async def connect_tcp(host, port):
        await anyio.sleep_forever()

    monkeypatch.setattr(transport.anyio, "connect_tcp", connect_tcp)

    async def scenario():
        async with run_cluster(members=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            member = next(iter(cluster.member_by_name.values()))
            instance = member.instance
            instance.handler = SubmissionHandler(
                PlatformStore("10.0.0.1:1"),
                instance.operators,
                instance.standby.backlog,
                VirtualClock(),
                random.Random(0),
                NoMetrics(),
            )
            started_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                for number in range(40):
                    tasks.start_soon(get_state, cluster, member, f"{number:016x}")
            assert anyio.current_time() - started_s < MAX_ANSWER_S

    run_virtual(scenario)


@pytest.mark.parametrize("value", [b"", b"{", b'{"state":"frozen","ended_ms":0}', None])
def test_state_row_that_is_unreadable_gets_an_answer(value):
    """Guards against a wrong state, or none, for a job whose row can't be read."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            job = await submit_and_end(cluster)
            cluster.rows.put(state_row("s0", job.id), value)
            member = cluster.add_member("front-new")
            await anyio.sleep(1)
            status, body = await get_state(cluster, member, job.id)
            assert status == 500
            assert body["error"]["code"] == "internal"

    run_virtual(scenario)
