"""The part of rule LOST on submissions with nothing running, by what was recorded."""

import asyncio
import time

from deployment import Deployment

#: Seconds after the end of the traffic after which submissions are asked for.
FINISH_S = 14.0
#: Seconds for which a submission must have nothing running.
IDLE_S = 3.0
FINAL_STATES = ("done", "failed", "cancelled")


def find_runs(lines: list[dict], at_s: float) -> dict[tuple[str, str], dict]:
    """Return what runs at a time, by runner and task, as the runners recorded it."""
    runs = {}
    for line in sorted(lines, key=lambda line: line["at"]):
        if line["at"] > at_s:
            break
        if line["kind"] == "start":
            runs[line["runner"], line["task"]] = line
        elif line["kind"] == "end":
            runs.pop((line["runner"], line["task"]), None)
        elif line["kind"] in ("crashed", "lost"):
            for key in [key for key in runs if key[0] == line["runner"]]:
                del runs[key]
    return runs


def find_room(
    deployment: Deployment, runs: dict, service: str, cpu: int, mem: int
) -> tuple[int, float]:
    """Return how many such tasks fit on a service, and the share of it in use."""
    fitting, used_cpu, all_cpu = 0, 0, 0
    for runner, life in deployment.runners.items():
        if life["service"] != service or life["process"].poll() is not None:
            continue
        free_cpu, free_mem = life["cpu"], life["mem"]
        for (holder, _), run in runs.items():
            if holder == runner:
                free_cpu -= int(run["spec"].split()[1])
                free_mem -= int(run["spec"].split()[2])
        fitting += max(0, min(free_cpu // cpu, free_mem // mem))
        all_cpu += life["cpu"]
        used_cpu += life["cpu"] - free_cpu
    return fitting, used_cpu / all_cpu


async def judge_idle(
    deployment: Deployment,
    job: str,
    ended_s: float,
    count: int,
    cpu: int,
    mem: int,
    service: str,
    prefix: str,
) -> str:
    """Return how a submission broke the rule, or an empty text.

    Its ``count`` tasks wait for nothing but a runner.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    job : str
        The submission.
    ended_s : float
        When the traffic and the disruption had ended, by the time of day, in seconds.
    count, cpu, mem : int
        Number of the tasks whose turn has come, and what each of them requests.
    service, prefix : str
        Service and path of the submission's queue.
    """
    await asyncio.sleep(max(0.0, ended_s + FINISH_S - time.time()))
    until_s = time.time() + IDLE_S
    while time.time() < until_s:
        state = await deployment.state(job, prefix)
        if state in FINAL_STATES:
            return ""
        # The runners' records are written at once.
        runs = find_runs(deployment.lines(), time.time())
        if any(task.startswith(job) for _, task in runs):
            return ""
        fitting, used = find_room(deployment, runs, service, cpu, mem)
        deployment.note("idle", job=job, state=state, fitting=fitting, used=used)
        if fitting < 2 * count or used >= 0.5:
            return ""
        await asyncio.sleep(0.25)
    waited_s = round(time.time() - ended_s, 1)
    return (
        f"LOST: {waited_s} s after the end of the traffic submission {job} is {state} "
        f"and has had nothing running for {IDLE_S} s; {fitting} such tasks fit, "
        f"{count} wait, {100 * used:.0f}% of the service is in use"
    )
