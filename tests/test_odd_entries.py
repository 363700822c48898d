"""An odd entry among those of the runners stops no other runner and no job."""

import anyio
import orjson
import pytest

from flamingoweir.jobs import JobState
from flamingoweir.membership import Directory
from flamingoweir.platform import PlatformRowDecoder
from flamingoweir.registry import UnreadableRow
from flamingoweir.registry._view import UNLISTED_GRACE_S
from flamingoweir.storage import HttpInstanceList, RowId
from flamingoweir.transport import Response
from tests.utils.cluster import AbsentRunnerLink, make_job, make_step, run_cluster
from tests.utils.entries import encode_entry
from tests.utils.virtual_time import VirtualClock, run_virtual

#: Seconds in which a job of one second is done beside an odd entry.
MAX_JOB_S = 2.5
NO_ADDRESS = {
    "empty": "",
    "no_port": "nonsense",
    "no_host": ":80",
    "port_is_text": "10.0.0.9:http",
    "port_is_zero": "10.0.0.9:0",
    "port_is_negative": "10.0.0.9:-1",
    "port_is_out_of_range": "10.0.0.9:70000",
    "port_has_5000_digits": "10.0.0.9:" + "9" * 5000,
    "host_is_a_name": "runner.example:80",
    "host_has_a_nul": "10.0.0.9\0:80",
    "bare_ipv6": "::1",
}


async def check_jobs_run(cluster) -> None:
    """Check that the owner starts and ends a job, and stays the owner."""
    owner = await cluster.owner()
    term = owner.instance.term
    job = await cluster.submit(make_job(len(cluster.spec_by_id) + 1, make_step(3)))
    await cluster.wait_for(job, JobState.DONE, MAX_JOB_S)
    assert owner.instance.term is term
    assert not term.failed


def put_entry(cluster, value: bytes) -> None:
    """Write an odd entry beside those of the runners, as another writer does."""
    cluster.rows.put(RowId("servers", "", "odd"), value)


@pytest.mark.parametrize("address", NO_ADDRESS.values(), ids=NO_ADDRESS)
def test_entry_without_a_usable_address_stops_no_runner_and_no_job(address):
    """Guards against an entry that ends the term of each owner that reads it."""

    async def scenario():
        async with run_cluster() as cluster:
            await cluster.owner()
            put_entry(cluster, encode_entry(Address=address))
            await check_jobs_run(cluster)
            # The next owner reads the entry with the whole table.
            cluster.kill_member(await cluster.owner())
            await cluster.owner()
            await check_jobs_run(cluster)

    run_virtual(scenario)


@pytest.mark.parametrize("field", ["Address", "Service", "Zone"])
def test_entry_with_an_empty_field_is_one_that_lacks_it(field):
    """Guards against a row that names a runner without the field that it needs."""
    with pytest.raises(UnreadableRow):
        PlatformRowDecoder().decode_runner("odd", encode_entry(**{field: ""}))


def test_runner_that_cannot_be_connected_stops_no_other_runner(monkeypatch):
    """Guards against any error by which a connection can't be set up.

    The runner is used once its entry allows a connection.
    """
    broken = [True]
    connect = AbsentRunnerLink.__init__

    def fail(self, entry):
        if broken:
            raise RuntimeError("a fault in the client")
        connect(self, entry)

    monkeypatch.setattr(AbsentRunnerLink, "__init__", fail)

    async def scenario():
        async with run_cluster() as cluster:
            owner = await cluster.owner()
            put_entry(cluster, encode_entry())
            await check_jobs_run(cluster)
            runner = owner.instance.term.owner_state.runner_by_id["odd"]
            assert not runner.entry.address
            broken.clear()
            # The list is looked at when a row of it changes.
            cluster.list_runner("runner-0", zone="gwynedd")
            await check_jobs_run(cluster)
            runner = owner.instance.term.owner_state.runner_by_id["odd"]
            assert runner.entry.address

    run_virtual(scenario)


def test_runner_whose_entry_becomes_unreadable_is_no_longer_used():
    """Guards against the former entry, which counts as valid for ever."""

    async def scenario():
        async with run_cluster(runners=2) as cluster:
            owner = await cluster.owner()
            await check_jobs_run(cluster)
            cluster.rows.put(RowId("servers", "", "runner-0"), b"\xff{")
            await check_jobs_run(cluster)
            await anyio.sleep(UNLISTED_GRACE_S)
            view = owner.instance.term._context.runners
            assert not view.is_listed("runner-0")
            assert view.is_listed("runner-1")

    run_virtual(scenario)


HUGE = 10**400
ODD_NUMBERS = {
    "processors": b'"Capacity":{"Cpu":%d,"MemMb":256000}' % HUGE,
    "memory": b'"Capacity":{"Cpu":4000,"MemMb":%d}' % HUGE,
    "accelerators": b'"Capacity":{"Cpu":4000,"MemMb":256000,"Gpu":%d}' % 2**64,
    "negative_processors": b'"Capacity":{"Cpu":-4000,"MemMb":256000}',
    "born": b'"born":%d' % HUGE,
    "negative_born": b'"born":-1',
    "remaining": b'"State":"draining","RemainingMs":1e999',
    "nested_labels": b'"Labels":' + b"[" * 50_000 + b"]" * 50_000,
    "nested_unknown_field": b'"Else":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
}


@pytest.mark.parametrize("field", ODD_NUMBERS.values(), ids=ODD_NUMBERS)
def test_odd_number_in_the_entry_of_a_runner_stops_no_other_runner(field):
    """Guards against arithmetic with an odd number, which ends the term.

    Another writer has overwritten the entry of a runner that is in use.
    """

    async def scenario():
        async with run_cluster(runners=3) as cluster:
            owner = await cluster.owner()
            await check_jobs_run(cluster)
            entry = encode_entry(
                Address=cluster.address_by_runner["runner-0"],
                born=cluster.runner_by_id["runner-0"].incarnation,
            )
            cluster.rows.put(
                RowId("servers", "", "runner-0"), entry[:-1] + b"," + field + b"}"
            )
            serving = make_step(2, latency_target_ms=50, lasting=True, image="web")
            await cluster.submit(make_job(71, serving))
            spare = make_step(4, uses_spare=True, image="batch")
            job = await cluster.submit(make_job(72, spare))
            await cluster.wait_for(job, JobState.DONE, 6.0)
            await check_jobs_run(cluster)
            assert await cluster.owner() is owner
            assert not cluster.find_overlaps()

    run_virtual(scenario)


GOOD_INSTANCES = [
    {
        "name": f"runner-{number}",
        "kind": "runner",
        "zone": "powys",
        "rack": "rack-1",
        "address": f"127.0.0.1:{8000 + number}",
        "service": "quotes",
    }
    for number in range(2)
]
ODD_INSTANCES = {
    "no_object": b"7",
    "null": b"null",
    "no_name": b'{"kind":"runner"}',
    "unknown_kind": b'{"name":"a","kind":"x","zone":"","rack":"",'
    b'"address":"1.2.3.4:5"}',
    "no_port": b'{"name":"a","kind":"runner","zone":"","rack":"","address":"1.2.3.4"}',
    "large_port": b'{"name":"a","kind":"runner","zone":"","rack":"",'
    b'"address":"1.2.3.4:70000"}',
    "large_number": b'{"name":"a","kind":"worker","zone":"","rack":"",'
    b'"address":"1.2.3.4:5","capacity":{"processors_milli":%d}}' % HUGE,
    "nested": b'{"name":' + b"[" * 50_000 + b"]" * 50_000 + b"}",
    "nested_unknown_field": b'{"else":' + b'{"a":' * 50_000 + b"1" + b"}" * 50_001,
    "brackets_in_text": b'{"name":"]}\\",[{","kind":"x"}',
}


class ListClient:
    """Client of a platform that answers each call with the same body."""

    def __init__(self, body: bytes):
        self._body = body

    async def call(self, method: str, path: str) -> Response:
        return Response(200, self._body)


@pytest.mark.parametrize("odd", ODD_INSTANCES.values(), ids=ODD_INSTANCES)
@pytest.mark.parametrize("position", [0, 1, 2])
def test_odd_entry_in_the_list_of_instances_leaves_out_no_other(odd, position):
    """Guards against an entry that ends each process that reads the list.

    This list is that of the product's own platform interface.
    """
    entries = [orjson.dumps(instance) for instance in GOOD_INSTANCES]
    entries.insert(position, odd)
    body = b" [" + b" ,".join(entries) + b"]\n"
    directory = Directory(HttpInstanceList(ListClient(body)), VirtualClock())

    async def scenario():
        assert await directory.refresh()
        assert sorted(directory.by_name) == ["runner-0", "runner-1"]

    run_virtual(scenario)


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b'["', b"[[]", b"\xff"])
def test_list_of_instances_that_is_no_array_is_read_later(body):
    """Guards against a process that ends, or forgets all instances."""
    good = orjson.dumps(GOOD_INSTANCES)
    client = ListClient(good)
    directory = Directory(HttpInstanceList(client), VirtualClock())

    async def scenario():
        assert await directory.refresh()
        client._body = body
        assert not await directory.refresh()
        assert len(directory.by_name) == 2

    run_virtual(scenario)


def test_empty_list_of_instances_is_a_list():
    """Guards against instances that stay after all have left."""
    directory = Directory(HttpInstanceList(ListClient(b" [ ] ")), VirtualClock())

    async def scenario():
        assert await directory.refresh()
        assert not directory.by_name

    run_virtual(scenario)
