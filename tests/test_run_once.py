"""Tests that tasks run once under random faults, from the records of the workers.

Several entry instances run in one process on virtual time. Hypothesis chooses the
faults. The tests guard against tasks that run twice, get lost or overload a worker when
owners, workers, the store or the network fail. docs/design/0009-history-checking.md
describes the checks.
"""

import os

import anyio
import hypothesis
import pytest
from hypothesis import strategies as st

from flamingoweir.errors import FlamingoweirError
from tests.utils.builders import make_resources, make_spec, make_timings
from tests.utils.fleet import Fleet
from tests.utils.history import History
from tests.utils.virtual_time import run_virtual

EXAMPLES = int(os.environ.get("HISTORY_EXAMPLES", "40"))
FAULT_PERIOD_S = 60.0
#: Seconds after the end of the last fault within which every accepted job must end.
COMPLETION_LIMIT_S = 600.0
ZONES = ("gwynedd", "powys")

FAULTS = (
    "kill",
    "pause",
    "store_down",
    "store_cut",
    "lossy",
    "worker_cut",
    "worker_restart",
    "zones_cut",
    "zone_out",
    "race",
    "cancel",
    "submit",
    "urgent",
    "service",
)

faults = st.tuples(
    st.floats(0.0, FAULT_PERIOD_S),
    st.sampled_from(FAULTS),
    st.integers(0, 7),
    st.floats(0.5, 40.0),
)
plans = st.lists(faults, min_size=1, max_size=6)


class Run:
    """One run of a fleet: injects faults and records what they affect.

    The method that injects a fault of kind ``kill`` is ``_kill``, and so on. Its
    arguments are a number that selects the instance, worker or zone, and the length
    of the fault in seconds.
    """

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.history = History(
            list(fleet.worker_by_name.values()),
            fleet.clock_rate_by_worker,
            fleet.incidents,
        )
        self.jobs: list[str] = []
        self.zones_out: set[str] = set()

    def pick_node(self, number: int):
        """Return one of the nodes that run, or None."""
        nodes = self.fleet.live_nodes()
        return nodes[number % len(nodes)] if nodes else None

    async def submit(self, number: int, **fields) -> None:
        node = self.pick_node(number)
        if node is None or not node.directory.by_name:
            return
        spec = make_spec(id=f"job-{len(self.jobs)}-{number}", **fields)
        try:
            await node.handler.jobs.submit(spec)
        except FlamingoweirError:
            return
        self.jobs.append(spec.id)

    async def change(self, number: int, path: str, value: str | None) -> bool:
        """Change a setting through a node; return whether it was accepted."""
        node = self.pick_node(number)
        if node is None or not node.peers.is_known_to_peers:
            return False
        team = "operators" if path.startswith("zones") else "planning"
        change_id = f"c{anyio.current_time()}-{number}-{value}"
        try:
            await node.store.propose(change_id, team, {path: value}, None, "")
        except FlamingoweirError:
            return False
        node.peers.announce()
        return True

    async def record_versions(self) -> None:
        """Record the settings versions of all nodes while the run lasts."""
        while True:
            for node in self.fleet.live_nodes():
                if node.store.is_loaded:
                    self.history.versions_by_process[node.process].append(
                        node.store.tree.version
                    )
            await anyio.sleep(0.25)

    async def inject(self, at_s: float, kind: str, number: int, length_s: float):
        """Inject a fault of a kind ``at_s`` seconds from now."""
        await anyio.sleep(at_s)
        await getattr(self, f"_{kind}")(number, length_s)

    def _pick_member(self, number: int) -> str:
        """Return the name of a member, mostly that of a shard's owner."""
        shard = f"{ZONES[number % 2]}/0"
        owner = self.fleet.owner_name(shard)
        names = list(self.fleet.by_name)
        return owner if owner and number < 6 else names[number % len(names)]

    async def _kill(self, number, length_s):
        name = self._pick_member(number)
        if self.fleet.by_name[name].node is None:
            return
        self.fleet.kill(name)
        await anyio.sleep(length_s)
        self.fleet.start_member(name)

    async def _pause(self, number, length_s):
        process = self.fleet.by_name[self._pick_member(number)].process
        process.paused = True
        await anyio.sleep(length_s)
        process.resume()

    async def _store_down(self, number, length_s):
        self.fleet.table.down = True
        await anyio.sleep(length_s)
        self.fleet.table.down = False

    async def _store_cut(self, number, length_s):
        await self._disconnect(self._pick_member(number), "store", length_s)

    async def _lossy(self, number, length_s):
        self.fleet.network.loss_probability = 0.2
        await anyio.sleep(length_s)
        self.fleet.network.loss_probability = 0.0

    async def _worker_cut(self, number, length_s):
        names = list(self.fleet.worker_by_name)
        name = names[number % len(names)]
        until_s = anyio.current_time() + length_s
        self.fleet.disconnect_worker(name, until_s)
        await anyio.sleep(length_s)
        self.fleet.reconnect_worker(name)

    async def _worker_restart(self, number, length_s):
        names = list(self.fleet.worker_by_name)
        self.fleet.restart_worker(names[number % len(names)])

    async def _zones_cut(self, number, length_s):
        pairs = [
            (one.name, other.name)
            for one in self.fleet.by_name.values()
            for other in self.fleet.by_name.values()
            if one.zone < other.zone
        ]
        self.fleet.network.disconnected_pairs.update(pairs)
        await anyio.sleep(length_s)
        self.fleet.network.disconnected_pairs.difference_update(pairs)

    async def _disconnect(self, one, other, length_s):
        self.fleet.network.disconnected_pairs.add((one, other))
        await anyio.sleep(length_s)
        self.fleet.network.disconnected_pairs.discard((one, other))

    async def _zone_out(self, number, length_s):
        zone = ZONES[number % 2]
        if zone in self.zones_out:
            return
        self.zones_out.add(zone)
        accepted = await self.change(number, f"zones/{zone}/state", "out")
        from_s = anyio.current_time()
        await anyio.sleep(length_s)
        if accepted:
            self.history.zone_out_spans.append((zone, from_s, anyio.current_time()))
        while not await self.change(number, f"zones/{zone}/state", "in"):
            number += 1
            await anyio.sleep(1.0)
        self.zones_out.discard(zone)

    async def _race(self, number, length_s):
        async with anyio.create_task_group() as tasks:
            for operator in range(4):
                tasks.start_soon(
                    self.change, number + operator, "teams/planning/notice", "2"
                )

    async def _cancel(self, number, length_s):
        node = self.pick_node(number)
        if node is None or not self.jobs:
            return
        try:
            await node.handler.jobs.cancel(
                self.jobs[number % len(self.jobs)], "planning"
            )
        except FlamingoweirError:
            return

    async def _submit(self, number, length_s):
        await self.submit(number, tasks=5, job_class="run-7")

    async def _urgent(self, number, length_s):
        needs = make_resources(6)
        await self.submit(number, tasks=2, job_class="run-4", urgent=True, needs=needs)

    async def _service(self, number, length_s):
        path = "teams/planning/services/quotes"
        value = '{"instances_by_zone": {"gwynedd": 2, "powys": 1}, "processors": 2}'
        if await self.change(number, path, value):
            await anyio.sleep(length_s)
            await self.change(number + 1, path, None)

    async def wait_for_jobs(self) -> None:
        """Wait until every accepted job has ended."""
        with anyio.fail_after(COMPLETION_LIMIT_S):
            for job in self.jobs:
                await self._wait_for_job(job)

    async def _wait_for_job(self, job: str) -> None:
        while True:
            node = self.pick_node(0)
            try:
                status = await node.handler.jobs.show(job)
            except FlamingoweirError:
                await anyio.sleep(1.0)
                continue
            if status.state in ("done", "failed", "cancelled"):
                self.history.job_ends.append((job, anyio.current_time()))
                return
            await anyio.sleep(1.0)


async def run_plan(plan, seed: int) -> History:
    """Run a fleet with jobs under a plan of faults and return its history."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, ZONES, 2, 2, seed, make_timings())
        run = Run(fleet)
        fleet.start()
        tasks.start_soon(run.record_versions)
        await anyio.sleep(3.0)
        await run.submit(0, tasks=12, job_class="run-9")
        await run.submit(1, tasks=6, job_class="run-25", needs=make_resources(4))
        await run.submit(2, tasks=3, job_class="fail-2", retries=1)
        async with anyio.create_task_group() as injections:
            for fault in plan:
                injections.start_soon(run.inject, *fault)
        await run.wait_for_jobs()
        for worker in fleet.worker_by_name.values():
            worker.advance()
        tasks.cancel_scope.cancel()
    return run.history


@pytest.mark.filterwarnings("ignore::hypothesis.errors.HypothesisWarning")
@hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(plan=plans, seed=st.integers(0, 2**32))
def test_tasks_run_once_whatever_fails(plan, seed):
    history = run_virtual(run_plan, plan, seed)
    history.check(make_timings().zone_out_bound_s)


def test_tasks_run_once_when_nothing_fails():
    history = run_virtual(run_plan, [], 1)
    history.check(make_timings().zone_out_bound_s)
    assert len(history.job_ends) == 3
