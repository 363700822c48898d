"""Measures what customers add to the decisions of an owner.

Run ``python -m benchmarks.customer_shares``. It prints the processor time, in
milliseconds, of the order of the ready steps without and with customers, of taking all
steps from the queue of a pass, of the limits and of a report; the median of `ROUNDS`.
"""

import argparse
import io
import random
import statistics
import time
from types import SimpleNamespace

import anyio

from flamingoweir import logs
from flamingoweir.clock import BootClock
from flamingoweir.customers import Customer
from flamingoweir.dispatch._customer_caps import CustomerCaps
from flamingoweir.dispatch._customer_limits import LimitFinder
from flamingoweir.dispatch._customer_report import CustomerReporter
from flamingoweir.dispatch._deferrals import Deferrals
from flamingoweir.dispatch._job_pauses import JobPauses
from flamingoweir.dispatch._ready_steps import ReadySteps
from flamingoweir.jobs import JobSpec, QueuePolicy, StepSpec
from flamingoweir.metrics import NoMetrics
from flamingoweir.registry import Configuration
from flamingoweir.resources import Resources

from .placement import SERVICE, AllRunners, make_owner_state

ROUNDS = 30


async def _never_give_way() -> None:
    return


def _median_ms(function) -> float:
    durations_ms = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        function()
        durations_ms.append(1000 * (time.process_time() - started_s))
    return statistics.median(durations_ms)


def _make_context(
    clock: BootClock, customers: int, jobs: int, runners: int, flood: float
):
    generator = random.Random(1)
    owner_state = make_owner_state(clock, runners)
    named = {f"c{n}": Customer(f"c{n}", weight=1 + n % 10) for n in range(customers)}
    configuration = Configuration(1, {}, {}, 1, named, bool(named))
    load = owner_state.customer_load
    load.find_configuration = lambda: configuration
    wall_ms = 1000 * time.time()
    for number in range(jobs):
        name = ""
        if customers:
            name = "c0" if number < flood * jobs else f"c{number % customers}"
        step = StepSpec(
            2, Resources(generator.randint(1, 4) * 1000, 2_000, 0), estimate_s=2.0
        )
        spec = JobSpec(
            f"job-{number}",
            "q",
            "",
            (step,),
            QueuePolicy(SERVICE),
            round(wall_ms - generator.uniform(0, 8_000)),
            customer=name,
        )
        load.mark(spec, wall_ms)
        job = owner_state.add_job(spec)
        job.accepted_s -= (wall_ms - spec.accepted_ms) / 1000
        used = Resources(generator.randrange(9000), 2_000, 0)
        owner_state.customer_usage.add(name, used)
        owner_state.customer_usage.by_service.add(SERVICE, name, used)
    return SimpleNamespace(
        owner_state=owner_state,
        clock=clock,
        wall_ms=lambda: 1000 * time.time(),
        operators=SimpleNamespace(configuration=configuration),
        metrics=NoMetrics(),
    )


async def measure(
    customers: int, jobs: int, runners: int, flood: float
) -> dict[str, float]:
    """Return the processor time of each decision, in milliseconds."""
    clock = BootClock()
    context = _make_context(clock, customers, jobs, runners, flood)
    pauses = JobPauses(context.owner_state)
    deferrals = Deferrals(context.owner_state)
    ready_steps = ReadySteps(context, pauses, CustomerCaps(context), deferrals)
    usable = list(context.owner_state.runner_by_id.values())
    order_ms, take_ms, listed = [], [], 0
    for _ in range(ROUNDS):
        started_s = time.process_time()
        steps = await ready_steps.find(clock.now, _never_give_way, lambda: usable)
        ordered_s = time.process_time()
        queue = ready_steps.make_queue(steps)
        listed = 0
        while queue:
            queue.pop()
            listed += 1
        take_ms.append(1000 * (time.process_time() - ordered_s))
        order_ms.append(1000 * (ordered_s - started_s))
    limits = LimitFinder(context, AllRunners())
    return {
        "listed": listed,
        "order_ms": statistics.median(order_ms),
        "take_all_ms": statistics.median(take_ms),
        "limits_ms": _median_ms(limits.update),
        "report_ms": _median_ms(CustomerReporter(context).report),
    }


def main() -> None:
    """Print the figures without customers, and with 20 and the given number."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--customers", type=int, default=620)
    parser.add_argument("--jobs", type=int, default=2000)
    parser.add_argument("--runners", type=int, default=445)
    parser.add_argument(
        "--flood", type=float, default=0.5, help="fraction of the jobs of one customer"
    )
    arguments = parser.parse_args()
    logs.configure(io.StringIO(), "error")
    for customers in (0, 20, arguments.customers):
        figures = anyio.run(
            measure, customers, arguments.jobs, arguments.runners, arguments.flood
        )
        text = " ".join(f"{name}={value:.2f}" for name, value in figures.items())
        print(f"customers={customers} jobs={arguments.jobs} {text}")


if __name__ == "__main__":
    main()
