"""Stand-in of a runner: one process, which is one life of a machine.

``python3 runner.py JSON`` takes these fields:

id, listen, announce
    Id, address to listen on, and the address that its entry names (a proxy's, or
    the same one).
store, service, zone, rack, machine
    Address of the store, and what its entry says.
cpu, mem
    Capacity. A start that doesn't fit is rejected (`EnforcesCapacity` true).
heartbeat_ms, max_hold_ms, stop_ms
    Bounds of the deployment.
first_beat_ms
    When the first entry is written after the process has begun to serve.
record
    File that gets one line for each start and end.

What a run does stands in the text `Spec` of its submission, as JSON: ``ms`` is its
run time, ``how`` how it ends (done, failed), ``cpu`` and ``mem`` what it takes.
"""

import asyncio
import base64
import http.client
import json
import sys
import time

from http_server import serve


class Runner:
    """Runs, ends, lease and fence number of one life."""

    def __init__(self, fields):
        self.fields = fields
        self.born = time.time_ns() // 1_000_000
        self.started_s = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0.0
        self.run_by_task = {}
        self.highest_by_task = {}
        self.ended = []
        self.end_count = 0
        self.end_listed = asyncio.Event()
        self.record = open(fields["record"], "a", buffering=1)  # noqa: SIM115

    def clock_ms(self):
        """Return the time on the steady clock, which starts with each life."""
        return 1000 * (time.monotonic() - self.started_s)

    def log(self, kind, **fields):
        """Write one line to the record."""
        at = round(time.time(), 3)
        line = {"at": at, "runner": self.fields["id"], "born": self.born, "kind": kind}
        self.record.write(json.dumps({**line, **fields}) + "\n")

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        if method == "GET":
            return 200, {}
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.fields["id"]):
            return 421, {}
        call = json.loads(body)
        fence = call.get("FenceToken", 0)
        if fence < self.fence:
            return 409, self._stamp({"Reason": "fence"})
        self.fence = fence
        if target == "/-/run-start":
            return self._start(call, fence)
        if target == "/-/run-stop":
            self._stop(call["Task"], call["Run"])
            return 200, self._stamp({})
        if target == "/-/pace":
            return 200, self._stamp({})
        if target == "/-/hold":
            return 200, await self._hold(call)
        return 404, {}

    def _stamp(self, fields):
        return {**fields, "ClockMs": round(self.clock_ms()), "born": self.born}

    def _extend(self, due_ms):
        longest_ms = self.clock_ms() + self.fields["max_hold_ms"]
        self.lease_end_ms = max(self.lease_end_ms, min(due_ms, longest_ms))

    def _start(self, call, fence):
        task, run = call["Task"], call["Run"]
        active = self.run_by_task.get(task)
        if active is not None and active["run"] == run:
            return 200, self._stamp({})
        if run <= self.highest_by_task.get(task, 0):
            self._extend(call["DueMs"])
            return 409, self._stamp({"Reason": "old"})
        if call["DueMs"] <= self.clock_ms():
            return 409, self._stamp({"Reason": "late"})
        self._extend(call["DueMs"])
        spec = json.loads(call["Spec"])
        cpu = sum(item["cpu"] for item in self.run_by_task.values()) + spec["cpu"]
        mem = sum(item["mem"] for item in self.run_by_task.values()) + spec["mem"]
        full = cpu > self.fields["cpu"] or mem > self.fields["mem"]
        if active is not None or full:
            return 409, self._stamp({"Reason": "room"})
        now_s = time.monotonic()
        self.run_by_task[task] = {**spec, "run": run, "since_s": now_s}
        self.log("start", task=task, run=run, cpu=spec["cpu"], fence=fence)
        if spec["ms"] is not None:
            asyncio.get_running_loop().call_later(
                spec["ms"] / 1000, self._end, task, run, spec.get("how", "done")
            )
        return 200, self._stamp({})

    def _stop(self, task, run):
        highest = self.highest_by_task.get(task, 0)
        self.highest_by_task[task] = max(highest, run)
        loop = asyncio.get_running_loop()
        loop.call_later(self.fields["stop_ms"] / 1000, self._end, task, run, "stopped")

    def _end(self, task, run, how):
        active = self.run_by_task.get(task)
        if active is None or active["run"] != run:
            return
        del self.run_by_task[task]
        highest = self.highest_by_task.get(task, 0)
        self.highest_by_task[task] = max(highest, run)
        self.end_count += 1
        self.ended.append([self.end_count, task, run, how, ""])
        self.log("end", task=task, run=run, how=how, n=self.end_count)
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    async def _hold(self, call):
        if "DueMs" in call:
            self._extend(call["DueMs"])
        cursor = call.get("AckCursor", 0)
        noted = [end for end in self.ended if end[0] <= cursor]
        self.ended = [end for end in self.ended if end[0] > cursor]
        for end in noted:
            self.log("noted", task=end[1], run=end[2], how=end[3], cursor=cursor)
        if not self.ended and call.get("WaitMs"):
            try:
                wait_s = call["WaitMs"] / 1000
                await asyncio.wait_for(self.end_listed.wait(), wait_s)
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = []
        for task, item in self.run_by_task.items():
            percent = 100
            if item["ms"] is not None:
                ran_ms = 1000 * (now_s - item["since_s"])
                percent = min(99, int(100 * ran_ms / item["ms"]))
            running.append([task, item["run"], "", percent, item["cpu"]])
        return self._stamp({"Running": running, "Ended": self.ended[:500]})

    async def watch_lease(self):
        """Kill everything when the lease expires."""
        while True:
            await asyncio.sleep(0.01)
            if self.run_by_task and self.clock_ms() >= self.lease_end_ms:
                for task, item in list(self.run_by_task.items()):
                    self._end(task, item["run"], "lapsed")

    async def announce(self):
        """Write the entry in the store about every `HeartbeatMs`."""
        sequence = 0
        await asyncio.sleep(self.fields["first_beat_ms"] / 1000)
        while True:
            sequence += 1
            await asyncio.to_thread(self._write_entry, sequence)
            await asyncio.sleep(self.fields["heartbeat_ms"] / 1000)

    def _write_entry(self, sequence):
        f = self.fields
        entry = {
            "Service": f["service"],
            "Address": f["announce"],
            "Zone": f["zone"],
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": f["cpu"], "MemMb": f["mem"], "Gpu": 0},
            "Labels": ["a", f["rack"]],
            "Machine": f["machine"],
            "ClockMs": round(self.clock_ms()),
            "Sequence": sequence,
            "born": self.born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        row = {"Table": "servers", "part": "", "Key": f["id"], "Value": value}
        body = json.dumps({"Precondition": [], "SetKeys": [row], "DeleteKeys": []})
        try:
            connection = http.client.HTTPConnection(f["store"], timeout=1)
            connection.request("POST", "/-/rows-tx", body)
            connection.getresponse().read()
            connection.close()
        except OSError:
            return


async def main():
    """Serve until killed."""
    runner = Runner(json.loads(sys.argv[1]))
    host, port = runner.fields["listen"].rsplit(":", 1)
    server = await serve(host, int(port), runner.handle)
    runner.log("born")
    await asyncio.gather(
        server.serve_forever(), runner.watch_lease(), runner.announce()
    )


if __name__ == "__main__":
    asyncio.run(main())
