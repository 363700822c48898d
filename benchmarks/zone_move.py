"""Work completed while a zone leaves and returns, against a baseline that waits.

Run ``python -m benchmarks.zone_move``. Two zones of four workers in virtual time; one
is taken out for 60 s in the middle of 180 s. The baseline's batch may run only where
it was submitted and waits for its zone.
"""

import io
from statistics import mean

import anyio

from flamingoweir import logs
from tests.utils.builders import make_spec, make_timings
from tests.utils.fleet import Fleet
from tests.utils.virtual_time import run_virtual

ZONES = ("gwynedd", "powys")
TASK_S = 15.0


async def run(movable: bool, seed: int, out: bool, load: float) -> int:
    """Return the tasks done in 180 s."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, ZONES, 2, 4, seed, make_timings())
        fleet.start()
        await anyio.sleep(5.0)
        node = fleet.live_nodes()[0]
        for number in range(18):
            if out and number == 6:
                await change(node, "gwynedd", "out")
            if out and number == 12:
                await change(node, "gwynedd", "in")
            zones = list(ZONES) if movable else [ZONES[number % 2]]
            await node.handler.jobs.submit(
                make_spec(
                    id=f"job-{number}",
                    zones=zones,
                    tasks=part_tasks(load),
                    job_class=f"run-{TASK_S}",
                )
            )
            await anyio.sleep(10.0)
        done = 0
        for worker in fleet.worker_by_name.values():
            worker.advance()
            done += sum(event.kind == "done" for event in worker.records)
        tasks.cancel_scope.cancel()
    return done


def part_tasks(load: float) -> int:
    """Return the tasks of a job that comes every 10 s, for a part of the capacity."""
    slots = 2 * 4 * 4
    return round(load * slots / TASK_S * 10)


async def change(node, zone: str, state: str) -> None:
    """Take a zone out or bring it back."""
    values = {f"zones/{zone}/state": state}
    await node.store.propose(f"z-{state}", "operators", values, None, "")
    node.peers.announce()


def main() -> None:
    """Compare over five seeds."""
    logs.configure(io.StringIO(), "error")
    for load in (0.4, 0.6, 0.9):
        moved, waited = [], []
        for seed in range(5):
            whole = run_virtual(run, True, seed, False, load)
            moved.append(run_virtual(run, True, seed, True, load) / whole)
            waited.append(run_virtual(run, False, seed, True, load) / whole)
        print(
            f"load {load:.0%}: of the work done without a move, {mean(moved):.1%} with "
            f"batch moving, {mean(waited):.1%} with batch waiting"
        )


if __name__ == "__main__":
    main()
