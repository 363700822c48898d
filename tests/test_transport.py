"""Calls of `HttpClient`: reuse of connections, and what is known about failed calls."""

import asyncio
import socket
from contextlib import asynccontextmanager

import anyio
import orjson
import pytest

from flamingoweir import transport
from flamingoweir._call_limit import CallLimit
from flamingoweir._call_timeout import MAX_OWN_TIME_S
from flamingoweir.dispatch import Fenced, RunnerUnreachable
from flamingoweir.jobs import TaskId
from flamingoweir.platform import PlatformRunnerLink
from flamingoweir.transport import HttpClient, RequestNotSent, ResponseLost
from tests.utils.virtual_time import run_virtual, take_turns

HOST = "127.0.0.1"
#: Timeout of calls that get a response, in seconds.
LONG_S = 30.0
#: Seconds after which a test that hangs fails.
TEST_LIMIT_S = 60.0
#: Timeout of calls that get no response, in seconds.
SHORT_S = 0.05
#: Item of a script: leave the request without a response.
SILENCE = None
MEGABYTE = 1 << 20


def respond(body: bytes, *headers: bytes) -> bytes:
    """Return a response with Content-Length."""
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join([*lines, b"", body])


def respond_chunked(*chunks: bytes, trailer: bytes = b"") -> bytes:
    """Return a response whose body is sent in chunks."""
    parts = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"]
    for chunk in chunks:
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*parts, b"0\r\n", trailer, b"\r\n"])


class ScriptedServer:
    """Answers the requests on its n-th connection with the items of the n-th script.

    An item is the bytes of a response, a list of parts to send one by one, or SILENCE.
    The server closes a connection at the end of its script, unless `keep_open` is set.

    Attributes
    ----------
    requests : list of (int, bytes)
        Number of the connection and content of each request.
    first_reads : list of bytes
        What the first read of each connection returned.
    ended : dict of {int : anyio.Event}
        Set when a connection has ended on both sides, by the connection's number.
    """

    def __init__(self, scripts, keep_open):
        self._scripts = scripts
        self._keep_open = keep_open
        self.requests = []
        self.first_reads = []
        self.ended = {number: anyio.Event() for number in range(len(scripts))}
        self.received = anyio.Event()
        self.writers = []

    async def handle(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        try:
            first = await reader.read(1 << 16)
            self.first_reads.append(first)
            pending = first
            for item in self._scripts[number]:
                pending = await self._read_request(number, reader, pending)
                await self._answer(writer, item)
            if self._keep_open:
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            await asyncio.gather(writer.wait_closed(), return_exceptions=True)
            self.ended[number].set()

    async def _read_request(self, number, reader, pending):
        while b"\r\n\r\n" not in pending:
            pending += await self._read_some(reader)
        head, _, rest = pending.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        while len(rest) < length:
            rest += await self._read_some(reader)
        self.requests.append((number, head + b"\r\n\r\n" + rest[:length]))
        self.received.set()
        return rest[length:]

    @staticmethod
    async def _read_some(reader):
        data = await reader.read(1 << 16)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        return data

    @staticmethod
    async def _answer(writer, item):
        if item is SILENCE:
            return
        for part in [item] if isinstance(item, bytes) else item:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)


@asynccontextmanager
async def serve(*scripts, keep_open=True, connections=1, timeout_s=LONG_S):
    """Yield a server that plays `scripts`, and a client of it."""
    server = ScriptedServer(scripts, keep_open)
    listener = await asyncio.start_server(server.handle, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    client = HttpClient(f"{HOST}:{port}", connections, timeout_s)
    try:
        yield server, client
    finally:
        await client.aclose()
        listener.close()
        for writer in server.writers:
            writer.transport.abort()
        for number in range(len(server.writers)):
            await server.ended[number].wait()


def run(scenario):
    """Run a test's scenario; fail if it hangs."""

    async def run_limited():
        with anyio.fail_after(TEST_LIMIT_S):
            await scenario()

    anyio.run(run_limited)


def connection_numbers(server):
    return [number for number, _ in server.requests]


def test_request_is_complete():
    async def scenario():
        async with serve([respond(b"ok")]) as (server, client):
            response = await client.call(
                "POST", "/a/b?c=1", b"body", [(b"X-Kind", b"test")]
            )
            assert (response.status, response.body) == (200, b"ok")
            head, _, body = server.requests[0][1].partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            assert lines[0] == b"POST /a/b?c=1 HTTP/1.1"
            assert sorted(lines[1:]) == [
                b"Content-Length: 4",
                b"Host: " + client.address.encode(),
                b"X-Kind: test",
            ]
            assert body == b"body"

    run(scenario)


def test_request_arrives_in_one_piece():
    """Each part that is sent on its own costs both sides a system call."""

    async def scenario():
        async with serve([respond(b"")]) as (server, client):
            await client.call("POST", "/", b"body")
            assert server.first_reads[0].endswith(b"\r\n\r\nbody")

    run(scenario)


@pytest.mark.parametrize(
    "response",
    [
        respond(b"ok"),
        respond(b""),
        respond(b"ok", b"Connection: keep-alive"),
        respond_chunked(b"o", b"k"),
        respond_chunked(b"ok", trailer=b"X-Sum: 1\r\n"),
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 900\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" + respond(b"ok"),
    ],
)
def test_connection_is_reused_after_a_complete_response(response):
    async def scenario():
        async with serve([response, response, respond(b"end")]) as (server, client):
            first = await client.call("GET", "/")
            assert await client.call("GET", "/") == first
            assert (await client.call("GET", "/")).body == b"end"
            assert connection_numbers(server) == [0, 0, 0]

    run(scenario)


@pytest.mark.parametrize(
    "response",
    [
        respond(b"ok", b"Connection: close"),
        respond_chunked(b"ok").replace(b"\r\n", b"\r\nConnection: close\r\n", 1),
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ],
)
def test_connection_is_not_reused_if_the_server_will_close_it(response):
    async def scenario():
        async with serve([response], [respond(b"next")]) as (server, client):
            assert (await client.call("GET", "/")).body == b"ok"
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]
            await server.ended[0].wait()

    run(scenario)


def test_body_without_a_length_ends_with_the_connection():
    response = b"HTTP/1.1 200 OK\r\n\r\nall of it"

    async def scenario():
        async with serve([response], [respond(b"next")], keep_open=False) as (
            server,
            client,
        ):
            assert (await client.call("GET", "/")).body == b"all of it"
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]

    run(scenario)


def test_reset_ends_no_body():
    """A body without a length is complete only if its sender has closed the connection.

    The server resets the connection by closing it with an unread byte.
    """

    async def reset(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart of it")
        option = bytes([1, 0, 0, 0, 0, 0, 0, 0])
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        await asyncio.sleep(0)
        writer.transport.abort()

    async def scenario():
        async with await asyncio.start_server(reset, HOST, 0) as listener:
            port = listener.sockets[0].getsockname()[1]
            client = HttpClient(f"{HOST}:{port}", 1, LONG_S)
            with pytest.raises(ResponseLost):
                await client.call("GET", "/")

    run(scenario)


def test_head_request_has_no_body():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"

    async def scenario():
        async with serve([response, respond(b"next")]) as (server, client):
            assert (await client.call("HEAD", "/")).body == b""
            assert (await client.call("GET", "/")).body == b"next"

    run(scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTT",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        respond(b"whole")[:-1],
        respond(b"whole")[:-5],
        respond_chunked(b"whole")[:-1],
        respond_chunked(b"whole")[:-5],
        respond_chunked(b"whole")[:-9],
        b"HTTP/1.1 100 Continue\r\n\r\n",
    ],
)
def test_truncated_response_is_lost(response):
    async def scenario():
        async with serve([response], [respond(b"next")], keep_open=False) as (
            server,
            client,
        ):
            with pytest.raises(ResponseLost):
                await client.call("POST", "/", b"x")
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]

    run(scenario)


@pytest.mark.parametrize(
    "response",
    [
        b"SMTP ready\r\n\r\n",
        b"\r\n" + respond(b"ok"),
        b"HTTP/1.1 wrong\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok?",
        b"HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
        b"2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Long: " + b"x" * 300_000 + b"\r\n\r\n",
    ],
)
def test_malformed_response_is_lost(response):
    async def scenario():
        async with serve([response], [respond(b"next")], timeout_s=5.0) as (
            server,
            client,
        ):
            with pytest.raises(ResponseLost):
                await client.call("POST", "/", b"x")
            await server.ended[0].wait()
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]

    run(scenario)


@pytest.mark.parametrize("first", [respond(b"ok"), respond_chunked(b"ok")])
@pytest.mark.parametrize(
    "surplus",
    [
        respond(b"another's"),
        respond_chunked(b"another's"),
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 20",
        b"x",
        b"\n",
        b"\r\n",
        b"\r\n\r\n",
    ],
)
def test_surplus_bytes_are_not_the_next_response(first, surplus):
    """A server that sends too much is out of step with the requests."""

    async def scenario():
        async with serve([first + surplus], [respond(b"next")]) as (server, client):
            assert (await client.call("GET", "/")).body == b"ok"
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]
            await server.ended[0].wait()

    run(scenario)


def test_bytes_on_an_idle_connection_are_not_the_next_response():
    async def scenario():
        async with serve([respond(b"ok")], [respond(b"next")]) as (server, client):
            assert (await client.call("GET", "/")).body == b"ok"
            server.writers[0].write(respond(b"unasked"))
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]
            await server.ended[0].wait()

    run(scenario)


def test_idle_connection_that_the_server_closed_is_not_used():
    async def scenario():
        async with serve([respond(b"ok")], [respond(b"next")], keep_open=False) as (
            server,
            client,
        ):
            assert (await client.call("POST", "/", b"x")).body == b"ok"
            await server.ended[0].wait()
            assert (await client.call("POST", "/", b"x")).body == b"next"
            assert connection_numbers(server) == [0, 1]

    run(scenario)


def test_idle_connection_expires(monkeypatch):
    monkeypatch.setattr(transport, "IDLE_LIMIT_S", -1.0)

    async def scenario():
        async with serve([respond(b"ok")], [respond(b"next")]) as (server, client):
            assert (await client.call("GET", "/")).body == b"ok"
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]
            await server.ended[0].wait()

    run(scenario)


def test_failure_on_a_reused_connection_may_have_run():
    """The request is not sent again, as the server may have carried it out."""

    async def scenario():
        async with serve(
            [respond(b"ok"), b""], [respond(b"next")], keep_open=False
        ) as (
            server,
            client,
        ):
            assert (await client.call("POST", "/")).body == b"ok"
            with pytest.raises(ResponseLost):
                await client.call("POST", "/")
            assert connection_numbers(server) == [0, 0]
            assert (await client.call("POST", "/")).body == b"next"

    run(scenario)


def test_refused_connection_sends_nothing():
    async def scenario():
        with socket.socket() as unused:
            unused.bind((HOST, 0))
            address = f"{HOST}:{unused.getsockname()[1]}"
            with pytest.raises(RequestNotSent):
                await HttpClient(address, 1, LONG_S).call("POST", "/", b"x")

    run(scenario)


def test_timeout_of_the_connection_sends_nothing(monkeypatch):
    async def hang(*arguments, **options):
        await anyio.sleep_forever()

    monkeypatch.setattr(anyio, "connect_tcp", hang)
    monkeypatch.setattr(transport, "CONNECT_TIMEOUT_S", SHORT_S)

    async def scenario():
        with pytest.raises(RequestNotSent):
            await HttpClient(f"{HOST}:9", 1, LONG_S).call("POST", "/", b"x")

    run(scenario)


@pytest.mark.parametrize(
    ("method", "path", "header"),
    [
        ("GET", "/a b", (b"X-Id", b"1")),
        ("GET", "/a\r\nX-Other: 1", (b"X-Id", b"1")),
        ("GET", "", (b"X-Id", b"1")),
        ("GET /", "/", (b"X-Id", b"1")),
        ("GET", "/", (b"X-Id", b"1\r\nX-Other: 1")),
        ("GET", "/", (b"X-Id", b"1\n")),
        ("GET", "/", (b"X-Id", b"1\0")),
        ("GET", "/", (b"X-Id:", b"1")),
        ("GET", "/", (b"", b"1")),
    ],
)
def test_invalid_request_is_not_sent(method, path, header):
    """An id that another program wrote can't add a header or a second request."""

    async def scenario():
        async with serve([respond(b"ok")]) as (server, client):
            with pytest.raises(RequestNotSent):
                await client.call(method, path, b"", [header])
            assert not server.requests

    run(scenario)


def test_timeout_closes_idle_connections_too():
    """Idle connections of the same age are likely to be silent as well."""

    async def scenario():
        scripts = ([respond(b"0"), SILENCE], [respond(b"1"), SILENCE], [respond(b"2")])
        async with serve(*scripts, connections=2) as (server, client):
            async with anyio.create_task_group() as group:
                group.start_soon(client.call, "GET", "/")
                group.start_soon(client.call, "GET", "/")
            assert sorted(connection_numbers(server)) == [0, 1]
            with pytest.raises(ResponseLost):
                await client.call("POST", "/", b"x", timeout_s=SHORT_S)
            assert len(server.requests) == 3
            await server.ended[0].wait()
            await server.ended[1].wait()
            assert (await client.call("GET", "/")).body == b"2"

    run(scenario)


@pytest.mark.parametrize(
    "part", [SILENCE, respond(b"whole")[:-2], respond_chunked()[:9]]
)
def test_timeout_before_the_end_of_the_response_loses_it(part):
    async def scenario():
        async with serve([part], timeout_s=SHORT_S) as (server, client):
            with pytest.raises(ResponseLost):
                await client.call("POST", "/", b"x")
            await server.ended[0].wait()

    run(scenario)


def test_cancellation_closes_the_connection():
    async def scenario():
        async with serve([SILENCE], [respond(b"next")]) as (server, client):
            async with anyio.create_task_group() as group:
                group.start_soon(client.call, "POST", "/", b"x")
                await server.received.wait()
                group.cancel_scope.cancel()
            await server.ended[0].wait()
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 1]

    run(scenario)


def test_calls_beyond_the_limit_wait_for_a_connection():
    async def scenario():
        async with (
            serve([SILENCE], [SILENCE], [SILENCE], connections=2) as (server, client),
            anyio.create_task_group() as group,
        ):
            for _ in range(3):
                group.start_soon(client.call, "GET", "/")
            while len(server.requests) < 2:
                await anyio.sleep(0)
            await anyio.wait_all_tasks_blocked()
            assert len(server.writers) == 2
            group.cancel_scope.cancel()

    run(scenario)


@pytest.mark.parametrize("size", [MEGABYTE, 5 * MEGABYTE])
def test_large_bodies_arrive_whole(size):
    body = bytes(range(251)) * (size // 251)
    half = len(body) // 2
    chunked = respond_chunked(body[:half], body[half:])

    async def scenario():
        async with serve([respond(body), chunked, respond(b"end")]) as (server, client):
            assert (await client.call("POST", "/", body)).body == body
            assert (await client.call("GET", "/")).body == body
            assert (await client.call("GET", "/")).body == b"end"
            assert connection_numbers(server) == [0, 0, 0]
            assert server.requests[0][1].endswith(body)

    run(scenario)


@pytest.mark.parametrize(
    "response",
    [
        respond(b"ok", b"Connection: keep-alive"),
        respond_chunked(b"o", b"k", trailer=b"X-Sum: 1\r\n"),
        b"HTTP/1.1 100 Continue\r\n\r\n" + respond(b"ok"),
    ],
)
def test_response_may_come_in_single_bytes(response):
    parts = [response[at : at + 1] for at in range(len(response))]

    async def scenario():
        async with serve([parts, respond(b"next")]) as (server, client):
            assert (await client.call("GET", "/")).body == b"ok"
            assert (await client.call("GET", "/")).body == b"next"
            assert connection_numbers(server) == [0, 0]

    run(scenario)


def test_requests_are_sent_at_once(monkeypatch):
    """With Nagle's algorithm a request waits for the acknowledgement of another."""
    connect = anyio.connect_tcp
    sockets = []

    async def connect_and_record(*arguments, **options):
        stream = await connect(*arguments, **options)
        sockets.append(stream.extra(anyio.abc.SocketAttribute.raw_socket))
        return stream

    monkeypatch.setattr(anyio, "connect_tcp", connect_and_record)

    async def scenario():
        async with serve([respond(b"ok")]) as (_, client):
            await client.call("GET", "/")
            (used,) = sockets
            assert used.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(scenario)


def test_urgent_calls_overtake_those_that_wait():
    """Guards against a probe that waits behind start orders until it expires."""

    async def scenario():
        limit = CallLimit(1)
        order = []

        async def call(name, rank):
            await limit.acquire(rank)
            order.append(name)
            await anyio.sleep(1)
            limit.release()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, "first", 3)
            await anyio.sleep(0.1)
            for name, rank in (("start", 3), ("probe", 1), ("late start", 3)):
                tasks.start_soon(call, name, rank)
            with anyio.move_on_after(0.1):
                await limit.acquire(0)
            tasks.start_soon(call, "stop", 0)
        assert order == ["first", "stop", "probe", "start", "late start"]
        await limit.acquire()
        limit.release()

    run_virtual(scenario)


@pytest.mark.parametrize(
    ("script", "answered"),
    [
        ([respond(b"1"), respond(b"2"), respond(b"3")], 3),
        ([respond(b"1") + respond(b"2") + respond(b"3"), b"", b""], 3),
        ([[respond(b"1")[:20], respond(b"1")[20:]], respond(b"2"), respond(b"3")], 3),
        ([respond(b"1"), SILENCE, SILENCE], 1),
        ([SILENCE, SILENCE, SILENCE], 0),
        ([respond(b"1"), respond(b"2", b"Connection: close"), SILENCE], 2),
        ([respond(b"1"), respond_chunked(b"2"), SILENCE], 1),
        ([respond(b"1"), b"nonsense\r\n\r\n", SILENCE], 1),
    ],
)
def test_requests_of_one_write_are_answered_in_order(script, answered):
    """Guards against an answer that is taken for that of another request."""

    async def scenario():
        bodies = [b"a", b"b", b"c"]
        timeout_s = LONG_S if answered == 3 else SHORT_S
        async with serve(script, [respond(b"4")], timeout_s=timeout_s) as found:
            server, client = found
            responses = await client.call_all("/stop", bodies)
            expected = [b"1", b"2", b"3"][:answered]
            assert [response.body for response in responses] == expected
            assert server.first_reads[0].endswith(b"\r\n\r\nc")
            sent = [request.rpartition(b"\r\n")[2] for _, request in server.requests]
            assert sent == bodies[: len(sent)]
            if answered < 3:
                # The connection isn't used again.
                assert (await client.call("GET", "/")).body == b"4"
                assert connection_numbers(server)[-1] == 1

    run(scenario)


class SlowConnection:
    """A connection whose response takes some turns of the event loop to read."""

    reusable = False

    def __init__(self, turns):
        self._turns = turns

    async def exchange(self, request, is_head, on_part):
        for _ in range(self._turns):
            await anyio.sleep(0.001)
        return 200, b""

    async def aclose(self):
        return


@pytest.mark.parametrize(
    ("turn_s", "turns", "answered"),
    [(0.0, 20, True), (0.0, 10_000, False), (0.2, 2, True), (0.2, 200, False)],
)
def test_time_of_the_own_event_loop_is_not_the_servers(turn_s, turns, answered):
    """Guards against a runner that counts as silent as its owner is late to read."""
    timeout_s = 0.5

    async def scenario():
        client = HttpClient(f"{HOST}:1", 1, timeout_s=timeout_s)

        async def connect():
            return SlowConnection(turns)

        client._acquire_connection = connect
        async with anyio.create_task_group() as tasks:
            if turn_s:
                tasks.start_soon(take_turns, turn_s)
            await anyio.sleep(0)
            began_s = anyio.current_time()
            if answered:
                assert (await client.call("GET", "/")).status == 200
            else:
                with pytest.raises(ResponseLost, match="TimeoutError"):
                    await client.call("GET", "/")
                longest_s = timeout_s + (
                    MAX_OWN_TIME_S + 4 * turn_s if turn_s else 0.01
                )
                assert anyio.current_time() - began_s <= longest_s
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


class BufferedConnection:
    """A connection on which all responses have arrived."""

    reusable = False

    async def exchange_all(self, requests, count, on_response):
        for _ in range(count):
            await on_response(200, b"")

    async def aclose(self):
        return


@pytest.mark.parametrize(("in_a_turn", "turns"), [(1, 4), (2, 2), (4, 1), (9, 0)])
def test_responses_of_one_write_let_other_coroutines_run(in_a_turn, turns):
    """Guards against hundreds of responses that hold up the renewal of a lease.

    The time in which others run isn't the server's.
    """

    async def scenario():
        client = HttpClient(f"{HOST}:1", 1, timeout_s=SHORT_S)

        async def connect():
            return BufferedConnection()

        client._acquire_connection = connect
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take_turns, 2 * SHORT_S)
            await anyio.sleep(0)
            began_s = anyio.current_time()
            responses = await client.call_all("/stop", 4 * [b""], in_a_turn=in_a_turn)
            assert len(responses) == 4
            took_s = anyio.current_time() - began_s
            assert took_s == pytest.approx(turns * 2 * SHORT_S)
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


@pytest.mark.parametrize(
    ("second", "expected"),
    [
        (respond(b"{}"), 3),
        (respond(b"{}").replace(b"200 OK", b"503 Busy"), 1),
        (respond(b'{"Reason":"old"}').replace(b"200 OK", b"409 Conflict"), 3),
        (respond(b'{"Reason":"fence"}').replace(b"200 OK", b"409 Conflict"), Fenced),
    ],
)
def test_stops_of_one_write_are_confirmed_up_to_the_first_failure(second, expected):
    """Guards against a stop that counts as carried out though its runner refused it."""

    async def scenario():
        runs = [(TaskId("ab", 0, 0, index), 1) for index in range(3)]
        async with serve([respond(b"{}"), second, respond(b"{}")]) as (server, client):
            link = PlatformRunnerLink("i-1", client.address)
            if expected is Fenced:
                with pytest.raises(Fenced):
                    await link.stop_runs(runs, 7, 10)
            else:
                assert await link.stop_runs(runs, 7, 10) == expected
            messages = [
                orjson.loads(r.rpartition(b"\n")[2]) for _, r in server.requests
            ]
            assert [message["Task"] for message in messages] == [
                str(t) for t, _ in runs
            ]
            await link.aclose()

    run(scenario)


def test_no_answer_to_any_of_several_stops_is_an_error():
    async def scenario():
        async with serve([SILENCE], keep_open=False) as (_, client):
            link = PlatformRunnerLink("i-1", client.address)
            with pytest.raises(RunnerUnreachable):
                await link.stop_runs([(TaskId("ab", 0, 0, 0), 1)] * 2, 7, 10)

    run(scenario)
