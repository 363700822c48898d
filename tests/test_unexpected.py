"""Malformed rows and unexpected errors end no process and run no job twice."""

from types import SimpleNamespace

import anyio
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoweir.dispatch._planner import Planner
from flamingoweir.jobs import JobState, encode_spec
from flamingoweir.ownership import (
    UNBOUNDED_STARTS_END_IN_S,
    job_row,
    owner_row,
    state_row,
    tasks_row,
)
from flamingoweir.platform import PlatformRowDecoder
from flamingoweir.registry import OperatorView, RunnerView
from flamingoweir.scheduling._owner import ShardOwner
from flamingoweir.storage import RowId, VersionedRow
from tests.utils.builders import make_spec, make_timings
from tests.utils.cluster import (
    make_job,
    make_step,
    run_cluster,
)
from tests.utils.fleet import Fleet
from tests.utils.virtual_time import run_virtual

#: Time in seconds in which work goes on after an owner's end.
MAX_GAP_S = 2.55
#: Longest lease in seconds that a runner grants.
MAX_LEASE_S = 10.0
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["Service", "Address", "State", "Capacity", "Labels", "born", "Cpu"]
                + ["Version", "Routes", "Services", "Limits", "Name", "Wave", "Host"]
            ),
            children,
            max_size=6,
        )
    ),
    max_leaves=8,
)


def test_unexpected_error_ends_the_term_and_not_the_process(monkeypatch):
    """Guards against an error in one loop of the owner that ends the whole process."""
    plan = Planner.plan
    errors = []

    async def fail_once(self):
        if self._owner_state.job_by_id and not errors:
            errors.append(1)
            raise RuntimeError("a fault in the planner")
        await plan(self)

    monkeypatch.setattr(Planner, "plan", fail_once)

    async def scenario():
        async with run_cluster(members=2) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step(3)))
            await cluster.wait_for(job, JobState.DONE, MAX_GAP_S + 1.5)
            assert errors
            assert (await cluster.owner()).name != owner.name
            # The process that failed still serves submitters.
            await cluster.submit(make_job(2), owner)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_unexpected_error_of_a_shards_owner_ends_no_process(monkeypatch):
    """Guards against an error in one shard that ends the whole process.

    In the older core, a process owns several shards and routes requests as well.
    """
    place = ShardOwner._place
    errors = []

    def fail_once(self, pending):
        if self.state.job_by_id and not errors:
            errors.append(1)
            raise RuntimeError("a fault in the placer")
        place(self, pending)

    monkeypatch.setattr(ShardOwner, "_place", fail_once)

    async def scenario():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, ("gwynedd",), 2, 2, 0, make_timings())
            fleet.start()
            await anyio.sleep(3.0)
            nodes = fleet.live_nodes()
            spec = make_spec(tasks=3, zones=["gwynedd"], job_class="run-1")
            await nodes[0].handler.jobs.submit(spec)
            with anyio.fail_after(60.0):
                for node in nodes:
                    while (await node.handler.jobs.show(spec.id)).state != "done":
                        await anyio.sleep(0.5)
            assert errors
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def put_tasks(cluster, job, row: tuple[int, int, int], value: bytes) -> None:
    cluster.rows.put(tasks_row("s0", job.id, row), value)


def put_state(cluster, job, value: bytes) -> None:
    cluster.rows.put(state_row("s0", job.id), value)


def put_job(cluster, job, **changes) -> None:
    """Overwrite fields in the row of an accepted job."""
    fields = orjson.loads(encode_spec(job))
    cluster.rows.put(job_row("s0", job.id), orjson.dumps({**fields, **changes}))


@pytest.mark.parametrize(
    "damage",
    [
        lambda c, job: c.rows.put(tasks_row("s0", job.id, (0, 0, 0)), b"{"),
        lambda c, job: c.rows.put(tasks_row("s0", job.id, (0, 0, 0)), b"[[1,2]]"),
        lambda c, job: c.rows.put(tasks_row("s0", job.id, (0, 7, 0)), b"[]"),
        lambda c, job: c.rows.put(RowId("tasks", "s0", job.id + ".x.0.0"), b"[]"),
        lambda c, job: c.rows.put(state_row("s0", job.id), b"[]"),
        lambda c, job: c.rows.put(job_row("s0", job.id), b'{"steps":[1]}'),
        lambda c, job: put_tasks(c, job, (0, 0, 0), b'[[1,false,"x","",[]]]'),
        lambda c, job: put_tasks(c, job, (0, 0, 0), b'[[1,false,0,{},[["1",2,3]]]]'),
        lambda c, job: put_tasks(c, job, (0, 0, 0), b"5"),
        lambda c, job: put_tasks(c, job, (0, 0, -1), b'[[1,false,0,"",[]]]'),
        lambda c, job: put_tasks(c, job, (-1, 0, 0), b'[[1,false,0,"",[]]]'),
        lambda c, job: put_tasks(c, job, (10**9, 0, 0), b'[[1,false,0,"",[]]]'),
        lambda c, job: put_tasks(c, job, (0, 0, 0), b'[[1,false,0,"",[]]]' * 9),
        lambda c, job: put_state(c, job, b'{"state":"done","ended_ms":"x"}'),
        lambda c, job: put_state(c, job, b'{"state":"done","ended_ms":null}'),
        lambda c, job: put_state(
            c, job, b'{"state":"running","ended_ms":0,"blame":{"a.0.0.0":"x"}}'
        ),
        lambda c, job: put_job(c, job, occurrences="many"),
        lambda c, job: put_job(c, job, id="0000000000000003"),
        lambda c, job: put_job(c, job, policy={"service": 7, "priority": "x"}),
    ],
)
def test_malformed_row_of_a_job_stops_no_other_job(damage):
    """Guards against a row that ends one new owner after the other.

    Nothing of that job is run again: its tasks may be done.
    """

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            damaged = await cluster.submit(
                make_job(1, make_step(2), make_step(1, after=(0,), processors=3.0))
            )
            await anyio.sleep(1.3)
            assert cluster.records("done")
            started = len(cluster.records("start"))
            cluster.kill_member(owner)
            damage(cluster, damaged)
            await anyio.sleep(MAX_GAP_S)
            other = await cluster.submit(make_job(2, make_step(3)))
            await cluster.wait_for(other, JobState.DONE, MAX_GAP_S + 1.5)
            assert len(cluster.records("start")) == started + 3
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b'{"holder": 3}',
        b'{"holder":"f","process":"p","number":1,"backlog":{"waiting_by_queue":7}}',
        b'{"holder":"f","process":"p","number":1,"backlog":null,'
        b'"leases_end_in_s_by_runner":{"runner-0":"x","runner-1":null}}',
        b'{"holder":"f","process":"p","number":1,"backlog":null,'
        b'"leases_end_in_s_by_runner":{"runner-0":-1e300,"runner-1":-1e300}}',
        b'{"holder":"f","process":"p","number":1,"leases_end_in_s":-1e300}',
        b'{"holder":"f","process":"p","number":1,"leases_end_in_s":"x"}',
        b'{"holder":"f","process":"p","number":1,"written_s":-1.0}',
        b'{"holder":"f","process":"p","number":1,"backlog":null,"fence":"x"}',
        b"[" * 50_000 + b"]" * 50_000,
    ],
    ids=[
        "holder",
        "backlog",
        "ends_text",
        "ends_number",
        "end_number",
        "end_text",
        "written",
        "fence",
        "nested",
    ],
)
def test_malformed_owner_row_is_taken_over(value):
    """Guards against a shard that nobody owns, and owners that fail by turns."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            lost = await cluster.submit(make_job(1, make_step(2)))
            await anyio.sleep(0.5)
            cluster.kill_member(owner)
            cluster.rows.put(owner_row("s0"), value)
            cluster.runner_by_id["runner-0"].crash()
            job = await cluster.submit(make_job(2))
            await cluster.wait_for(job, JobState.DONE, MAX_GAP_S + 2.0)
            # Nothing bounds the former owner's start orders here, which may still be
            # carried out and then have the longest lease.
            timeout_s = UNBOUNDED_STARTS_END_IN_S + MAX_LEASE_S + 4.0
            await cluster.wait_for(lost, JobState.DONE, timeout_s)
            assert not cluster.find_overlaps()

    run_virtual(scenario)


def test_blame_of_a_task_that_does_not_exist_stops_no_job():
    """Guards against a row of a former owner that names other tasks than the job's."""

    async def scenario():
        async with run_cluster(members=3) as cluster:
            owner = await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(
                make_job(1, make_step(2), make_step(1, after=(0,)))
            )
            await anyio.sleep(0.5)
            cluster.kill_member(owner)
            blame = b'"%b.7.7.7":1,"%b.0.0.0":1' % ((job.id.encode(),) * 2)
            put_state(
                cluster, job, b'{"state":"running","ended_ms":0,"blame":{%b}}' % blame
            )
            await cluster.wait_for(job, JobState.DONE, MAX_GAP_S + 4.0)
            assert (await cluster.owner()).instance.term.failed is False
            assert not cluster.find_overlaps()

    run_virtual(scenario)


@given(JSON)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_rows_of_another_writer_raise_nothing(value):
    """Guards against a row that ends the process of each instance that reads it."""
    try:
        data = orjson.dumps(value)
    except TypeError:
        # An integer of more than 64 bits.
        data = b"{"
    runners = RunnerView(PlatformRowDecoder(), lambda: None, SimpleNamespace(now=float))
    operators = OperatorView(PlatformRowDecoder())
    for content in (data, data[:-1], b"\xff\xfe", b""):
        row = VersionedRow(RowId("servers", "", "runner"), content, 5)
        runners.apply_rows([row], False)
        for key in ("config", "evacuate/powys", "wave/1", "other"):
            row = VersionedRow(RowId("op", "", key), content, 5)
            operators.apply_rows([row], False)
