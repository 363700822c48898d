"""A late order starts a task on a reborn runner while it runs on another one."""

import asyncio
import pathlib
import sys
import time

from deployment import Deployment, Unplayable, play
from judge import find_runs
from proxy import Proxy

RUNNERS = 7
JOB = "bbbb000000000007"
TASK = f"{JOB}.0.0.0"
#: Seconds from the order without an answer until its runner is cut off, and until the
#: order is carried out; for how long the runner is cut off.
CUT_AFTER_S, LATE_S, CUT_S = 3.0, 5.5, 5.5
#: Seconds after the cut for which the tasks are looked at.
REST_S = 4.0


async def case(deployment: Deployment, trouble: bool) -> str:
    """Return how the rule was broken, or an empty text."""
    lost: list[tuple[str, float]] = []

    def loses(proxy: Proxy, path: str, body: dict) -> bool:
        if not trouble or lost or path != "/-/run-start" or body["Task"] != TASK:
            return False
        lost.append((name_by_proxy[proxy], time.monotonic()))
        deployment.note("unanswered", runner=name_by_proxy[proxy], task=TASK, run=1)
        return True

    deployment.start_store()
    await deployment.put_config()
    name_by_proxy: dict[Proxy, str] = {}
    for number in range(RUNNERS):
        proxy = Proxy(loses)
        await proxy.start()
        name = f"i-{number:08x}"
        name_by_proxy[proxy] = name
        deployment.start_runner(name, f"m-{number}", announced=proxy.port)
        proxy.runner_port = deployment.runners[name]["port"]
    for number in range(3):
        deployment.start_daemon(f"front-a-{number}")
    await deployment.wait_ready()
    await asyncio.sleep(6)
    phase = {"Count": 1, "Cpu": 4000, "MemMb": 1000, "EstimateMs": 400}
    phase["LongRunning"] = True
    await deployment.submit(JOB, "0.5 4000 1000 lasts once", [phase])
    await asyncio.sleep(1)
    if trouble and not lost:
        raise Unplayable("no start order was seen")
    if trouble:
        await disturb(deployment, {n: p for p, n in name_by_proxy.items()}, *lost[0])
    else:
        await asyncio.sleep(CUT_AFTER_S + CUT_S)
    await asyncio.sleep(REST_S)
    return find_two_runs(deployment)


async def disturb(deployment, proxy_by_name, name: str, sent_s: float) -> None:
    """Cut a runner off, which starts again behind the cut and gets the late order."""
    proxy = proxy_by_name[name]
    await asyncio.sleep(sent_s + CUT_AFTER_S - time.monotonic())
    proxy.is_cut = True
    deployment.note("cut", runner=name)
    deployment.crash_runner(name)
    await asyncio.sleep(0.5)
    deployment.start_again(name)
    await asyncio.sleep(sent_s + LATE_S - time.monotonic())
    for path, body, status, _ in await proxy.deliver_late():
        late_s = round(time.monotonic() - sent_s, 1)
        deployment.note(
            "carried_late", path=path, run=body["Run"], status=status, late_s=late_s
        )
    await asyncio.sleep(sent_s + CUT_AFTER_S + CUT_S - time.monotonic())
    proxy.is_cut = False
    deployment.note("healed", runner=name)


def find_two_runs(deployment: Deployment) -> str:
    """Return which runs of the task were there at once, or an empty text."""
    lines = deployment.lines()
    for line in lines:
        if line["kind"] != "start" or line["task"] != TASK:
            continue
        at_once = []
        for (runner, task), start in find_runs(lines, line["at"]).items():
            if task == TASK:
                at_once.append(f"run {start['run']} on {runner}")
        if len(at_once) > 1:
            return f"TWICE: {' and '.join(at_once)} of {TASK} at the same time"
    return ""


sys.exit(play(case, pathlib.Path(__file__).parent))
