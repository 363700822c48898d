"""Processor time of a call on each kind of link, in the calling process.

Run ``python -m benchmarks.links``. The called side runs in another process.
"""

import io
import pathlib
import tempfile
import time
from collections.abc import Awaitable, Callable

import anyio

from benchmarks.process_fleet import HOST, ProcessFleet
from flamingoweir import logs
from flamingoweir.membership import Ping, Request, TcpPeerTransport
from flamingoweir.storage import HttpTable, Precondition, Write
from flamingoweir.transport import HttpClient
from flamingoweir.upstreams import HttpWorkerLink, WorkerExchange

CALLS = 1500


async def measure_call(name: str, call: Callable[[], Awaitable[object]]) -> None:
    """Print processor time and elapsed time of a call, averaged over CALLS calls."""
    for _ in range(50):
        await call()
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    for _ in range(CALLS):
        await call()
    cpu_us = (time.process_time() - started_cpu_s) / CALLS * 1e6
    elapsed_us = (time.perf_counter() - started_s) / CALLS * 1e6
    print(
        f"{name:32s} {cpu_us:7.0f} us of processor time, {elapsed_us:7.0f} us elapsed"
    )


async def measure_links(fleet: ProcessFleet) -> None:
    """Measure the links to a worker, the table service and a peer."""
    worker = next(
        line
        for line in fleet.call_platform("GET", "/instances")
        if line["kind"] == "worker"
    )
    link = HttpWorkerLink(HttpClient(worker["address"], 1, 5.0))
    table = HttpTable(HttpClient(fleet.platform, 1, 5.0))
    peer = TcpPeerTransport(f"{HOST}:{fleet.daemons[0].peer_port}")
    ping = Request(ping=Ping("e", "powys", "", 0, False))
    version = await table.transact([Precondition("bench", 0)], [Write("bench", "")])

    async def commit() -> None:
        nonlocal version
        version = await table.transact(
            [Precondition("bench", version)], [Write("bench", "x" * 200)]
        )

    await measure_call("worker exchange", lambda: link.exchange(WorkerExchange("s", 1)))
    await measure_call("table read", lambda: table.get("bench"))
    await measure_call("table transaction", commit)
    await measure_call("peer ping", lambda: peer.call(ping))


def main() -> None:
    """Start one daemon and one worker, and measure the links to them."""
    logs.configure(io.StringIO(), "error")
    fleet = ProcessFleet(
        pathlib.Path(tempfile.mkdtemp()), daemons=1, workers=1, runners=0
    )
    try:
        anyio.run(measure_links, fleet)
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
