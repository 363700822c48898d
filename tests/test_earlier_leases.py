"""What an owner row says of leases, and what the next owner makes of it."""

import random
from types import SimpleNamespace

import anyio
import pytest

from flamingoweir.dispatch._committer import Committer
from flamingoweir.fleet import Runner
from flamingoweir.jobs import Attempt, TaskId
from flamingoweir.metrics import NoMetrics
from flamingoweir.ownership import (
    LEASE_VALID_S,
    SHORT_LEASE_VALID_S,
    UNBOUNDED_LEASES_END_IN_S,
    EarlierLeases,
    FencedWriter,
    OwnerRecord,
    StoreClock,
    decode_owner_record,
    encode_owner_record,
    encode_run_hashes,
    hash_run,
    longest_lease_s,
    owner_row,
)
from flamingoweir.registry import RunnerEntry
from flamingoweir.standins import MemoryRows, RowsLink
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Largest value of a row that the store accepts, in bytes.
MAX_ROW_BYTES = 65_536


def make_clock(rows: MemoryRows, sent_s: float, received_s: float) -> StoreClock:
    """Return a clock with one response, written right after the call was sent."""
    store_clock = StoreClock()
    store_clock.record(sent_s + rows.CLOCK_OFFSET_S, sent_s, received_s)
    return store_clock


def make_writer(rows: MemoryRows) -> FencedWriter:
    now_s = anyio.current_time()
    store_clock = make_clock(rows, now_s - 0.2, now_s)
    return FencedWriter(
        RowsLink(rows), "s0", "a", "a/1", VirtualClock(), NoMetrics(), store_clock
    )


async def acquire_and_grant(writer: FencedWriter) -> None:
    """Take the shard, and write that leases are granted, as once it has been read."""
    await writer.acquire(None)
    writer.grants_leases = True
    await writer.commit((), ())


def read_record(rows: MemoryRows) -> OwnerRecord:
    return decode_owner_record(rows.row_by_id[owner_row("s0")])


def test_wait_begins_anew_although_the_row_is_old():
    """Guards against a row whose age an instance can't know that has just started."""
    rows = MemoryRows()
    store_clock = make_clock(rows, 100.0, 100.1)
    record = OwnerRecord(
        "a",
        "a/1",
        1,
        1,
        written_s=rows.CLOCK_OFFSET_S + 90.0,
        leases_end_in_s=7.0,
        leases_end_in_s_by_runner={"runner-0": 3.0},
    )
    leases = EarlierLeases.of(record, 100.1, store_clock)
    assert leases.find_end_s("runner-1") == pytest.approx(97.1)
    assert leases.find_end_s("runner-0") == pytest.approx(93.1)


@pytest.mark.parametrize("seconds_by_runner", [None, {"runner-0": 16.4}])
def test_runs_that_have_long_begun_are_waited_for(seconds_by_runner):
    """Guards against a wait for all runs, as too many runners are to be named."""
    rows = MemoryRows()
    store_clock = make_clock(rows, 100.0, 100.0)
    run_hashes = encode_run_hashes([hash_run("a.0.0.0#2"), hash_run("b.0.0.0#1")])
    record = OwnerRecord(
        "a",
        "a/1",
        1,
        1,
        late_starts_end_in_s_by_runner=seconds_by_runner,
        late_run_hashes=run_hashes,
    )
    rows.put(owner_row("s0"), encode_owner_record(record))
    leases = EarlierLeases.of(read_record(rows), 100.0, store_clock)
    assert leases.find_starts_end_s("runner-0", "b.0.0.0#1") == pytest.approx(116.4)
    assert leases.find_starts_end_s("runner-0", "a.0.0.0#1") == float("-inf")


def test_row_with_a_part_of_a_hash_is_malformed():
    """Guards against a run that is started again, as its hash isn't found."""
    rows = MemoryRows()
    record = OwnerRecord("a", "a/1", 1, late_run_hashes=hash_run("a.0.0.0#2")[1:])
    rows.put(owner_row("s0"), encode_owner_record(record))
    assert read_record(rows) is None


@pytest.mark.parametrize("store_s", [None, 1e9], ids=["no-clock", "clock-reset"])
def test_wait_lasts_for_ever_after_the_clock_of_the_store_was_reset(store_s):
    """Guards against a row from the future, or without a time."""
    leases = EarlierLeases.of(
        OwnerRecord("a", "a/1", 1, 1, written_s=store_s, leases_end_in_s=7.0),
        100.0,
        make_clock(MemoryRows(), 100.0, 100.0),
    )
    assert leases.find_end_s("runner-0") == 107.0


def test_row_that_says_nothing_of_leases_counts_as_no_leases():
    """Guards against a shorter wait after an owner of a former build."""
    for record in (None, OwnerRecord("a", "a/1", 1, 1)):
        leases = EarlierLeases.of(record, 100.0, StoreClock())
        assert leases.find_end_s("runner-0") == 100.0 + UNBOUNDED_LEASES_END_IN_S


def test_lease_outlives_what_the_owner_row_says():
    """Guards against an owner without the store that renews beyond its last write."""

    async def scenario():
        rows = MemoryRows()
        writer = make_writer(rows)
        await acquire_and_grant(writer)
        written_s = anyio.current_time()
        record = read_record(rows)
        ends_s = record.written_s - rows.CLOCK_OFFSET_S + record.leases_end_in_s
        longest_s = 0.0
        for _ in range(100):
            now_s = anyio.current_time()
            lease_s = writer.limit_lease("runner-0", now_s + 4.0) - now_s
            longest_s = max(longest_s, lease_s)
            if lease_s > 0:
                assert now_s + longest_lease_s(lease_s) <= ends_s
            await anyio.sleep(0.1)
        assert longest_s == pytest.approx(4.0)
        assert ends_s < written_s + longest_lease_s(LEASE_VALID_S) + 0.3

    run_virtual(scenario)


def test_released_row_says_less_than_was_granted():
    """Guards against a release after which leases last longer than it says."""

    async def scenario():
        rows = MemoryRows()
        writer = make_writer(rows)
        await acquire_and_grant(writer)
        end_s = writer.limit_lease("runner-0", anyio.current_time() + 4.0)
        await anyio.sleep(1.0)
        released_s = anyio.current_time()
        await writer.release()
        lease_s = end_s - released_s
        assert read_record(rows).leases_end_in_s >= longest_lease_s(lease_s) - 1e-6
        assert read_record(rows).leases_end_in_s < longest_lease_s(lease_s) + 0.1

    run_virtual(scenario)


def test_owner_that_dies_at_once_says_less_than_its_former_one():
    """Guards against an owner row without the ends that the former owner published."""

    async def scenario():
        rows = MemoryRows()
        writer = make_writer(rows)
        await acquire_and_grant(writer)
        writer.list_named_leases = lambda: {"runner-0": 5.0}
        await writer.commit((), ())
        await anyio.sleep(2.0)
        row = rows.row_by_id[owner_row("s0")]
        successor = make_writer(rows)
        await successor.acquire(row, anyio.current_time() - 1.9)
        record = read_record(rows)
        left_s = record.leases_end_in_s_by_runner["runner-0"]
        assert 3.0 <= left_s < 3.3
        assert (
            0 <= record.leases_end_in_s - (longest_lease_s(LEASE_VALID_S) - 2.0) < 0.3
        )
        now_s = anyio.current_time()
        for runner in ("runner-0", "runner-1"):
            assert successor.limit_lease(runner, now_s + 4.0) <= now_s

    run_virtual(scenario)


def test_release_says_less_than_an_earlier_row_said_of_a_runner():
    """Guards against an owner that releases the shard before it has granted anything.

    The row of the owner before, which had released the shard too, named a runner with a
    later end than all others. The runner responds now, and is named no more.
    """

    async def scenario():
        rows = MemoryRows()
        first = make_writer(rows)
        await first.acquire(None)
        first.list_named_leases = lambda: {"runner-0": 5.0}
        await first.release()
        released_s = anyio.current_time()
        second = make_writer(rows)
        await second.acquire(rows.row_by_id[owner_row("s0")], released_s)
        second.list_named_leases = dict
        await second.release()
        record = read_record(rows)
        ends_s = record.written_s - rows.CLOCK_OFFSET_S + record.leases_end_in_s
        assert ends_s >= released_s + 4.9

    run_virtual(scenario)


def test_row_of_an_owner_that_lost_all_runners_is_too_large_for_the_store():
    """Guards against an owner that loses the shard as its row is refused."""

    async def scenario():
        async with run_cluster(members=1, runners=0) as cluster:
            for number in range(400):
                cluster.add_runner(f"runner-{number:0193d}", 1)
            owner = await cluster.owner()
            await anyio.sleep(1)
            await cluster.submit(make_job(1, make_step(400, lasting=True)))
            await anyio.sleep(3)
            for link in owner.link_by_runner.values():
                link.disconnected = True
            await anyio.sleep(2)
            row = cluster.rows.row_by_id[owner_row("s0")]
            assert decode_owner_record(row).leases_end_in_s_by_runner
            assert len(row.value) < MAX_ROW_BYTES

    run_virtual(scenario)


def random_runner(generator: random.Random, number: int, now_s: float) -> Runner:
    """Return a runner after calls of any kind, of which none was made after `now_s`."""
    runner = Runner(
        RunnerEntry(f"runner-{number}", 1, "s", "a:1", "z"),
        10.0,
        now_s + generator.uniform(-3.0, 12.0),
        may_get_late_calls=generator.random() < 0.5,
    )
    if generator.random() < 0.8:
        runner.add(Attempt(TaskId("job", 0, 0, number), 1, runner.id, 1), make_step())
    runner.leaving = generator.random() < 0.1
    call_times_s = sorted(now_s - generator.uniform(0, 20) ** 2 / 20 for _ in range(8))
    skew_ms = 0.0
    for at_s in call_times_s:
        kind = generator.choice(("seen", "respond", "respond", "lose", "grant"))
        if kind in ("seen", "respond"):
            skew_ms += generator.uniform(-90, 90)
            runner.record_response(1000 * at_s + skew_ms, at_s)
        if kind == "seen":
            age_s = generator.uniform(0, 30)
            token = generator.randrange(3)
            incarnation = (runner.incarnation or 0) + 1
            runner.begin_incarnation(incarnation, at_s, token, age_s)
        if kind == "lose":
            runner.record_no_response(at_s)
        if kind == "grant" and runner.responds:
            lease_s = generator.choice((0.5, runner.lease_s, LEASE_VALID_S, 7.25))
            runner.grant_lease(at_s + lease_s, at_s)
            runner.record_fenced(generator.randrange(3), at_s)
    return runner


def list_leases(runners: list[Runner], now_s: float) -> dict[str, float]:
    """Return what the owner row says of leases, by looking at every runner."""
    ends_s, short_ends_s = {}, {}
    for runner in runners:
        if not runner.has_attempts:
            continue
        left_s = runner._earlier_leases_end_s - now_s
        if runner.incarnation is not None:
            end_ms = max(runner._leases_end_ms, runner._inherited_end_ms) + 100
            left_s = (end_ms - runner.incarnation_clock.read_ms) / 980
            left_s -= now_s - runner.incarnation_clock.read_s
        if left_s > longest_lease_s(LEASE_VALID_S):
            ends_s[runner.id] = round(left_s, 3)
        elif runner.has_short_leases(now_s):
            least_s = longest_lease_s(SHORT_LEASE_VALID_S) if runner.responds else 0.0
            short_ends_s[runner.id] = round(max(left_s, least_s), 3)
    return ends_s | short_ends_s


def test_row_names_the_leases_that_a_look_at_every_runner_finds():
    """Guards against a lease of which the next owner knows nothing."""
    named_count = 0
    now_s = 1000.0
    for seed in range(300):
        generator = random.Random(seed)
        runners = [random_runner(generator, n, now_s) for n in range(30)]
        clock = SimpleNamespace(now=lambda: now_s)
        state = SimpleNamespace(runner_by_id={r.id: r for r in runners})
        context = SimpleNamespace(
            owner_state=state, clock=clock, writer=SimpleNamespace()
        )
        named = Committer(context, None, None, None)._list_named_leases()
        expected = list_leases(runners, now_s)
        assert list(named.items()) == list(expected.items())
        named_count += len(named)
    assert named_count
