"""A few scheduled submissions with many past due times take every instance down."""

import contextlib
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

from harness import MEMORY_MB, CouldNotRun, find_lost, new_job_id, run_case, work

#: Submissions that can never be done, among 60 others: the pages' share is 0.05.
POISON = 3
ORDINARY = 60
#: Seconds between two ordinary submissions.
PAUSE_S = 0.5
#: Seconds after the last submission in which all of them have to end (`finish_s`).
FINISH_S = 14.0
#: Seconds after which the platform restarts a process that it has killed.
RESTART_S = 1.0


class Platform(threading.Thread):
    """Kills processes that exceed `MemoryMb` and restarts them."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.ending = threading.Event()
        self.kills = []
        self.peak_mb = 0.0

    def run(self):
        """Watch until `ending` is set."""
        while not self.ending.wait(0.05):
            for node in self.deployment.nodes:
                with contextlib.suppress(OSError, ValueError, CouldNotRun):
                    self._check(node)

    def _check(self, node):
        if node.process.poll() is not None:
            return
        pages = pathlib.Path(f"/proc/{node.process.pid}/statm").read_text().split()[1]
        resident_mb = int(pages) * 4096 / 1e6
        self.peak_mb = max(self.peak_mb, resident_mb)
        if resident_mb <= MEMORY_MB:
            return
        self.kills.append(node.name)
        self.deployment.note(f"{node.name} has {resident_mb:.0f} MB and is killed")
        self.deployment.kill(node.process)
        time.sleep(RESTART_S)
        self.deployment.start_node(node)


def play(deployment, trouble):
    """Submit ordinary work, with a few submissions that can never be done."""
    route = {"MaxAttempts": 3, "TargetLatencyMs": 1000, "Stretch": 1.5}
    deployment.put_config(
        [
            {"Name": "round", "PathPrefix": "/round/", "Priority": 0, **route},
            {"Name": "timed", "PathPrefix": "/timed/", "Priority": 2, **route},
        ]
    )
    for number in range(1, 7):
        deployment.add_runner(f"i-000000000{number}", rack=f"r1-{number}")
    deployment.add_nodes(3)
    platform = Platform(deployment)
    platform.start()
    time.sleep(2.0)
    phase = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 500}
    ordinary = {"Spec": work(500), "Phases": [phase]}
    day_ms = 24 * 3600 * 1000
    poison = {
        "Spec": work(500),
        "Phases": [{**phase, "Count": 1, "Requires": "no-such-label"}],
        "Times": 365 * 24 * 60,
        "StartAtMs": round(1000 * time.time()) - 60 * day_ms,
        "IntervalMs": 60_000,
    }
    jobs = []
    for number in range(ORDINARY):
        if trouble != "0" and number in (5, 6, 7)[:POISON]:
            deployment.submit("/timed/", new_job_id(), poison)
        job = new_job_id()
        if deployment.submit("/round/", job, ordinary):
            jobs.append(job)
        time.sleep(PAUSE_S)
    if len(jobs) < ORDINARY // 2:
        raise CouldNotRun("most submissions were not accepted")
    time.sleep(FINISH_S)
    lost = find_lost(deployment, "/round/", jobs)
    platform.ending.set()
    platform.join(5)
    deployment.note(f"{len(jobs)} ordinary submissions were accepted; lost: {lost}")
    deployment.note(f"killed: {platform.kills}; peak: {platform.peak_mb:.0f} MB")
    if not lost:
        return ""
    return f"LOST: {FINISH_S} s after the last submission: {lost} of {len(jobs)}"


if __name__ == "__main__":
    run_case(__file__, play)
