"""The scenarios of the table of outages in docs/OPERATIONS.md, in virtual time.

The fleet has two zones of two entry instances and two workers of 8 processors each. A
task needs 2 processors unless given. Leases are 6 s for shards and 10 s for workers.
"""

import itertools

import anyio
import pytest

from flamingoweir.errors import ErrorCode, FlamingoweirError
from tests.utils.builders import make_resources, make_spec, make_timings
from tests.utils.fleet import Fleet
from tests.utils.history import History
from tests.utils.virtual_time import run_virtual

ZONES = ("gwynedd", "powys")
TIMINGS = make_timings()
ZONE_OUT_BOUND_S = TIMINGS.zone_out_bound_s


async def start_fleet(tasks, **fields) -> Fleet:
    """Start a fleet and wait until its shards have owners."""
    fleet = Fleet(tasks, ZONES, 2, 2, seed=5, timings=TIMINGS, **fields)
    fleet.start()
    await anyio.sleep(4.0)
    return fleet


def zone_node(fleet: Fleet, zone: str):
    """Return a node of a zone that runs and is not paused."""
    return next(node for node in fleet.live_nodes() if node.instance.zone == zone)


async def submit(fleet: Fleet, zone: str, **fields):
    """Submit a job to a zone, wait 2 s and return its spec."""
    spec = make_spec(zones=[zone], **fields)
    await zone_node(fleet, zone).handler.jobs.submit(spec)
    await anyio.sleep(2.0)
    return spec


def make_history(fleet: Fleet) -> History:
    """Return the history of the workers up to now."""
    for worker in fleet.worker_by_name.values():
        worker.advance()
    return History(
        list(fleet.worker_by_name.values()), fleet.clock_rate_by_worker, fleet.incidents
    )


def find_events(fleet: Fleet, kind: str, since_s: float = 0.0) -> list:
    """Return the events of a kind from a time on."""
    return [
        event
        for event in make_history(fleet).events()
        if event.kind == kind and event.at_s >= since_s
    ]


def disconnect_store(fleet: Fleet, zone: str | None = None) -> None:
    """Disconnect the instances of a zone, or all instances, from the store."""
    for member in fleet.by_name.values():
        if zone in (None, member.zone):
            fleet.network.disconnected_pairs.add((member.name, "store"))


def disconnect_zones(fleet: Fleet) -> None:
    """Disconnect instances of different zones from each other."""
    for one in fleet.by_name.values():
        for other in fleet.by_name.values():
            if one.zone != other.zone:
                fleet.network.disconnected_pairs.add((one.name, other.name))


async def propose_zone_out(fleet: Fleet, via_zone: str, zone: str) -> float:
    """Take a zone out via an instance of a zone; return when it was accepted."""
    node = zone_node(fleet, via_zone)
    values = {f"zones/{zone}/state": "out"}
    await node.store.propose("zone-out", "operators", values, None, "")
    node.peers.announce()
    return anyio.current_time()


async def wait_for_job(fleet: Fleet, spec) -> str:
    """Wait up to 300 s until a job has ended; return its state."""
    with anyio.fail_after(300):
        for node in itertools.cycle(fleet.live_nodes()):
            try:
                status = await node.handler.jobs.show(spec.id)
                if status.state in ("done", "failed", "cancelled"):
                    return status.state
            except FlamingoweirError:
                pass
            await anyio.sleep(1.0)


def run_scenario(scenario):
    """Run a scenario in virtual time and cancel the fleet at its end."""

    async def run():
        async with anyio.create_task_group() as tasks:
            await scenario(tasks)
            tasks.cancel_scope.cancel()

    run_virtual(run)


def test_store_outage_keeps_tasks_running_and_starts_assigned_tasks():
    """A store outage stops neither running tasks nor tasks assigned before it.

    Without the store nothing new is committed, so that only the tasks that were
    assigned ahead start: two for each worker. The outage of 45 s is shorter than the
    detached limit of 60 s, so that owners keep their shards.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=16, job_class="run-20")
        owner = fleet.owner_name("gwynedd/0")
        disconnect_store(fleet)
        outage_s = anyio.current_time()
        await anyio.sleep(45.0)
        assert not find_events(fleet, "lapsed")
        started = find_events(fleet, "start", outage_s + 10)
        assert len(started) == 2 * 2, (
            "each of two workers should start its two tasks assigned ahead"
        )
        fleet.network.disconnected_pairs.clear()
        await anyio.sleep(5.0)
        assert fleet.owner_name("gwynedd/0") == owner
        assert await wait_for_job(fleet, spec) == "done"
        assert len(find_events(fleet, "done")) == 16

    run_scenario(scenario)


def test_store_outage_refuses_submissions_and_settings_changes():
    """During a store outage submissions and settings changes get STORE_UNAVAILABLE.

    The code tells the caller that the request had no effect.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        disconnect_store(fleet)
        node = zone_node(fleet, "gwynedd")
        with pytest.raises(FlamingoweirError) as raised:
            await node.handler.jobs.submit(make_spec())
        assert raised.value.code is ErrorCode.STORE_UNAVAILABLE
        with pytest.raises(FlamingoweirError) as raised:
            await propose_zone_out(fleet, "gwynedd", "powys")
        assert raised.value.code is ErrorCode.STORE_UNAVAILABLE

    run_scenario(scenario)


def test_owner_without_store_is_replaced_and_tasks_keep_running():
    """Another instance replaces an owner that can't reach the store.

    The change of owner must neither interrupt running tasks nor start them again.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=6, job_class="run-40")
        owner = fleet.owner_name("gwynedd/0")
        fleet.network.disconnected_pairs.add((owner, "store"))
        await anyio.sleep(15.0)
        holders = [
            node.instance.name
            for node in fleet.live_nodes()
            if "gwynedd/0" in node.shard_manager.owner_by_shard
        ]
        assert len(holders) == 1
        assert holders != [owner]
        assert not find_events(fleet, "lapsed")
        assert await wait_for_job(fleet, spec) == "done"
        assert len(find_events(fleet, "start")) == 6

    run_scenario(scenario)


def test_zone_without_store_gets_settings_from_peers():
    """A zone without the store starts tasks while peers confirm its settings.

    Once another zone has taken it out, peers pass that version on: starts stop within
    the bound, and batch tasks write checkpoints.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", tasks=40, job_class="run-8")
        disconnect_store(fleet, "gwynedd")
        outage_s = anyio.current_time()
        await anyio.sleep(12.0)
        assert find_events(fleet, "start", outage_s + ZONE_OUT_BOUND_S), (
            "no starts on the settings version confirmed by peers"
        )
        out_s = await propose_zone_out(fleet, "powys", "gwynedd")
        await anyio.sleep(20.0)
        assert not find_events(fleet, "start", out_s + ZONE_OUT_BOUND_S)
        assert find_events(fleet, "checkpointed", out_s)

    run_scenario(scenario)


def test_disconnected_zone_stops_starting_and_keeps_running():
    """A zone without store and peers stops starting tasks but keeps them running.

    The zone can't learn that it was taken out, so its permission to start must expire
    within the bound. Running tasks need no permission.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", tasks=40, job_class="run-8")
        disconnect_store(fleet, "gwynedd")
        disconnect_zones(fleet)
        out_s = await propose_zone_out(fleet, "powys", "gwynedd")
        await anyio.sleep(30.0)
        assert not find_events(fleet, "start", out_s + ZONE_OUT_BOUND_S)
        assert not find_events(fleet, "lapsed")
        assert len(find_events(fleet, "done")) >= 8

    run_scenario(scenario)


def test_zone_out_moves_batch_tasks_with_their_checkpoints():
    """Batch tasks of a zone that is out resume elsewhere from their checkpoints.

    All tasks take 30 s and are done within 30 s of the zone-out, so no work is redone.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = make_spec(
            zones=list(ZONES), tasks=4, job_class="run-30", needs=make_resources(4)
        )
        await zone_node(fleet, "gwynedd").handler.jobs.submit(spec)
        await anyio.sleep(10.0)
        zone = find_events(fleet, "start")[0].worker.partition("-")[0]
        other = ZONES[1 - ZONES.index(zone)]
        out_s = await propose_zone_out(fleet, zone, zone)
        assert await wait_for_job(fleet, spec) == "done"
        resumed = find_events(fleet, "start", out_s)
        assert len(resumed) == 4
        assert all(event.worker.startswith(other) for event in resumed)
        assert all(event.checkpoint for event in resumed)
        assert max(event.at_s for event in find_events(fleet, "done")) < out_s + 30

    run_scenario(scenario)


def test_zone_out_replaces_services_before_they_stop():
    """Service tasks of a zone that is out stop after their replacements started."""

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        node = zone_node(fleet, "powys")
        value = '{"instances_by_zone": {"gwynedd": 2, "powys": 1}, "processors": 1}'
        path = "teams/shops/services/quotes"
        await node.store.propose("s", "shops", {path: value}, None, "")
        await anyio.sleep(8.0)
        assert len(find_events(fleet, "start")) == 3
        out_s = await propose_zone_out(fleet, "powys", "gwynedd")
        await anyio.sleep(20.0)
        replaced = find_events(fleet, "start", out_s)
        stopped = find_events(fleet, "stopped", out_s)
        assert len(replaced) == len(stopped) == 2
        assert max(event.at_s for event in replaced) < min(
            event.at_s for event in stopped
        )

    run_scenario(scenario)


def test_new_process_without_store_and_peers_is_not_ready():
    """A process that reached neither the store nor a peer since its start is not ready.

    It has no settings version, so it can't decide what may start.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        name = "gwynedd-e0"
        disconnect_store(fleet, "gwynedd")
        disconnect_zones(fleet)
        await anyio.sleep(10.0)
        fleet.kill(name)
        fleet.start_member(name)
        await anyio.sleep(10.0)
        assert fleet.by_name[name].node.not_ready_reason()

    run_scenario(scenario)


def test_killed_owner_is_replaced_and_tasks_keep_running():
    """The tasks of a killed owner keep running, and a new owner starts the rest.

    No task lapses or starts twice, and the next start follows within 30 s.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=10, job_class="run-20")
        fleet.kill(fleet.owner_name("gwynedd/0"))
        killed_s = anyio.current_time()
        assert await wait_for_job(fleet, spec) == "done"
        assert not find_events(fleet, "lapsed")
        assert len(find_events(fleet, "start")) == 10
        start_times = [event.at_s for event in find_events(fleet, "start", killed_s)]
        assert min(start_times) < killed_s + 30

    run_scenario(scenario)


def test_obsolete_ends_are_acknowledged():
    """Ends of attempts that lapsed meanwhile are acknowledged, though obsolete.

    A worker that is disconnected for 40 s ends its attempts when its lease lapses, and
    reports them after it has been reconnected. Without an acknowledgement it would
    keep and send these reports forever.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=8, job_class="run-15")
        fleet.disconnect_worker("gwynedd-w0", anyio.current_time() + 40.0)
        await anyio.sleep(40.0)
        fleet.reconnect_worker("gwynedd-w0")
        assert await wait_for_job(fleet, spec) == "done"
        await anyio.sleep(5.0)
        make_history(fleet).check(ZONE_OUT_BOUND_S)
        assert find_events(fleet, "lapsed")
        for worker in fleet.worker_by_name.values():
            assert worker.unacknowledged() == 0

    run_scenario(scenario)


def test_tasks_that_end_while_disconnected_do_not_run_again():
    """Tasks that ended while their worker was disconnected do not run again.

    The workers are disconnected for 16 s, without a lapse, and their tasks of 8 s end
    in that time. The reports of these ends arrive late and must count.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=8, job_class="run-8")
        for name in ("gwynedd-w0", "gwynedd-w1"):
            fleet.disconnect_worker(name, anyio.current_time() + 16.0)
        await anyio.sleep(16.0)
        assert not find_events(fleet, "lapsed")
        for name in ("gwynedd-w0", "gwynedd-w1"):
            fleet.reconnect_worker(name)
        assert await wait_for_job(fleet, spec) == "done"
        assert len(find_events(fleet, "start")) == 8
        await anyio.sleep(5.0)
        for worker in fleet.worker_by_name.values():
            assert worker.unacknowledged() == 0

    run_scenario(scenario)


def test_shard_is_not_acquired_without_the_list_of_workers():
    """No instance acquires a shard while it can't read the list of workers.

    An owner without that list can't renew the workers' leases, so that the running
    tasks would lapse and start again.
    """

    async def scenario(tasks):
        timings = make_timings(worker_lease_s=40.0)
        fleet = Fleet(tasks, ZONES, 1, 2, seed=5, timings=timings)
        fleet.start()
        await anyio.sleep(4.0)
        spec = await submit(fleet, "gwynedd", tasks=8, job_class="run-60")
        fleet.kill("gwynedd-e0")
        fleet.instances.down = True
        fleet.start_member("gwynedd-e0")
        await anyio.sleep(15.0)
        assert fleet.owner_name("gwynedd/0") is None
        fleet.instances.down = False
        assert await wait_for_job(fleet, spec) == "done"
        assert not find_events(fleet, "lapsed")
        assert len(find_events(fleet, "start")) == 8

    run_scenario(scenario)


def test_drained_owner_releases_its_shard_at_once():
    """A drained owner releases its shard, so that a peer takes it over within 3 s.

    The successor need not wait for the lease of 6 s to end.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", tasks=4, job_class="run-30")
        owner = fleet.owner_name("gwynedd/0")
        await fleet.by_name[owner].node.drain(0.0, 5.0)
        await anyio.sleep(3.0)
        successor = fleet.owner_name("gwynedd/0")
        assert successor not in (None, owner)
        assert not find_events(fleet, "lapsed")

    run_scenario(scenario)


def test_worker_reached_only_by_a_replaced_owner_keeps_tasks():
    """A replaced owner's tasks do not start twice on workers that only it reaches.

    The old owner can't reach the store and reaches only one of two workers; the new
    owner reaches only the other one. The old owner keeps renewing its worker's leases,
    so that worker's tasks keep running and must not start elsewhere.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await submit(fleet, "gwynedd", tasks=6, job_class="run-50")
        owner = fleet.owner_name("gwynedd/0")
        fleet.network.disconnected_pairs.add((owner, "store"))
        for name in fleet.by_name:
            unreached = "gwynedd-w1" if name == owner else "gwynedd-w0"
            fleet.network.disconnected_pairs.add((name, unreached))
        await anyio.sleep(40.0)
        make_history(fleet).check(ZONE_OUT_BOUND_S)
        assert not find_events(fleet, "lapsed")

    run_scenario(scenario)


def test_a_start_that_arrives_late_is_refused():
    """A worker refuses a START command that arrives 12 s late.

    By then the owner may have given the task to another worker, where it would run at
    the same time.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        for name in fleet.worker_by_name:
            fleet.network.delivery_delay_s_by_worker[name] = 12.0
        spec = await submit(fleet, "gwynedd", tasks=2, job_class="run-2")
        await anyio.sleep(30.0)
        make_history(fleet).check(ZONE_OUT_BOUND_S)
        assert await wait_for_job(fleet, spec) == "done"

    run_scenario(scenario)


def test_an_assignment_that_is_not_durable_is_not_started():
    """An owner starts no task whose assignment is not committed.

    The owner loses the store while tasks end and start all the time. A successor does
    not know uncommitted assignments and would start these tasks again.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        spec = await submit(fleet, "gwynedd", tasks=100, job_class="run-1")
        fleet.network.disconnected_pairs.add((fleet.owner_name("gwynedd/0"), "store"))
        await anyio.sleep(60.0)
        make_history(fleet).check(ZONE_OUT_BOUND_S)
        assert await wait_for_job(fleet, spec) == "done"

    run_scenario(scenario)


def test_idle_worker_refuses_no_start():
    """A worker that was idle for some seconds accepts a START command.

    The start window is counted from the worker's last report, so an owner that uses an
    outdated report sends a window that is already over.
    """

    async def scenario(tasks):
        fleet = await start_fleet(tasks)
        await anyio.sleep(20.0)
        for number in range(5):
            await submit(fleet, "gwynedd", id=f"job-{number}", job_class="run-1")
            await anyio.sleep(7.3)
        assert len(find_events(fleet, "start")) == 20
        assert not any(worker.refusals for worker in fleet.worker_by_name.values())

    run_scenario(scenario)
