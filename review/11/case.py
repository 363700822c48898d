"""A zone loses power while a submission with many small tasks runs there."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from deployment import Deployment, make_config, make_runner, run_case  # noqa: E402

TASKS = 3600
TASK_S = 1000.0
#: The machines and the runners of the zone are back within this time.
DOWN_S = 1.2
#: A submission is handed in this long after the zone is back, and asked for later.
SETTLE_S = 20.0
FINISH_S = 14.0
NOTHING_RUNS_S = 3.0


def play(deployment: Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    queues = {"rounds": {"Service": "rounds", "TargetLatencyMs": 1000}}
    deployment.put("op", "config", make_config(queues, ("rounds",)))
    lost, kept = [], []
    for number in range(6):
        zone = "gwynedd" if number < 4 else "powys"
        runner = make_runner(number, zone, "rounds", 64_000, f"r-{zone}")
        (lost if zone == "gwynedd" else kept).append(runner)
    lost_process = deployment.start_runners(lost)
    deployment.start_runners(kept)
    deployment.start_nodes(["gwynedd"])
    deployment.start_nodes(["powys", "powys"])
    owner = deployment.find_owner()
    deployment.note(f"owner: {owner.name if owner else None}")
    job, after = "5c0e7a21d94b36f8", "5c0e7a21d94b3700"
    phase = {"Count": TASKS, "Cpu": 50, "MemMb": 10, "EstimateMs": 1000 * TASK_S}
    spec = f'{{"cpu": 50, "run_s": {TASK_S}}}'
    deployment.ask("POST", f"/rounds/{job}", {"Spec": spec, "Phases": [phase]})
    until_s = time.monotonic() + 40
    while time.monotonic() < until_s:
        starts = [run for run in deployment.runs() if run[2] == "start"]
        if len(starts) >= TASKS:
            break
        time.sleep(0.5)
    deployment.note(f"{len(starts)} tasks have started")
    time.sleep(3.0)
    if trouble:
        deployment.note("zone gwynedd loses power")
        fallen = [node for node in deployment.nodes if node.zone == "gwynedd"]
        lost_process.kill()
        for node in fallen:
            node.kill()
        time.sleep(DOWN_S)
        for node in fallen:
            node.start()
        deployment.start_runners(lost)
        deployment.note("zone gwynedd is back")
    time.sleep(SETTLE_S)
    short = {
        "Spec": '{"cpu": 50, "run_s": 0.5}',
        "Phases": [{"Count": 1, "Cpu": 50, "MemMb": 10, "EstimateMs": 500}],
    }
    status, _ = deployment.ask("POST", f"/rounds/{after}", short, 1)
    if status != 200:
        return ""
    time.sleep(FINISH_S + NOTHING_RUNS_S)
    _, fields = deployment.ask("GET", f"/rounds/{after}", None, 1)
    deployment.note(f"rows refused for their size: {deployment.refused_rows()[:3]}")
    deployment.note(f"of which there are {len(deployment.refused_rows())}")
    if fields.get("State") not in ("pending", None):
        return ""
    return (
        f"LOST: an accepted submission is {fields.get('State')!r} "
        f"{FINISH_S + NOTHING_RUNS_S:.0f} s after the end of the traffic, and the "
        "runners have room"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
