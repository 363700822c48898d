"""Real processes under faults: a killed owner, a paused owner and a store outage.

Run ``python -m benchmarks.faults``. Prints violations found in the events that workers
recorded: tasks that ran in two places at once, workers over capacity, and acknowledged
jobs that did not end. Also prints the time from the kill of an owner to the next start,
the starts during the outage, and the time from the acceptance of a settings change
until it is in force on all daemons.
"""

import argparse
import pathlib
import random
import signal
import statistics
import tempfile
import time

from benchmarks.process_fleet import ZONES, ProcessFleet

TASK_S = 2.0
#: Jobs submitted at a time.
JOBS = 12
#: Tasks of a job.
TASKS = 400


def submit(fleet: ProcessFleet, number: int) -> str:
    """Submit a job of TASKS tasks to one of the daemons and return its id."""
    job = f"job-{number}"
    fleet.call(
        fleet.daemons[number % len(fleet.daemons)],
        "POST",
        "/v1/jobs",
        {
            "id": job,
            "zones": list(ZONES),
            "tasks": TASKS,
            "processors": 4.0,
            "job_class": f"run-{TASK_S}",
        },
    )
    return job


def count_starts(fleet: ProcessFleet, since_s: float, until_s: float) -> int:
    """Return how many attempts started in a span of monotonic time, in seconds."""
    count = 0
    for record in fleet.worker_records().values():
        for event in record:
            if event["kind"] == "start" and since_s <= event["at_s"] <= until_s:
                count += 1
    return count


def kill_owner(fleet: ProcessFleet, zone: str) -> float:
    """Kill the owner of a zone's shard, and restart it after 20 s.

    Returns the seconds from the kill to the next start in the zone, 20 if there is
    none. Starts within two run times are not counted: these tasks were assigned before
    the kill.
    """
    owner = fleet.owner_of(f"{zone}/0")
    owner.process.kill()
    owner.process.wait()
    killed_s = time.monotonic()
    time.sleep(20)
    fleet.start(owner)
    fleet.wait_ready(owner)
    starts = [
        event["at_s"]
        for worker, record in fleet.worker_records().items()
        if worker.startswith(zone)
        for event in record
        if event["kind"] == "start" and event["at_s"] > killed_s
    ]
    skipped_s = 2 * TASK_S
    later_starts_s = [at_s for at_s in starts if at_s > killed_s + skipped_s]
    return min(later_starts_s, default=killed_s + 20) - killed_s


def pause_owner(fleet: ProcessFleet, zone: str, length_s: float) -> None:
    """Pause the owner of a zone's shard for longer than its lease."""
    owner = fleet.owner_of(f"{zone}/0")
    owner.process.send_signal(signal.SIGSTOP)
    time.sleep(length_s)
    owner.process.send_signal(signal.SIGCONT)


def change_settings(fleet: ProcessFleet, count: int, interval_s: float) -> list[float]:
    """Make settings changes, with `interval_s` after each.

    Returns for each change the seconds from its acceptance until it is in force on all
    daemons.
    """
    durations_s = []
    for number in range(count):
        daemon = fleet.daemons[number % len(fleet.daemons)]
        accepted = fleet.call(
            daemon,
            "POST",
            "/v1/settings",
            {"values": {"teams/rounds/notice": str(1 + number)}},
        )
        accepted_s = time.monotonic()
        outdated = list(fleet.daemons)
        while outdated:
            health = fleet.call(outdated[0], "GET", "/v1/health")
            if health["settings_version"] >= accepted["version"]:
                outdated.pop(0)
        durations_s.append(time.monotonic() - accepted_s)
        time.sleep(interval_s)
    return durations_s


def check_records(records: dict[str, list[dict]]) -> tuple[int, int, int]:
    """Check the events that the workers recorded.

    Returns
    -------
    starts, concurrent_starts, over_capacity : int
        Number of starts, of starts of tasks that were running, and of starts that
        exceeded the 64 processors of a worker.
    """
    events = sorted(
        (event for record in records.values() for event in record),
        key=lambda event: event["at_s"],
    )
    running: dict[str, str] = {}
    used: dict[str, int] = {}
    starts = concurrent_starts = over_capacity = 0
    for event in events:
        worker = event["worker"]
        needs = event["needs"]["processors_milli"]
        if event["kind"] == "start":
            starts += 1
            concurrent_starts += event["task"] in running
            running[event["task"]] = worker
            used[worker] = used.get(worker, 0) + needs
            over_capacity += used[worker] > 64_000
            continue
        running.pop(event["task"], None)
        used[worker] -= needs
    return starts, concurrent_starts, over_capacity


def wait_for_jobs(fleet: ProcessFleet, jobs: list[str], timeout_s: float) -> list[str]:
    """Wait up to `timeout_s` for jobs to end and return those that have not ended."""
    until_s = time.monotonic() + timeout_s
    unfinished = list(jobs)
    while unfinished and time.monotonic() < until_s:
        state = fleet.call(fleet.daemons[0], "GET", f"/v1/jobs/{unfinished[0]}")[
            "state"
        ]
        if state in ("done", "failed", "cancelled"):
            unfinished.pop(0)
            continue
        time.sleep(0.5)
    return unfinished


def main() -> None:
    """Run the faults one after another and print the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--outage", type=float, default=60.0, metavar="SECONDS")
    parser.add_argument("--ahead", type=int, default=2)
    arguments = parser.parse_args()
    random.seed(1)
    folder = pathlib.Path(tempfile.mkdtemp())
    fleet = ProcessFleet(
        folder, settings=f"[scheduling]\nassign_ahead = {arguments.ahead}\n"
    )
    try:
        idle = [(d.cpu_s(), d.resident_mb()) for d in fleet.daemons]
        time.sleep(10)
        cpu = [d.cpu_s() - i[0] for d, i in zip(fleet.daemons, idle, strict=True)]
        print(f"idle: {max(cpu) / 10:.3%} of a core, {max(m for _, m in idle):.1f} MB")
        durations_s = change_settings(fleet, 50, 0.05)
        durations_s.sort()
        print(
            f"from accepted to in force, 50 changes: "
            f"median {statistics.median(durations_s):.3f} s, "
            f"largest {durations_s[-1]:.3f} s"
        )
        before = fleet.call_platform("GET", "/counts")
        started_s = time.monotonic()
        jobs = [submit(fleet, number) for number in range(JOBS)]
        time.sleep(10)
        after = fleet.call_platform("GET", "/counts")
        steady_s = time.monotonic() - started_s
        starts = count_starts(fleet, started_s, time.monotonic())
        rows = after["rows_written"] - before["rows_written"]
        reads = after["reads"] - before["reads"]
        print(
            f"steady: {starts / steady_s:.1f} starts/s, {rows / steady_s:.1f} rows/s, "
            f"{rows / starts:.3f} rows per start, {reads / steady_s:.1f} reads/s"
        )
        print(f"owner killed: next start after {kill_owner(fleet, 'powys'):.1f} s")
        pause_owner(fleet, "gwynedd", 15)
        jobs += [submit(fleet, JOBS + number) for number in range(JOBS)]
        time.sleep(5)
        outage_start_s = time.monotonic()
        fleet.call_platform("POST", "/faults", {"down": True})
        time.sleep(arguments.outage)
        fleet.call_platform("POST", "/faults", {"down": False})
        outage_end_s = time.monotonic()
        outage_starts = count_starts(fleet, outage_start_s, outage_end_s)
        print(
            f"store outage of {arguments.outage:.0f} s: "
            f"{outage_starts} starts during the outage"
        )
        unfinished = wait_for_jobs(fleet, jobs, 240)
        starts, concurrent_starts, over_capacity = check_records(fleet.worker_records())
        print(
            f"{starts} starts, {concurrent_starts} in two places, "
            f"{over_capacity} over capacity"
        )
        print(f"{len(jobs)} jobs acknowledged, {len(unfinished)} not ended")
    finally:
        print(f"exit codes {fleet.stop()}, logs in {folder}")


if __name__ == "__main__":
    main()
