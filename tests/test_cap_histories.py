"""Random faults under which no customer may have more running than its cap allows.

The sum is what the runners run, by their own records, and not what an owner believes.
Gangs started in part over the cap, and orders carried out late, are rare in these
histories; tests/test_caps.py and tests/test_customer_usage.py have a test of each.
``HISTORY_EXAMPLES`` sets the number of histories, as in tests/test_histories.py.
"""

import contextlib
import dataclasses

import anyio
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from flamingoweir.errors import FlamingoweirError
from flamingoweir.resources import Resources
from tests.test_histories import EXAMPLES, FaultInjector
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

CUSTOMERS = ("kaje80", "uolt15")
#: Caps in processors; all but the last bind at the load of a history.
CAPS = (2, 3, 4, 6, 9)
#: Part of the cap that may be exceeded, beside one task.
EXCESS = 0.1
#: Seconds after a configuration is stored in which an earlier one may be in force.
APPLY_S = 3.0
#: Seconds that a stop takes; until then the run uses its resources.
STOP_S = 0.8
FAULTS = (
    "freeze",
    "kill",
    "store_silent",
    "store_down",
    "lose_answers",
    "delay_lost_writes",
    "disconnect_runner",
    "disconnect_runner_from_owner",
    "crash_runner",
    "delay_lost_starts",
    "discard_history",
    "cancel",
    "change_caps",
    "change_caps",
    "submit",
    "submit",
)


class CapHistory(FaultInjector):
    """One history: jobs of two customers, faults, and caps that change."""

    def __init__(self, cluster, seed: int):
        super().__init__(cluster, seed)
        self.version = 1
        #: When each configuration was stored, and its caps in thousandths.
        self.configurations = []

    async def change_caps(self, duration_s) -> None:
        caps = {}
        for customer in CUSTOMERS:
            # A customer may be missing, so that it has no cap.
            if self.generator.random() < 0.9:
                caps[customer] = 1000 * self.generator.choice(CAPS)
        self.version += 1
        resources = {name: Resources(cap, 0, 0) for name, cap in caps.items()}
        self.cluster.configure(self.version, resources)
        self.configurations.append((anyio.current_time(), caps))

    async def submit(self, duration_s) -> None:
        """Submit a burst of jobs: single, spare, large and lasting tasks, and gangs."""
        for _ in range(self.generator.randint(1, 3)):
            number = len(self.cluster.spec_by_id) + 1
            members = self.generator.randint(2, 5)
            steps = self.generator.choice(
                (
                    (make_step(8),),
                    (make_step(3), make_step(members, after=(0,), gang=True)),
                    (make_step(6, 0.5, uses_spare=True),),
                    (make_step(2, 3.0),),
                    (make_step(2, lasting=True),),
                )
            )
            job = dataclasses.replace(
                make_job(number, *steps), customer=self.generator.choice(CUSTOMERS)
            )
            for step, spec in enumerate(steps):
                for index in range(spec.count):
                    duration_s = self.generator.uniform(0.3, 4.0)
                    plan = (duration_s, self.cluster.plan(None, 0)[1])
                    self.cluster.plan_by_task[f"{job.id}.0.{step}.{index}"] = plan
            with contextlib.suppress(FlamingoweirError):
                await self.cluster.submit(job, self.any_member())
                self.jobs.append(job)

    def highest_cap(self, customer: str, at_s: float) -> float:
        """Return the highest cap that may be in force at a time."""
        highest = 0
        for number, (stored_s, caps) in enumerate(self.configurations):
            following = self.configurations[number + 1 : number + 2]
            replaced_s = following[0][0] if following else float("inf")
            if stored_s <= at_s <= replaced_s + APPLY_S:
                highest = max(highest, caps.get(customer, float("inf")))
        return highest


def find_excesses(cluster, history) -> list[str]:
    """Return the starts after which a customer had more running than it may."""
    excesses = []
    running = {customer: {} for customer in CUSTOMERS}
    for record in cluster.records():
        task = record.task
        job = cluster.spec_by_id[task.job]
        runs = running[job.customer]
        key = (record.runner, task, record.run)
        if record.kind != "start":
            if record.kind not in ("noted", "reopened"):
                runs.pop(key, None)
            continue
        demand_milli = job.steps[task.step].demand.processors_milli
        runs[key] = demand_milli
        total_milli = sum(runs.values())
        cap_milli = history.highest_cap(job.customer, record.at_s)
        if total_milli > (1 + EXCESS) * cap_milli + max(runs.values()):
            excesses.append(
                f"{job.customer} {total_milli} of {cap_milli} at {record.at_s:.3f}: "
                f"{task}"
            )
    return excesses


async def play_caps(seed: int, steps) -> None:
    """Run one history and check the sums of what the runners run."""
    async with run_cluster(members=3, runners=4, seed=seed, processors=8) as cluster:
        history = CapHistory(cluster, seed)
        for runner in cluster.runner_by_id.values():
            runner.stop_s = STOP_S
        await history.change_caps(0)
        await cluster.owner()
        # The first version, without customers, isn't in force any more.
        await anyio.sleep(1)
        await history.submit(0)
        await history.inject(steps)
        await anyio.sleep(8)
        for runner in cluster.runner_by_id.values():
            runner.advance()
        assert cluster.records("start")
        assert not find_excesses(cluster, history)


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    database=None,
    # As in tests/test_histories.py.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.tuples(st.floats(0.0, 1.5), st.sampled_from(FAULTS), st.floats(0.2, 6.0)),
        min_size=6,
        max_size=20,
    ),
)
def test_no_customer_has_more_running_than_its_cap_and_one_task(seed, steps):
    """Guards against sums that miss runs, as after a take-over or on a lost runner."""
    run_virtual(play_caps, seed, steps)
