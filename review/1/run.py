"""An entry that lacks its address stops the scheduler on every instance."""

import base64
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

from harness import CouldNotRun, call, find_lost, new_job_id, run_case, work

#: What another writer puts into the list of runners: the address is empty, which on
#: the pages is the same as a field that is missing.
ENTRY = {
    "Service": "dail-sched",
    "Address": "",
    "Zone": "powys",
    "State": "ready",
    "Capacity": {"Cpu": 8000, "MemMb": 32000, "Gpu": 0},
    "Labels": ["a", "r1-9"],
}
SUBMISSIONS = 10
#: Seconds after the last submission in which all of them have to end (`finish_s`).
FINISH_S = 14.0


def play(deployment, trouble):
    """Write one entry to the list of runners, then hand work in."""
    route = {"MaxAttempts": 3, "TargetLatencyMs": 1000, "Stretch": 2.0}
    deployment.put_config([{"Name": "round", "PathPrefix": "/round/", **route}])
    for number in range(1, 7):
        deployment.add_runner(f"i-000000000{number}", rack=f"r1-{number}")
    deployment.add_nodes(3)
    time.sleep(2.0)
    if trouble != "0":
        value = base64.b64encode(json.dumps(ENTRY).encode()).decode()
        row = {"Table": "servers", "part": "", "Key": "i-000000000f", "Value": value}
        body = {"Precondition": [], "SetKeys": [row], "DeleteKeys": []}
        call(deployment.store, "POST", "/-/rows-tx", body)
        deployment.note(f"another writer puts servers/i-000000000f: {ENTRY}")
        time.sleep(1.0)
    phase = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 500}
    body = {"Spec": work(500), "Phases": [phase]}
    jobs = []
    for _ in range(SUBMISSIONS):
        job = new_job_id()
        if deployment.submit("/round/", job, body):
            jobs.append(job)
        time.sleep(0.3)
    if not jobs:
        raise CouldNotRun("no submission was accepted")
    time.sleep(FINISH_S)
    lost = find_lost(deployment, "/round/", jobs)
    starts = len(deployment.find_events("start"))
    deployment.note(f"{len(jobs)} accepted; lost: {lost}; starts: {starts}")
    if not lost:
        return ""
    return f"LOST: {FINISH_S} s after the traffic: {lost} of {len(jobs)}"


if __name__ == "__main__":
    run_case(__file__, play)
