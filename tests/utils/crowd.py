"""Crowds of clients that do not behave, on loopback connections."""

import contextlib
import struct
import time
from dataclasses import dataclass

import anyio
from anyio.from_thread import start_blocking_portal

from flamingoweir.membership._wire import Ping, Request, encode_frame
from tests.utils.cluster import HOST, PREFIX

#: Sizes of the crowds: a few clients that send much, many that each hold a part of what
#: a request may have, and more idle ones than there are descriptors.
FLOOD_CLIENTS = 10
FLOOD_BYTES = 20_000_000
HOLDING_CLIENTS = 800
HELD_HEAD_BYTES = 8_000
HELD_BODY_BYTES = 200_000
IDLE_CLIENTS = 400
BLOCK_BYTES = 50_000
#: Seconds without progress after which a crowd is taken to be held back.
STALLED_S = 2.0
OUTCOME_CAP_S = 30.0
IP = "127.0.0.1"
JOB_PATH = PREFIX + "0000000000000001"
POST_PATH = {"front": JOB_PATH, "http": "/v1/jobs", "callers": "/call/quotes/x"}
GET_PATH = {
    "front": JOB_PATH,
    "ready": "/-/ready",
    "metrics": "/metrics",
    "http": "/v1/health",
}
PING = encode_frame(Request(ping=Ping("entry-9", "powys", "127.0.0.1:1", 0, False)))
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
#: Opening and repeated pattern of each stream without end, after the line and host of a
#: POST request, or after nothing.
POST_FLOODS = {
    "header-value": (b"X-Name: ", b"v"),
    "headers": (b"", b"a: b\r\n"),
    "complete-head": (b"", b"a: b\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
    "body": (CHUNKED, b"400\r\n" + 1024 * b"b" + b"\r\n"),
}
FLOODS = {
    "target": (b"GET /", b"a"),
    "bare-requests": (b"", b"GET / HTTP/1.1\r\n\r\n"),
    "empty-lines": (b"", b"\r\n"),
}
PEER_FLOODS = {
    "frame": (struct.pack("!I", 64 * 1024 * 1024), b"f"),
    "pings": (b"", PING),
}
HTTP_FLOODS = (*POST_FLOODS, *FLOODS, "requests")


@dataclass(frozen=True)
class Stream:
    """What a client sends: a block `count` times, then an ending or blocks for ever."""

    opening: bytes = b""
    block: bytes = b""
    count: int = 0
    ending: bytes | None = b""


def make_head(method: str, path: str, *lines: str) -> bytes:
    """Return the start of a head, without the empty line."""
    return "\r\n".join(
        [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *lines, ""]
    ).encode()


def make_flood(kind: str, listener: str) -> Stream:
    """Return what a client sends that keeps to no limit."""
    opening, pattern = {**POST_FLOODS, **FLOODS, **PEER_FLOODS}.get(kind, (b"", b""))
    if kind in POST_FLOODS:
        opening = make_head("POST", POST_PATH.get(listener, "/")) + opening
    if kind == "requests":
        pattern = make_head("GET", GET_PATH[listener]) + b"\r\n"
    block = pattern * (BLOCK_BYTES // len(pattern))
    ending = b"\r\n" if kind == "complete-head" else None
    return Stream(opening, block, FLOOD_BYTES // len(block) + 1, ending)


def make_held(kind: str, listener: str) -> Stream:
    """Return what a client sends that begins a small request and never ends it."""
    head = make_head("POST", POST_PATH.get(listener, "/"))
    if kind == "head":
        return Stream(head, HELD_HEAD_BYTES // 6 * b"a: b\r\n", 1)
    head += b"Content-Length: 262144\r\n\r\n"
    opening = struct.pack("!I", 262_144) if listener == "peer" else head
    return Stream(opening, BLOCK_BYTES * b"b", HELD_BODY_BYTES // BLOCK_BYTES)


class Crowd:
    """Clients that send a stream each, and read nothing."""

    def __init__(self, address: tuple[str, int], clients: int, stream: Stream):
        self._address, self._clients, self._stream = address, clients, stream
        self._beginning = set(range(clients))
        self._unsettled = set(range(clients))
        self._sent_count = 0

    async def run(self) -> None:
        """Send until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in range(self._clients):
                tasks.start_soon(self._run_client, number)

    def wait_begun(self) -> None:
        """Wait until each client has sent its first block or was refused."""
        end_s = time.monotonic() + OUTCOME_CAP_S
        while self._beginning and time.monotonic() < end_s:
            time.sleep(0.01)

    def wait(self) -> None:
        """Wait until each client has sent enough, was refused or is held back."""
        start_s = changed_s = time.monotonic()
        seen_count = 0
        while self._unsettled and time.monotonic() - start_s < OUTCOME_CAP_S:
            if self._sent_count != seen_count:
                seen_count, changed_s = self._sent_count, time.monotonic()
            if time.monotonic() - changed_s > STALLED_S:
                return
            time.sleep(0.05)

    async def _run_client(self, number: int) -> None:
        stream = self._stream
        try:
            async with await anyio.connect_tcp(*self._address) as connection:
                await connection.send(stream.opening + stream.block)
                self._beginning.discard(number)
                for _ in range(stream.count - 1):
                    await connection.send(stream.block)
                    self._sent_count += 1
                await connection.send(stream.ending or b"")
                self._unsettled.discard(number)
                while stream.ending is None:
                    await connection.send(stream.block)
                await anyio.sleep_forever()
        except (OSError, anyio.BrokenResourceError):
            self._beginning.discard(number)
            self._unsettled.discard(number)


@contextlib.contextmanager
def gather(process, listener: str, clients: int, stream: Stream):
    """Let a crowd send until the block ends, which begins once it has sent enough.

    The process is suspended until all clients have begun, so that its first reads find
    data on every run.
    """
    crowd = Crowd((IP, process.ports[listener]), clients, stream)
    with start_blocking_portal() as portal:
        with process.suspended():
            running = portal.start_task_soon(crowd.run)
            crowd.wait_begun()
        try:
            crowd.wait()
            yield
        finally:
            running.cancel()
