"""Tasks completed while a zone is out, with batch jobs that can move or must wait.

Run ``python -m benchmarks.zone_move``. Two zones of four workers run in virtual time,
and one of them is out for 60 s in the middle of 180 s. The jobs of the baseline may
run in one zone only, so that half of them wait until their zone is back.
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


async def run(movable: bool, seed: int, zone_out: bool, load: float) -> int:
    """Run the fleet and return the number of tasks done in 180 s.

    Parameters
    ----------
    movable : bool
        Whether jobs may run in both zones.
    seed : int
        Seed of the fleet.
    zone_out : bool
        Whether a zone is taken out and back.
    load : float
        Submitted work as a fraction of the fleet's capacity.
    """
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, ZONES, 2, 4, seed, make_timings())
        fleet.start()
        await anyio.sleep(5.0)
        node = fleet.live_nodes()[0]
        for number in range(18):
            if zone_out and number == 6:
                await set_zone_state(node, "gwynedd", "out")
            if zone_out and number == 12:
                await set_zone_state(node, "gwynedd", "in")
            zones = list(ZONES) if movable else [ZONES[number % 2]]
            await node.handler.jobs.submit(
                make_spec(
                    id=f"job-{number}",
                    zones=zones,
                    tasks=tasks_per_job(load),
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


def tasks_per_job(load: float) -> int:
    """Return the number of tasks of each job, for a fraction of the capacity.

    A job is submitted every 10 s; each of the 8 workers runs 4 tasks at a time.
    """
    slots = 2 * 4 * 4
    return round(load * slots / TASK_S * 10)


async def set_zone_state(node, zone: str, state: str) -> None:
    """Change the state of a zone to ``out`` or ``in``."""
    values = {f"zones/{zone}/state": state}
    await node.store.propose(f"z-{state}", "operators", values, None, "")
    node.peers.announce()


def main() -> None:
    """Print the completed work for three loads, averaged over five seeds."""
    logs.configure(io.StringIO(), "error")
    for load in (0.4, 0.6, 0.9):
        moved, waited = [], []
        for seed in range(5):
            undisturbed = run_virtual(run, True, seed, False, load)
            moved.append(run_virtual(run, True, seed, True, load) / undisturbed)
            waited.append(run_virtual(run, False, seed, True, load) / undisturbed)
        print(
            f"load {load:.0%}: of the work done without a zone-out, {mean(moved):.1%} "
            f"with batch jobs that move, {mean(waited):.1%} with jobs that wait"
        )


if __name__ == "__main__":
    main()
