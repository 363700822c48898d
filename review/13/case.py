"""A runner restarts behind a cut; two calls to its former life are carried out late."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from deployment import Deployment, call, make_config, make_runner, run_case  # noqa: E402

RUNNERS = 7
TRAFFIC_S = 30.0
PER_S = 6.0
#: From when a start order with an acknowledgement right behind it is looked for.
ARMED_AFTER_S = 6.0
#: For how long the runner is cut off, and when the calls come late after that began.
CUT_S = 5.5
START_LATE_S = 2.0
HOLD_LATE_S = 4.0
WATCH_S = 30.0


def play(deployment: Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    queues = {"rounds": {"Service": "rounds"}}
    deployment.put("op", "config", make_config(queues, ("rounds",)))
    runners = []
    for number in range(RUNNERS):
        zone = ("gwynedd", "powys")[number % 2]
        runners.append(make_runner(number, zone, "rounds", 16_000, f"r{number // 4}"))
    first = runners[0]
    process = deployment.start_runners([first])
    deployment.start_runners(runners[1:])
    deployment.start_nodes(["gwynedd", "powys", "gwynedd"])
    phase = {"Count": 6, "Cpu": 2000, "MemMb": 100, "EstimateMs": 1000}
    body = {"Spec": '{"cpu": 2000, "run_s": 1}', "Phases": [phase]}
    began_s = time.monotonic()
    is_armed = is_over = False
    count = 0
    while (now_s := time.monotonic()) < began_s + TRAFFIC_S:
        if count < PER_S * (now_s - began_s):
            job = f"{0x5C0E7A21D94B0000 + count:016x}"
            deployment.ask("POST", f"/rounds/{job}", body, count)
            count += 1
        if trouble and not is_armed and now_s > began_s + ARMED_AFTER_S:
            is_armed = True
            call(first["port"], "POST", "/control/arm")
        if is_armed and not is_over:
            kept = call(first["port"], "GET", "/control/kept")[1].get("kept", [])
            if kept:
                is_over = True
                cut_s = time.monotonic()
                process.kill()
                (_, start), (_, hold) = kept
                deployment.note(f"{first['id']} is cut off and crashes; {kept}")
                late = [
                    [cut_s + START_LATE_S, "/-/run-start", start],
                    [cut_s + HOLD_LATE_S, "/-/hold", hold],
                ]
                again = {**first, "late": late, "deaf_until_s": cut_s + CUT_S}
                deployment.start_runners([again])
        time.sleep(0.005)
    time.sleep(WATCH_S)
    if trouble and not is_over:
        raise RuntimeError("no start order with an acknowledgement right after it")
    return find_second_start(deployment.runs())


def find_second_start(runs: list[tuple]) -> str:
    """Return a start of a task after its end `done` was taken note of."""
    done_by_task: dict[str, tuple] = {}
    noted: set[str] = set()
    for at_s, runner, what, task, run in runs:
        if what == "done":
            done_by_task[task] = (runner, run)
        if what == "reopened" and done_by_task.get(task) == (runner, run):
            # The lease lapsed before note was taken of the end.
            del done_by_task[task]
        if what == "noted" and done_by_task.get(task) == (runner, run):
            noted.add(task)
        if what == "start" and task in noted:
            former_runner, former = done_by_task[task]
            return (
                f"TWICE: run {run} of {task} starts on {runner} at {at_s:.2f} s, after "
                f"run {former} has ended done on {former_runner} and note was taken"
            )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
