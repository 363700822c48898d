"""A cancelled submission runs, as the machine that got it was frozen meanwhile."""

import asyncio
import pathlib
import signal
import sys
import time

from deployment import HOST, PREFIX, Deployment, play
from judge import find_runs
from mini_http import call

JOB = "bbbb000000000006"
STEP = {"Count": 2, "Cpu": 4000, "MemMb": 1000, "EstimateMs": 400, "LongRunning": True}
SUBMISSION = {"Spec": "0 4000 1000 lasts", "Phases": [STEP]}
#: Seconds for which the machine is frozen, and from then to the submission.
FREEZE_S, BEFORE_S = 4.0, 0.2
#: Seconds for which the consumer waits, as its header says.
DEADLINE_S = 3.0
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0


async def case(deployment: Deployment, trouble: bool) -> str:
    """Return how the rule was broken, or an empty text."""
    deployment.start_store()
    await deployment.put_config()
    for number in range(6):
        deployment.start_runner(f"i-{number:08x}", f"m-{number}")
    for number in range(7):
        deployment.start_daemon(f"front-a-{number}")
    await deployment.wait_ready()
    await asyncio.sleep(3)
    owner = deployment.owner()
    first, second = [name for name in deployment.daemons if name != owner][:2]
    process = deployment.daemons[first]["process"]
    thawed_s = time.monotonic() + FREEZE_S
    if trouble:
        process.send_signal(signal.SIGSTOP)
        deployment.note("frozen", node=first)
    await asyncio.sleep(BEFORE_S)
    front = deployment.daemons[first]["front"]
    status, _ = await call(front, "POST", PREFIX + JOB, SUBMISSION, HOST, DEADLINE_S)
    deployment.note("submitted", at_node=first, job=JOB, status=status)
    front = deployment.daemons[second]["front"]
    cancelled, _ = await call(front, "DELETE", PREFIX + JOB, None, HOST)
    acked_s = time.monotonic()
    deployment.note("cancelled", at_node=second, job=JOB, status=cancelled)
    await asyncio.sleep(max(0.0, thawed_s - time.monotonic()))
    if trouble:
        process.send_signal(signal.SIGCONT)
        deployment.note("thawed", node=first)
    if cancelled not in (200, 410):
        return ""
    # No disruption is near from ContactMs after its end on.
    await asyncio.sleep(CONTACT_S + CANCEL_S + STOP_S + 1)
    state = await deployment.state(JOB)
    runs = find_runs(deployment.lines(), time.time())
    running = sorted(task for _, task in runs if task.startswith(JOB))
    if not running:
        return ""
    late_s = round(time.monotonic() - acked_s, 1)
    return (
        f"UNASKED: {late_s} s after the cancelling was answered with {cancelled}, "
        f"{', '.join(running)} run; the submission is shown as {state}"
    )


sys.exit(play(case, pathlib.Path(__file__).parent))
