"""A scheduled submission loses an occurrence when the owner's process is killed."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

from harness import CouldNotRun, new_job_id, run_case, work

#: Time between the occurrences of the scheduled submission, in seconds.
INTERVAL_S = 4.0
#: Run time of its tasks, in seconds.
RUN_S = 3.0
#: Until when other work holds both runners, in seconds after the first due time.
BUSY_S = 5.5


def play(deployment, trouble):
    """Fill the runners past two due times, then kill the owner.

    With TROUBLE ``term`` the owner gets SIGTERM instead, and shuts down in order.
    """
    route = {"MaxAttempts": 3, "TargetLatencyMs": 1000, "Stretch": 1.0}
    deployment.put_config(
        [
            {"Name": "filling", "PathPrefix": "/fill/", "Priority": 0, **route},
            {"Name": "timed", "PathPrefix": "/timed/", "Priority": 1, **route},
        ]
    )
    for number in (1, 2):
        deployment.add_runner(f"i-000000000{number}", rack=f"r1-{number}")
    deployment.add_nodes(3)
    time.sleep(1.5)
    due_s = time.time() + 1.5
    ms = round(1000 * (due_s + BUSY_S - time.time()))
    phase = {"Count": 2, "Cpu": 8000, "MemMb": 1000, "EstimateMs": ms}
    filling = {"Spec": work(ms, cpu=8000), "Phases": [phase]}
    if not deployment.submit("/fill/", new_job_id(), filling):
        raise CouldNotRun("the filling work was not accepted")
    job = new_job_id()
    phase = {"Count": 2, "Cpu": 8000, "MemMb": 1000, "EstimateMs": 1000 * RUN_S}
    timed = {
        "Spec": work(1000 * RUN_S, cpu=8000),
        "Phases": [phase],
        "Times": 3,
        "StartAtMs": round(1000 * due_s),
        "IntervalMs": round(1000 * INTERVAL_S),
    }
    if not deployment.submit("/timed/", job, timed):
        raise CouldNotRun("the scheduled submission was not accepted")
    deployment.note(f"occurrence 0 is due at {due_s - deployment.started_s:.3f}")
    deployment.wait_for(
        "a start of occurrence 1",
        lambda: deployment.find_events("start", task=f"{job}.1.0.0"),
        30,
    )
    if deployment.find_events("start", task=f"{job}.0.0.0"):
        raise CouldNotRun("occurrence 0 was started first")
    if trouble != "0":
        time.sleep(0.3)
        owner = deployment.find_owner()
        if trouble == "term":
            deployment.note(f"SIGTERM of {owner.name}, which gives the orders")
            owner.process.terminate()
            owner.process.wait(10)
        else:
            deployment.note(f"SIGKILL of {owner.name}, which gives the orders")
            deployment.kill(owner.process)
        time.sleep(1.0)
        deployment.start_node(owner)
    until_s = time.time() + 45.0
    state = shown = ""
    while time.time() < until_s and state not in ("done", "failed"):
        state = deployment.state("/timed/", job)
        if state != shown:
            deployment.note(f"GET /timed/{job}: {state}")
            shown = state
        time.sleep(0.25)
    done = {event["task"] for event in deployment.find_events("end", how="done")}
    tasks = [f"{job}.{k}.0.{index}" for k in range(3) for index in range(2)]
    missing = [task for task in tasks if task not in done]
    deployment.note(f"tasks without an end `done`: {missing}")
    if state != "done":
        raise CouldNotRun(f"the submission is still {state!r}")
    if not missing:
        return ""
    return f"MIXED: shown as done while these tasks never ran: {missing}"


if __name__ == "__main__":
    run_case(__file__, play)
