"""How long runners are missing from the list, over owners that follow one another.

Incident 0018.
"""

import anyio
import pytest

from flamingoweir.clock import BootClock
from flamingoweir.dispatch._carried_waits import CarriedWaits
from flamingoweir.dispatch._committer import MAX_NAMED_LEASE_BYTES
from flamingoweir.dispatch._late_starts import (
    MAX_PUBLISHED_BYTES as MAX_LATE_START_BYTES,
)
from flamingoweir.dispatch._missing_runners import ENTRY_BYTES, MissingRunners
from flamingoweir.jobs import JobState
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import (
    HASH_LENGTH,
    FencedWriter,
    OwnerRecord,
    RunWait,
    StepWait,
    StoreClock,
    Waits,
    decode_owner_record,
    encode_owner_record,
    owner_row,
)
from flamingoweir.registry import UNLISTED_GRACE_S
from flamingoweir.standins import MemoryRows, RowsLink
from flamingoweir.storage import RowId, VersionedRow
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.losses import kill, stop_in_order
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Largest value of a row that the store accepts, in bytes, and what is left of it for
#: all but the runners.
MAX_ROW_BYTES = 65_536
MAX_BACKLOG_BYTES = 5_000
WAITS = Waits({"a.0.0": StepWait(2.0, 1.0)}, {"a.0.0.0#1": RunWait(9.0, 1.0, 0.1, 0)})


def test_grace_begins_anew_with_the_next_owner():
    """Guards against a wait that is counted from each owner's first read."""
    former = MissingRunners()
    former.update(["a", "b"], ["b"], 10.0)
    published = former.list_missing_s(11.5)
    assert published == {"a": 1.5}
    runners = MissingRunners(published)
    assert runners.may_return("a", 100.0)
    assert runners.list_missing_s(100.0) == published
    runners.update(["a", "b"], ["b"], 100.0)
    assert runners.may_return("a", 100.0 + UNLISTED_GRACE_S - 1.6)
    assert not runners.may_return("a", 100.0 + UNLISTED_GRACE_S - 1.5)


def test_time_without_the_list_counts_as_missing():
    """Guards against a runner that is given up as the store is back."""
    runners = MissingRunners({"a": 2.0})
    runners.update(["a"], [], 100.0)
    runners.restart(110.0)
    assert runners.may_return("a", 110.0 + UNLISTED_GRACE_S - 0.1)
    runners.update(["a"], ["a"], 111.0)
    runners.update(["a"], [], 112.0)
    assert runners.list_missing_s(112.5) == {"a": 0.5}


@pytest.mark.parametrize("id_bytes", [4, 12, 200])
def test_row_that_names_all_missing_runners_is_too_large(id_bytes):
    """Guards against an owner row that the store refuses."""
    runners = MissingRunners()
    runners.update([f"{number:0{id_bytes}d}" for number in range(9000)], [], 1.0)
    missing = runners.list_missing_s(10_000.999)
    short_count = MAX_NAMED_LEASE_BYTES // (id_bytes + ENTRY_BYTES)
    leases = {f"{number:0{id_bytes}d}": 7.346 for number in range(short_count)}
    names = [f"{number:0{id_bytes}d}.0.0" for number in range(9000)]
    step_wait, run_wait = StepWait(10_000.999, 10_000.999), RunWait(9.9, 10.0, 6.0, 1)
    former = Waits(dict.fromkeys(names, step_wait), dict.fromkeys(names, run_wait))
    waits = CarriedWaits(BootClock(), former).list_waits()
    late_count = MAX_LATE_START_BYTES // (id_bytes + ENTRY_BYTES)
    late_starts = {f"{number:0{id_bytes}d}": 16.401 for number in range(late_count)}
    late_run_hashes = "a" * (MAX_LATE_START_BYTES // HASH_LENGTH * HASH_LENGTH)
    record = OwnerRecord(
        "a",
        "a/1",
        1,
        leases_end_in_s_by_runner=leases,
        late_starts_end_in_s_by_runner=late_starts,
        late_run_hashes=late_run_hashes,
        unanswered_starts_end_in_s_by_runner=late_starts,
        missing_s_by_runner=missing,
        waits=waits,
    )
    assert 0 < len(waits.by_step) < 100
    assert 0 < len(waits.by_run) < 100
    assert 0 < len(encode_owner_record(record)) < MAX_ROW_BYTES - MAX_BACKLOG_BYTES
    assert missing


@pytest.mark.parametrize(
    ("age_s", "passed_on", "counts_since"),
    [(0.5, {"a": 2.0}, True), (2.0, {"a": 2.0}, False), (8.0, {}, False)],
)
def test_row_of_an_owner_that_is_long_gone_says_what_is_missing(
    age_s, passed_on, counts_since
):
    """Guards against an outage of the store between two owners that counts."""

    async def scenario():
        rows = MemoryRows()
        now_s = anyio.current_time()
        store_s = now_s + rows.CLOCK_OFFSET_S
        store_clock = StoreClock()
        store_clock.record(store_s, now_s, now_s)
        record = OwnerRecord(
            "a",
            "a/1",
            1,
            1,
            written_s=store_s - age_s,
            missing_s_by_runner={"a": 2.0},
            waits=WAITS,
        )
        rows.put(owner_row("s0"), encode_owner_record(record))
        writer = FencedWriter(
            RowsLink(rows), "s0", "b", "b/1", VirtualClock(), NoMetrics(), store_clock
        )
        await writer.acquire(rows.row_by_id[owner_row("s0")], now_s)
        assert writer.former_missing_s_by_runner == passed_on
        taken = decode_owner_record(rows.row_by_id[owner_row("s0")])
        assert taken.missing_s_by_runner == passed_on
        assert (writer.former_written_s is not None) == counts_since
        assert writer.former_written_s in (None, pytest.approx(now_s - age_s))
        assert writer.former_waits == taken.waits == (WAITS if passed_on else Waits())

    run_virtual(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"missing_s_by_runner": {"a": -1.0}},
        {"waits": Waits({"a.0.0": StepWait(1.0, -1.0)})},
        {"waits": Waits(by_run={"a.0.0.0#1": RunWait(1.0, -1.0, 0.0, 0)})},
    ],
)
def test_owner_record_with_a_negative_time_is_read(fields):
    """Guards against a malformed row that counts as one that says something."""
    record = OwnerRecord("a", "a/1", 1, 1, **fields)
    row = VersionedRow(RowId("owners", "s0", "owner"), encode_owner_record(record), 5)
    assert decode_owner_record(row) is None


@pytest.mark.parametrize("missing_s", [0.5, 1.2, 2.0])
@pytest.mark.parametrize("interval_s", [0.4, 0.9, 1.6])
def test_task_that_was_done_is_started_again_by_a_later_owner(interval_s, missing_s):
    """Guards against a runner that is given up before its entry could be back.

    No instance is up for longer than leases last. The runner has an end to report, and
    is listed again while the instances that are back own the shard one after the other.
    """

    async def scenario():
        async with run_cluster(members=3, runners=2) as cluster:
            await cluster.owner()
            await anyio.sleep(1)
            job = await cluster.submit(make_job(1, make_step()))
            await cluster.wait_for(job, JobState.RUNNING, 2.0)
            (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
            for member in list(cluster.member_by_name.values()):
                await kill(cluster, member)
            await anyio.sleep(9.5)
            cluster.unlist_runner(runner_id)
            for number in range(8):
                cluster.add_member(f"front-{number}")
            await cluster.owner()
            until_s = anyio.current_time() + missing_s
            while anyio.current_time() + interval_s < until_s:
                await anyio.sleep(interval_s)
                await stop_in_order(cluster, await cluster.owner())
            await anyio.sleep(until_s - anyio.current_time())
            cluster.list_runner(runner_id)
            await cluster.wait_for(job, JobState.DONE, 5.0)
            assert len(cluster.starts(f"{job.id}.0.0.0")) == 1

    run_virtual(scenario)
