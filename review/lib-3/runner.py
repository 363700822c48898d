"""Runners of the platform as a process, one port each.

The argument is JSON: the store's port, the file of records, and the runners. What a
task needs and how it ends stands in its `Spec`, which is JSON as well. Prints a line
once all runners are listed, and ends with its standard input.

A runner can leave a start order and the next call that acknowledges ends unanswered, to
be carried out late by its next life (`/control/arm`, and `late` and `deaf_until_s` of
the description of that life; times are those of `time.monotonic`).
"""

import asyncio
import contextlib
import json
import sys
import time
import urllib.request

from mini_http import HOST, Request, serve

BEAT_S = 1.1
STOP_S = 0.2
MAX_HOLD_MS = 10_000
GANG_WAIT_S = 3.0
REPORT_ENDS = 500
#: Seconds after a start order within which the acknowledging call has to come.
ARMED_S = 0.045
ENDLESS_S = 1e9


class Run:
    """A run of a task."""

    def __init__(self, task: str, run: int, spec: dict, now_s: float):
        self.task = task
        self.run = run
        self.cpu = spec.get("cpu", 0)
        self.length_s = spec.get("run_s", ENDLESS_S)
        self.fails = spec.get("fails", False)
        self.gang = spec.get("gang", 0)
        self.started_s = now_s
        self.works_since_s: float | None = None if self.gang else now_s
        self.stopped_s: float | None = None

    @property
    def step(self) -> str:
        """Name of the gang's run that this run is a member of."""
        return f"{self.task.rpartition('.')[0]}#{self.run}"

    def percent(self, now_s: float) -> int:
        """Return the progress; a task that lasts is at 100 when it is at work."""
        if self.works_since_s is None:
            return 0
        if self.length_s >= ENDLESS_S:
            return 100 if now_s - self.works_since_s > 0.3 else 0
        return min(99, int(100 * (now_s - self.works_since_s) / self.length_s))


class Runner:
    """One runner: fencing, a lease, capacity and acknowledged ends."""

    def __init__(self, fields: dict, store_port: int, record):
        self.id = fields["id"]
        self.fields = fields
        self.born = round(1000 * time.time())
        self.run_by_task: dict[str, Run] = {}
        self.grey_until_s = float("-inf")
        #: Whether the runner is lost for good: it runs, answers and announces nothing.
        self.is_gone = False
        self.changed = asyncio.Event()
        #: Calls that were left unanswered: path and fields.
        self.kept: list[tuple[str, dict]] = []
        self._is_armed = False
        self._kept_start: dict | None = None
        self._store_port = store_port
        self._record = record
        self._origin_s = time.monotonic()
        self._fence = 0
        self._due_ms = 0.0
        self._highest_run_by_task: dict[str, int] = {}
        self._ended: list[list] = []
        self._end_count = 0
        self._last_reopened = 0
        self._sequence = 0

    def clock_ms(self) -> int:
        """Return the time on the runner's clock."""
        return round(1000 * (time.monotonic() - self._origin_s))

    def announce(self, address: str) -> None:
        """Write the runner's entry to the store."""
        self._sequence += 1
        value = {
            "Service": self.fields["service"],
            "Address": address,
            "Zone": self.fields["zone"],
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Sequence": self._sequence,
            "Capacity": {"Cpu": self.fields["cpu"], "MemMb": 250_000, "Gpu": 0},
            "Labels": self.fields["labels"],
            "Machine": self.fields["machine"],
            "born": self.born,
        }
        row = {"Table": "servers", "Key": self.id, "Value": json.dumps(value)}
        call = urllib.request.Request(
            f"http://{HOST}:{self._store_port}/control/put",
            json.dumps(row).encode(),
        )
        urllib.request.urlopen(call, timeout=1).read()

    async def handle(self, request: Request) -> tuple[int, dict]:
        """Answer a call."""
        if request.path == "/control/arm":
            self._is_armed = True
            return 200, {}
        if request.path == "/control/kept":
            return 200, {"kept": self.kept}
        if request.path == "/control/gone":
            self.is_gone = True
            self.run_by_task.clear()
            self._record(self.id, "gone", "", 0)
            return 200, {}
        if self.is_gone:
            await asyncio.sleep(ENDLESS_S)
        if time.monotonic() < self.fields.get("deaf_until_s", 0.0) or self.kept:
            await asyncio.sleep(ENDLESS_S)
        if request.path == "/control/grey":
            self.grey_until_s = time.monotonic() + float(request.query["for_s"])
            self._record(self.id, "grey", "", 0)
            return 200, {}
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        fields = request.json()
        if request.path == "/-/run-start" and self._is_armed and not self._kept_start:
            await self._wait_for_acknowledgement(fields)
        if self._keeps_acknowledgement(request.path, fields):
            self.kept = [("/-/run-start", self._kept_start), (request.path, fields)]
            self._record(self.id, "kept", self._kept_start["Task"], 0)
            await asyncio.sleep(ENDLESS_S)
        return await self.carry_out(request.path, fields)

    async def carry_out(self, path: str, fields: dict) -> tuple[int, dict]:
        """Carry out a call of the system."""
        if fields["FenceToken"] < self._fence:
            return self._answer(409, Reason="fence")
        self._fence = fields["FenceToken"]
        if path == "/-/run-start":
            return self._start(fields)
        if path == "/-/run-stop":
            return self._stop(fields)
        if path == "/-/pace":
            return self._answer(200)
        if path == "/-/hold":
            return await self._hold(fields)
        return 404, {}

    async def _wait_for_acknowledgement(self, fields: dict) -> None:
        """Hold a start order back; for good if ends are acknowledged meanwhile."""
        self._kept_start = fields
        await asyncio.sleep(ARMED_S)
        while self.kept:
            await asyncio.sleep(ENDLESS_S)
        self._kept_start = None

    def _keeps_acknowledgement(self, path: str, fields: dict) -> bool:
        if path != "/-/hold" or self._kept_start is None or self.kept:
            return False
        is_same = fields["FenceToken"] == self._kept_start["FenceToken"]
        return is_same and fields["AckCursor"] > 0

    def advance(self) -> None:
        """End the runs that are over, or whose lease has lapsed."""
        now_s = time.monotonic()
        if self.clock_ms() >= self._due_ms:
            for run in list(self.run_by_task.values()):
                self.end(run, "lapsed")
            for end in self._ended:
                if end[0] > self._last_reopened:
                    # Note that is taken of this end from now on doesn't count.
                    self._last_reopened = end[0]
                    self._record(self.id, "reopened", end[1], end[2])
        for run in list(self.run_by_task.values()):
            if run.stopped_s is not None:
                if now_s >= run.stopped_s:
                    self.end(run, "stopped")
                continue
            if run.works_since_s is None:
                if now_s - run.started_s > GANG_WAIT_S:
                    self.end(run, "alone")
                continue
            if run.fails and now_s - run.works_since_s >= 0.1:
                self.end(run, "failed")
            elif not run.gang and now_s - run.works_since_s >= run.length_s:
                self.end(run, "done")

    def _start(self, fields: dict) -> tuple[int, dict]:
        self.advance()
        task, number = fields["Task"], fields["Run"]
        active = self.run_by_task.get(task)
        if active is not None and active.run == number:
            return self._answer(200)
        if number <= self._highest_run_by_task.get(task, 0):
            self._extend(fields["DueMs"])
            return self._answer(409, Reason="old")
        if fields["DueMs"] <= self.clock_ms():
            return self._answer(409, Reason="late")
        self._extend(fields["DueMs"])
        now_s = time.monotonic()
        run = Run(task, number, json.loads(fields["Spec"]), now_s)
        used = sum(other.cpu for other in self.run_by_task.values())
        if active is not None or used + run.cpu > self.fields["cpu"]:
            return self._answer(409, Reason="room")
        run.fails = run.fails or now_s < self.grey_until_s
        self.run_by_task[task] = run
        self._record(self.id, "start", task, number)
        return self._answer(200)

    def _stop(self, fields: dict) -> tuple[int, dict]:
        task, number = fields["Task"], fields["Run"]
        highest = self._highest_run_by_task.get(task, 0)
        self._highest_run_by_task[task] = max(highest, number)
        run = self.run_by_task.get(task)
        if run is not None and run.run == number and run.stopped_s is None:
            run.stopped_s = time.monotonic() + STOP_S
        return self._answer(200)

    async def _hold(self, fields: dict) -> tuple[int, dict]:
        if "DueMs" in fields:
            self._extend(fields["DueMs"])
        for end in self._ended:
            if end[0] <= fields["AckCursor"]:
                self._record(self.id, "noted", end[1], end[2])
        self._ended = [end for end in self._ended if end[0] > fields["AckCursor"]]
        until_s = time.monotonic() + fields.get("WaitMs", 0) / 1000
        self.advance()
        while not self._ended and (left_s := until_s - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        now_s = time.monotonic()
        running = []
        for run in self.run_by_task.values():
            running.append([run.task, run.run, "", run.percent(now_s), 0])
        return self._answer(200, Running=running, Ended=self._ended[:REPORT_ENDS])

    def _answer(self, status: int, **fields) -> tuple[int, dict]:
        return status, {"ClockMs": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, due_ms: float) -> None:
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self._due_ms = max(self._due_ms, min(due_ms, longest_ms))

    def end(self, run: Run, how: str) -> None:
        """End a run, and keep its end until it is acknowledged."""
        del self.run_by_task[run.task]
        highest = self._highest_run_by_task.get(run.task, 0)
        self._highest_run_by_task[run.task] = max(highest, run.run)
        self._end_count += 1
        self._ended.append([self._end_count, run.task, run.run, how, ""])
        self._record(self.id, how, run.task, run.run)
        self.changed.set()


def join_gangs(runners: list[Runner]) -> None:
    """Let gangs of which all members are present work."""
    waiting: dict[str, list[Run]] = {}
    for runner in runners:
        for run in runner.run_by_task.values():
            if run.gang and run.works_since_s is None and run.stopped_s is None:
                waiting.setdefault(run.step, []).append(run)
    now_s = time.monotonic()
    for members in waiting.values():
        if len(members) == members[0].gang:
            for run in members:
                run.works_since_s = now_s


def end_gangs(runners: list[Runner]) -> None:
    """End the gangs whose work is done, all members of a run together."""
    now_s = time.monotonic()
    for runner in runners:
        for run in list(runner.run_by_task.values()):
            is_at_work = run.works_since_s is not None and run.stopped_s is None
            if run.gang and is_at_work and now_s - run.works_since_s >= run.length_s:
                runner.end(run, "done")


async def main() -> None:
    """Serve the runners until standard input ends."""
    fields = json.loads(sys.argv[1])
    stream = open(fields["record"], "a", buffering=1)  # noqa: SIM115

    def record(runner: str, what: str, task: str, run: int) -> None:
        at_s = round(time.monotonic(), 3)
        stream.write(json.dumps([at_s, runner, what, task, run]) + "\n")

    runners, addresses = [], []
    for item in fields["runners"]:
        runner = Runner(item, fields["store_port"], record)
        _, port = await serve(runner.handle, item.get("port", 0))
        runners.append(runner)
        addresses.append(f"{HOST}:{port}")

    async def beat() -> None:
        while True:
            for runner, address in zip(runners, addresses, strict=True):
                if runner.is_gone:
                    continue
                # Without the store, the next ping announces the runner again.
                with contextlib.suppress(OSError):
                    await asyncio.to_thread(runner.announce, address)
            await asyncio.sleep(BEAT_S)

    async def advance() -> None:
        while True:
            join_gangs(runners)
            end_gangs(runners)
            for runner in runners:
                runner.advance()
            await asyncio.sleep(0.02)

    for runner, address in zip(runners, addresses, strict=True):
        await asyncio.to_thread(runner.announce, address)

    async def deliver(runner: Runner) -> None:
        for at_s, path, call in runner.fields.get("late", ()):
            await asyncio.sleep(max(0.0, at_s - time.monotonic()))
            record(runner.id, f"late call {path}", call.get("Task", ""), 0)
            await runner.carry_out(path, call)

    tasks = [asyncio.create_task(beat()), asyncio.create_task(advance())]
    tasks += [asyncio.create_task(deliver(runner)) for runner in runners]
    print(json.dumps(addresses), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
