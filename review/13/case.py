"""Runners crash and come back while submissions are handed in."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from deployment import Deployment, make_config, make_runner, run_case  # noqa: E402

RUNNERS = 14
CRASHED = 2
#: Seconds from one wave of crashes to the next, and until the machines are back.
WAVE_S = 4.0
DOWN_S = 1.5
TRAFFIC_S = 60.0
PER_S = 3.0
FINISH_S = 14.0


def play(deployment: Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    queues = {
        "watch": {"Service": "rounds", "TargetLatencyMs": 2500, "MaxAttempts": 4},
        "rounds": {"Service": "rounds", "Priority": 2, "MaxAttempts": 2},
    }
    deployment.put("op", "config", make_config(queues, ("rounds",)))
    runners, processes = [], []
    for number in range(RUNNERS):
        zone = ("gwynedd", "powys")[number % 2]
        runner = make_runner(number, zone, "rounds", 64_000, f"r{number // 4}")
        runners.append(runner)
        processes.append(deployment.start_runners([runner]))
    deployment.start_nodes(["gwynedd", "powys", "gwynedd"])
    batch = {"Count": 8, "Cpu": 2000, "MemMb": 1000, "EstimateMs": 2700}
    batch = {"Spec": '{"cpu": 2000, "run_s": 2.7}', "Phases": [batch]}
    lasting = {"Count": 6, "Cpu": 500, "MemMb": 1000, "LongRunning": True}
    lasting = {"Spec": '{"cpu": 500}', "Phases": [lasting]}
    began_s = time.monotonic()
    next_wave_s, first, lives = began_s + 3.0, 0, 0
    down: list[tuple[float, int]] = []
    jobs = []
    while (now_s := time.monotonic()) < began_s + TRAFFIC_S:
        if trouble and now_s >= next_wave_s:
            next_wave_s += WAVE_S
            for offset in range(CRASHED):
                number = (first + offset) % RUNNERS
                processes[number].kill()
                deployment.note(f"{runners[number]['id']} crashes")
                down.append((now_s + DOWN_S, number))
            first += CRASHED
        for item in [item for item in down if item[0] <= now_s]:
            down.remove(item)
            lives += 1
            number = item[1]
            runners[number] = {
                **runners[number],
                "id": f"i-rounds-{number}-{lives}",
                "port": 0,
            }
            processes[number] = deployment.start_runners([runners[number]])
        if len(jobs) < PER_S * (now_s - began_s):
            number = len(jobs)
            queue = "watch" if number % 10 == 0 else "rounds"
            job = f"{0x5C0E7A21D94B0000 + number:016x}"
            body = lasting if queue == "watch" else batch
            status, _ = deployment.ask("POST", f"/{queue}/{job}", body, number)
            if status == 200:
                jobs.append((queue, job))
        time.sleep(0.01)
    for _, number in down:
        deployment.start_runners([{**runners[number], "id": f"i-back-{number}"}])
    time.sleep(FINISH_S)
    failed_ends = {
        run[3].partition(".")[0] for run in deployment.runs() if run[2] == "failed"
    }
    lost = []
    for queue, job in jobs:
        _, fields = deployment.ask("GET", f"/{queue}/{job}")
        if fields.get("State") == "failed" and job not in failed_ends:
            lost.append(f"{queue}/{job}")
    if not lost:
        return ""
    return (
        f"LOST: {len(lost)} of {len(jobs)} accepted submissions are shown as failed, "
        f"and no run of them has ended failed: {' '.join(lost[:8])}"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
