"""One of the accepted submissions, a large one, is cancelled."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from deployment import Deployment, call, make_config, make_runner, run_case  # noqa: E402

TASKS = 12_000
RUNNERS = 12
#: Submissions beside the large one, so that one of eight is cancelled.
OTHERS = 7
CANCEL_S = 3.0
STOP_S = 0.9
WATCH_S = 40.0
ASK_INTERVAL_S = 0.5


class Watcher:
    """Asks each instance for a state all the time, and notes when it answers."""

    def __init__(self, deployment: Deployment, path: str):
        self.silent_s_by_node = {node.name: 0.0 for node in deployment.nodes}
        self._ended = threading.Event()
        self._threads = []
        for node in deployment.nodes:
            arguments = (node, path)
            thread = threading.Thread(target=self._watch, args=arguments, daemon=True)
            thread.start()
            self._threads.append(thread)

    def _watch(self, node, path: str) -> None:
        answered_s = time.monotonic()
        while not self._ended.is_set():
            status, _ = call(node.front_port, "GET", path, timeout_s=3.0)
            now_s = time.monotonic()
            longest_s = self.silent_s_by_node[node.name]
            self.silent_s_by_node[node.name] = max(longest_s, now_s - answered_s)
            if status == 200:
                answered_s = now_s
            time.sleep(ASK_INTERVAL_S)

    def end(self) -> None:
        """Stop asking."""
        self._ended.set()
        for thread in self._threads:
            thread.join()


def play(deployment: Deployment, trouble: bool) -> str:
    """Play the case; return what broke the rule."""
    queues = {
        "watch": {"Service": "rounds", "TargetLatencyMs": 2500, "MaxAttempts": 4},
        "rounds": {"Service": "rounds", "Priority": 2, "MaxAttempts": 2},
    }
    deployment.put("op", "config", make_config(queues, ("rounds",)))
    runners = []
    for number in range(RUNNERS):
        zone = ("gwynedd", "powys")[number % 2]
        runner = make_runner(number, zone, "rounds", 64_000, f"r{number // 4}")
        runners.append(runner)
    for first in range(0, RUNNERS, 2):
        deployment.start_runners(runners[first : first + 2])
    deployment.start_nodes(["gwynedd", "powys", "gwynedd"])
    others = [f"{0xAAA0 + number:016x}" for number in range(OTHERS)]
    large = "5c0e7a21d94b36f8"
    lasting = {"Count": 6, "Cpu": 500, "MemMb": 1000, "LongRunning": True}
    lasting = {"Spec": '{"cpu": 500}', "Phases": [{**lasting, "MayMiss": 1}]}
    for number, job in enumerate(others):
        deployment.ask("POST", f"/watch/{job}", lasting, number)
    phase = {"Count": TASKS, "Cpu": 50, "MemMb": 10, "EstimateMs": 1_000_000}
    body = {"Spec": '{"cpu": 50, "run_s": 1000}', "Phases": [phase]}
    deployment.ask("POST", f"/rounds/{large}", body)
    until_s = time.monotonic() + 45
    while time.monotonic() < until_s:
        time.sleep(0.5)
        starts = [run for run in deployment.runs() if run[2] == "start"]
        if len(starts) >= TASKS + 6 * OTHERS:
            break
    deployment.note(f"{len(starts)} tasks have started")
    time.sleep(3.0)
    watcher = Watcher(deployment, f"/watch/{others[0]}")
    time.sleep(2.0)
    if trouble:
        status, _ = deployment.ask("DELETE", f"/rounds/{large}")
        if status != 200:
            watcher.end()
            return ""
    cancelled_s = time.monotonic() - deployment.started_s
    time.sleep(WATCH_S)
    watcher.end()
    for name, silent_s in watcher.silent_s_by_node.items():
        deployment.note(f"{name} has answered no GET for {silent_s:.1f} s at the most")
    ends = [run for run in deployment.runs() if run[2] in ("stopped", "lapsed")]
    deployment.note(f"{sum(run[2] == 'lapsed' for run in ends)} runs have lapsed")
    late = [run for run in ends if run[3].startswith(large)]
    late = [run for run in late if run[0] > cancelled_s + CANCEL_S + STOP_S]
    ended_others = [run for run in ends if not run[3].startswith(large)]
    silent_s = min(watcher.silent_s_by_node.values())
    if not trouble or not late:
        return ""
    last_s = max(run[0] for run in late) - cancelled_s
    return (
        f"UNASKED: {len(late)} tasks of the cancelled submission ran on for more than "
        f"{CANCEL_S + STOP_S:.1f} s after its acknowledgement, the last for "
        f"{last_s:.1f} s; every instance gave no answer for {silent_s:.1f} s or more; "
        f"{len(ended_others)} runs of other submissions ended"
    )


if __name__ == "__main__":
    sys.exit(run_case(play, FOLDER))
