"""Stand-in of one runner, as PROTOCOL.md describes it.

Arguments: id, machine, zone, rack, service, store address, port or 0, file to which it
appends what happens, capacity in thousandths of a core, MB, kind, and the port that it
announces, or 0 for its own.

The payload of a submission tells what its tasks do: "SECONDS CPU MB", with "fails" at
the end for tasks that end ``failed``, "lasts" for tasks that last, and "once" for those
whose first run fails. From SIGUSR1 to SIGUSR2 the runner fails all that it starts.
"""

import asyncio
import json
import signal
import sys
import time

from mini_http import Server, call

HEARTBEAT_S = 1.1
#: Seconds after which a faulty runner ends a run as failed.
FAULTY_S = 0.2
STOP_S = 0.3
MAX_HOLD_MS = 6_000
ENDS_A_REPORT = 500


class Runner:
    """Runs, ends, lease and fence number of one life."""

    def __init__(self, argv: list[str]):
        self.id, self.machine, self.zone, self.rack = argv[1:5]
        self.service, self.store, port, self.record_path = argv[5:9]
        self.cpu, self.mem, self.kind = int(argv[9]), int(argv[10]), argv[11]
        self.announced = int(argv[12])
        self.port = int(port)
        self.born = round(1000 * time.time())
        self.started_s = time.monotonic()
        self.fence = 0
        self.lease_ms = 0.0
        self.runs: dict[str, dict] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.end_count = 0
        self.new_end = asyncio.Event()
        self.faulty = False

    def clock_ms(self) -> int:
        """Return the runner's own steady clock."""
        return round(1000 * (time.monotonic() - self.started_s))

    def note(self, kind: str, **fields) -> None:
        """Append a line to the record."""
        line = {"at": round(time.time(), 3), "kind": kind, "runner": self.id, **fields}
        with open(self.record_path, "a") as record:
            record.write(json.dumps(line) + "\n")

    def extend(self, due_ms: int | None) -> None:
        """Extend the lease; it never shortens."""
        if due_ms is not None:
            due_ms = min(due_ms, self.clock_ms() + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, due_ms)

    def end(self, task: str, how: str) -> None:
        """End a run."""
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.end_count += 1
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.note("end", task=task, run=run["run"], how=how)
        self.new_end.set()
        self.new_end = asyncio.Event()

    def advance(self) -> None:
        """End the runs that are finished, stopped or without a lease."""
        now_s = time.monotonic()
        for task, run in list(self.runs.items()):
            if run["stop_s"] is not None:
                if now_s >= run["stop_s"]:
                    self.end(task, "stopped")
            elif run["end_s"] is not None and now_s >= run["end_s"]:
                self.end(task, run["how"])
        if self.runs and self.clock_ms() >= self.lease_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")

    async def serve(self, method: str, path: str, body: dict) -> tuple[int, dict]:
        """Serve one call."""
        if path == "/health":
            return 200, {}
        self.advance()
        if body.get("FenceToken", 0) < self.fence:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
        self.fence = body.get("FenceToken", 0)
        if path == "/-/hold":
            return await self.hold(body)
        if path == "/-/run-start":
            return self.start(body)
        if path == "/-/run-stop":
            task = body["Task"]
            self.highest[task] = max(self.highest.get(task, 0), body["Run"])
            run = self.runs.get(task)
            if run and run["run"] == body["Run"] and run["stop_s"] is None:
                run["stop_s"] = time.monotonic() + STOP_S
            return 200, {"ClockMs": self.clock_ms()}
        if path == "/-/pace":
            return 200, {"ClockMs": self.clock_ms()}
        return 404, {}

    def start(self, body: dict) -> tuple[int, dict]:
        """Carry out a start order."""
        task, number = body["Task"], body["Run"]
        known = self.runs.get(task)
        if known and known["run"] == number:
            return 200, {"ClockMs": self.clock_ms()}
        if number <= self.highest.get(task, 0) or known:
            self.extend(body["DueMs"])
            return 409, {"ClockMs": self.clock_ms(), "Reason": "old"}
        if body["DueMs"] <= self.clock_ms():
            return 409, {"ClockMs": self.clock_ms(), "Reason": "late"}
        self.extend(body["DueMs"])
        words = body["Spec"].split()
        cpu, mem = int(words[1]), int(words[2])
        used_cpu = sum(run["cpu"] for run in self.runs.values())
        used_mem = sum(run["mem"] for run in self.runs.values())
        if used_cpu + cpu > self.cpu or used_mem + mem > self.mem:
            return 409, {"ClockMs": self.clock_ms(), "Reason": "room"}
        now_s = time.monotonic()
        seconds, how = float(words[0]) or None, "done"
        if "fails" in words:
            how = "failed"
        if "once" in words:
            seconds, how = (seconds, "failed") if number == 1 else (None, "done")
        if self.faulty:
            seconds, how = FAULTY_S, "failed"
        self.runs[task] = {
            "run": number,
            "cpu": cpu,
            "mem": mem,
            "since_s": now_s,
            "end_s": None if seconds is None else now_s + seconds,
            "how": how,
            "lasts": "lasts" in words,
            "stop_s": None,
        }
        self.note("start", task=task, run=number, spec=body["Spec"])
        return 200, {"ClockMs": self.clock_ms()}

    async def hold(self, body: dict) -> tuple[int, dict]:
        """Renew the lease, forget ends, and report."""
        self.extend(body.get("DueMs"))
        acked = body.get("AckCursor", 0)
        for end in self.ended:
            if end[0] <= acked:
                self.note("noted", task=end[1], run=end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > acked]
        until_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.ended and (left_s := until_s - time.monotonic()) > 0:
            event = self.new_end
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except TimeoutError:
                break
        self.advance()
        running = []
        now_s = time.monotonic()
        for task, run in self.runs.items():
            percent = 100
            if run["end_s"] is not None and not run["lasts"]:
                whole_s = max(0.001, run["end_s"] - run["since_s"])
                percent = round(min(99.0, 100 * (now_s - run["since_s"]) / whole_s), 1)
            running.append([task, run["run"], "", percent, run["cpu"]])
        return 200, {
            "ClockMs": self.clock_ms(),
            "born": self.born,
            "Running": running,
            "Ended": self.ended[:ENDS_A_REPORT],
        }

    async def beat(self) -> None:
        """Announce the runner about every heartbeat interval."""
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.announced or self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdLeftMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
                "Labels": [self.kind, self.rack],
                "ClockMs": self.clock_ms(),
                "Machine": self.machine,
                "born": self.born,
                "Sequence": sequence,
            }
            await call(
                self.store,
                "POST",
                "/standin/put",
                {"table": "servers", "key": self.id, "value": entry},
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S)

    def set_faulty(self, faulty: bool) -> None:
        """Fail all that is started from now on, or nothing more."""
        self.faulty = faulty
        self.note("faulty" if faulty else "sound")

    async def run(self) -> None:
        """Serve until the process is ended."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.set_faulty, True)
        loop.add_signal_handler(signal.SIGUSR2, self.set_faulty, False)
        server = Server(self.serve, self.id)
        await server.start(self.port)
        self.port = server.port
        print(self.port, flush=True)
        self.beats = asyncio.create_task(self.beat())
        while True:
            self.advance()
            await asyncio.sleep(0.005)


asyncio.run(Runner(sys.argv).run())
