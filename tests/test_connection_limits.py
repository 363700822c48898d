"""Connections that a server closes, over loopback with low limits."""

import contextlib

import anyio
import pytest

from flamingoweir.asgi import error_body, error_headers, read_body, send_response
from flamingoweir.daemon import _server
from flamingoweir.daemon._server import HttpServer
from flamingoweir.errors import FlamingoweirError
from flamingoweir.metrics import PrometheusMetrics
from flamingoweir.policy import ConnectionLimits

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LARGE_BODY = bytes(8_000_000)


def make_post(path: str, size: int) -> tuple[bytes, bytes]:
    """Return the head and the body of a POST request."""
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n"
    return head.encode(), bytes(size)


class App:
    """Responds after the body or before, with a small body or a large one."""

    def __init__(self):
        self.started = anyio.Event()
        self.release = anyio.Event()
        self.seen = 0

    async def __call__(self, scope, receive, send) -> None:
        try:
            if scope["path"] != "/early":
                await read_body(receive, 10_000_000)
        except FlamingoweirError as error:
            headers = error_headers(error)
            await send_response(send, error.http_status, headers, error_body(error))
            return
        self.seen += 1
        self.started.set()
        if scope["path"] == "/held":
            await self.release.wait()
        body = LARGE_BODY if scope["path"] == "/large" else b"ok"
        await send_response(send, 200, [], body)


@contextlib.asynccontextmanager
async def serve(monkeypatch, **limits):
    """Serve an `App`; yield it, a function that connects, and the metrics."""
    monkeypatch.setattr(_server, "CHECK_INTERVAL_S", 0.02)
    app = App()
    metrics = PrometheusMetrics()
    server = HttpServer(app, HOST, 0, "front", ConnectionLimits(**limits), metrics)

    async def connect(data: bytes = b""):
        stream = await anyio.connect_tcp(HOST, server.port)
        await stream.send(data or GET)
        return stream

    async with anyio.create_task_group() as tasks:
        await tasks.start(server.run)
        with anyio.fail_after(20):
            yield app, connect, metrics
        tasks.cancel_scope.cancel()


async def read_to_end(stream) -> bytes:
    """Return all that a server sends until it closes the connection."""
    data = b""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            data += await stream.receive()
    return data


async def wait_for(metrics, reason: str) -> None:
    """Wait until a connection is counted as closed for a reason."""
    name = f"flamingoweir_front_connections_closed_{reason}_total 1.0"
    while name.encode() not in metrics.render():
        await anyio.sleep(0.01)


@pytest.mark.parametrize(
    ("request_start", "limits", "reason"),
    [
        (b"GET / HTTP/1.1\r\nHost:", {"head_s": 0.1}, "slow_head"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
            {"body_s": 0.1},
            "slow_body",
        ),
        (
            b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n",
            {"response_s": 0.1},
            "slow_response",
        ),
    ],
)
def test_client_that_takes_for_ever_is_closed(
    monkeypatch, request_start, limits, reason
):
    async def scenario():
        async with serve(monkeypatch, **limits) as (_, connect, metrics):
            slow = await connect(request_start)
            await wait_for(metrics, reason)
            await read_to_end(slow)
            stream = await connect()
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_new_caller_gets_in_for_the_longest_idle_one(monkeypatch):
    async def scenario():
        async with serve(monkeypatch, connections=2) as (_, connect, metrics):
            streams = []
            for _ in range(3):
                streams.append(await connect())
                assert (await streams[-1].receive()).endswith(b"ok")
            assert await read_to_end(streams[0]) == b""
            await wait_for(metrics, "room_idle")
            await streams[1].send(GET)
            assert (await streams[1].receive()).endswith(b"ok")

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_request_of_the_application_outlives_the_limits(monkeypatch):
    """The caller couldn't tell whether a request that was closed has run."""
    limits = {"connections": 1, "head_s": 0.05, "body_s": 0.05, "response_s": 0.05}

    async def scenario():
        async with serve(monkeypatch, **limits) as (app, connect, metrics):
            held = await connect(b"GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
            await app.started.wait()
            assert await read_to_end(await connect()) == b""
            await wait_for(metrics, "refused")
            await anyio.sleep(0.2)
            app.release.set()
            assert (await held.receive()).endswith(b"ok")

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_malformed_bytes_do_not_refuse_the_request_before_them(monkeypatch):
    """A 400 would be taken as the response to a request that may have run."""

    async def scenario():
        async with serve(monkeypatch) as (app, connect, metrics):
            request = b"GET /held HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            stream = await connect(request)
            await app.started.wait()
            await stream.send(b"more")
            assert await read_to_end(stream) == b""
            await wait_for(metrics, "malformed")

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_malformed_body_after_its_response_closes_the_connection(monkeypatch):
    async def scenario():
        async with serve(monkeypatch) as (_, connect, metrics):
            head = b"POST /early HTTP/1.1\r\nHost: a\r\n"
            stream = await connect(head + b"Transfer-Encoding: chunked\r\n\r\n")
            assert (await stream.receive()).endswith(b"ok")
            await stream.send(b"no length\r\n")
            assert await read_to_end(stream) == b""
            await wait_for(metrics, "malformed")

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_bytes_of_all_connections_are_bounded(monkeypatch):
    """Each of the bodies is far below the limit, all of them are not."""
    start = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"

    async def scenario():
        async with serve(monkeypatch, held_bytes=100_000) as (app, connect, metrics):
            first = await connect(start + bytes(50_000))
            await anyio.sleep(0.1)
            second = await connect(start + bytes(59_000))
            assert await read_to_end(first) == b""
            await wait_for(metrics, "bytes_body")
            await second.send(bytes(1_000))
            assert (await second.receive()).endswith(b"ok")
            assert app.seen == 1

    anyio.run(scenario, backend_options={"use_uvloop": True})


@pytest.mark.parametrize("application_is_full_at", ["head", "body"])
def test_caller_whose_body_comes_later_gets_a_true_response(
    monkeypatch, application_is_full_at
):
    """Closed without one, it could not tell whether its request has run."""
    head, body = make_post("/", 30_000)
    held_head, held_body = make_post("/held", 30_000)

    async def scenario():
        async with serve(monkeypatch, held_bytes=1_000_000) as (app, connect, metrics):
            late = await connect(head[:20])
            if application_is_full_at == "body":
                await late.send(head[20:])
            held = [await connect(held_head + held_body) for _ in range(40)]
            while app.seen < 24:
                await anyio.sleep(0.01)
            if application_is_full_at == "head":
                await late.send(head[20:])
                await anyio.sleep(0.1)
            await late.send(body)
            refusal = await late.receive()
            assert refusal.startswith(b"HTTP/1.1 503") and b"retry-after: 1" in refusal
            app.release.set()
            responses = [await stream.receive() for stream in held]
            served = sum(response.endswith(b"ok") for response in responses)
            assert app.seen == served == 24
            assert sum(response[9:12] == b"503" for response in responses) == 16
            await late.send(head + body)
            assert (await late.receive()).endswith(b"ok")
            name = "flamingoweir_front_requests_refused_total 17.0"
            while name.encode() not in metrics.render():
                await anyio.sleep(0.01)

    anyio.run(scenario, backend_options={"use_uvloop": True})


def test_body_is_refused_once_the_application_has_no_room_for_it(monkeypatch):
    """Fails if what was admitted by its head may fill the memory by its body."""
    head, body = make_post("/held", 30_000)

    async def scenario():
        async with serve(monkeypatch, held_bytes=1_000_000) as (app, connect, _):
            streams = [await connect(head + body[:1]) for _ in range(40)]
            await anyio.sleep(0.1)
            for stream in streams:
                await stream.send(body[1:])
            while app.seen < 24:
                await anyio.sleep(0.01)
            app.release.set()
            responses = [await stream.receive() for stream in streams]
            assert sum(response[9:12] == b"503" for response in responses) == 16
            assert app.seen == 24

    anyio.run(scenario, backend_options={"use_uvloop": True})
