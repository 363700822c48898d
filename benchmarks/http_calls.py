"""Processor time of a call of `HttpClient`, in the calling process.

Run ``python -m benchmarks.http_calls``. The server runs in another process.
"""

import argparse
import asyncio
import subprocess
import sys
import time

import anyio

from flamingoweir.dispatch._stop_orders import MAX_STOPS_AT_ONCE
from flamingoweir.transport import HttpClient

HOST = "127.0.0.1"
#: Body of a request, as long as that of a start order.
REQUEST_BODY = b"x" * 250
HEADERS = ((b"Content-Type", b"application/json"), (b"X-Expect-Instance", b"i-1234"))
#: Calls before the measurement, which open the connections.
WARM_UP_CALLS = 100


class AnsweringProtocol(asyncio.Protocol):
    """Answers each request with a response whose size the path names."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._received = b""

    def data_received(self, data: bytes) -> None:
        """Answer each request once it is complete."""
        self._received += data
        while True:
            head, end, body = self._received.partition(b"\r\n\r\n")
            if not end or len(body) < len(REQUEST_BODY):
                return
            self._received = body[len(REQUEST_BODY) :]
            size = int(head.split(b" ", 2)[1][1:])
            self._transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % size + b"y" * size
            )


async def serve() -> None:
    """Print the port and serve until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(AnsweringProtocol, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    server.close()


async def measure(
    port: int, size: int, calls: int, at_once: int, in_a_write: int = 1
) -> None:
    """Print the processor time of a request, averaged over `calls` requests.

    Parameters
    ----------
    port : int
        Port of the server.
    size : int
        Size of a response's body in bytes.
    calls : int
        Number of requests.
    at_once : int
        Number of calls in progress at a time.
    in_a_write : int
        Number of requests in a call.
    """
    client = HttpClient(f"{HOST}:{port}", at_once, 30.0)

    async def call_repeatedly(count: int) -> None:
        for _ in range(count // in_a_write):
            if in_a_write > 1:
                bodies = in_a_write * [REQUEST_BODY]
                responses = await client.call_all(f"/{size}", bodies, HEADERS)
                if len(responses) != in_a_write:
                    raise RuntimeError(f"{len(responses)} of {in_a_write} responses")
                continue
            response = await client.call("POST", f"/{size}", REQUEST_BODY, HEADERS)
            if len(response.body) != size:
                raise RuntimeError(f"{len(response.body)} bytes received, not {size}")

    async def call_at_once(count: int) -> None:
        async with anyio.create_task_group() as group:
            for _ in range(at_once):
                group.start_soon(call_repeatedly, count // at_once)

    await call_at_once(WARM_UP_CALLS)
    started_s, started_cpu_s = time.perf_counter(), time.process_time()
    await call_at_once(calls)
    cpu_us = (time.process_time() - started_cpu_s) / calls * 1e6
    elapsed_us = (time.perf_counter() - started_s) / calls * 1e6
    await client.aclose()
    print(
        f"{size:5d} bytes, {at_once:2d} at once, {in_a_write:2d} in a write: "
        f"{cpu_us:5.0f} us of processor time a request, {elapsed_us:5.0f} us elapsed"
    )


async def measure_all(port: int, arguments: argparse.Namespace) -> None:
    """Measure all sizes, with one call and with several calls at a time."""
    for _ in range(arguments.rounds):
        for size in arguments.sizes:
            for at_once in (1, arguments.at_once):
                await measure(port, size, arguments.calls, at_once)
        for in_a_write in arguments.in_a_write:
            at_once = MAX_STOPS_AT_ONCE
            await measure(port, 20, arguments.calls, at_once, in_a_write)


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--sizes", type=int, nargs="+", default=[200, 3000])
    parser.add_argument("--at-once", type=int, default=20)
    parser.add_argument("--in-a-write", type=int, nargs="+", default=[1, 8, 64])
    parser.add_argument("--serve", action="store_true", help="serve the calls")
    return parser.parse_args()


def main() -> None:
    """Start a server and measure calls to it, or be that server."""
    arguments = parse_arguments()
    if arguments.serve:
        asyncio.run(serve())
        return
    server = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.http_calls", "--serve"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        port = int(server.stdout.readline())
        anyio.run(measure_all, port, arguments)
    finally:
        server.stdin.close()
        server.wait()


if __name__ == "__main__":
    main()
