"""Instances whose link to the store takes long for a large response."""

import asyncio
import base64

import anyio
import orjson
import pytest

from flamingoweir.clock import BootClock
from flamingoweir.platform import PlatformRowDecoder, _store
from flamingoweir.platform._store import PlatformStore
from flamingoweir.registry import OperatorView, TableFollower
from flamingoweir.storage import StoreOutcomeUnknown
from tests.utils.cluster import HOST, SERVICE

#: Number of queues in the configuration, as in an installation after its growth.
QUEUES = 1677
#: Bytes that the link delivers at a time, and seconds in between: 320 kB/s.
PART_BYTES = 16_000
PART_S = 0.05


def make_large_configuration() -> bytes:
    """Return the rows of the operators' table as the store sends them."""
    routes = []
    for number in range(QUEUES):
        route = {
            "Name": f"r-{number:07d}",
            "Host": HOST,
            "PathPrefix": f"/q{number:06d}/",
            "Kind": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 2505,
            "Priority": 0,
            "Service": SERVICE,
            "MaxAttempts": 4,
            "Stretch": 2.2,
        }
        routes.append(route)
    value = orjson.dumps(
        {"Version": 7, "Routes": routes, "Services": [{"Name": SERVICE}]}
    )
    row = {
        "Table": "op",
        "part": "",
        "Key": "config",
        "Value": base64.b64encode(value).decode(),
        "Ver": 3,
    }
    return orjson.dumps({"rows": [row], "Ver": 3})


class SlowServer:
    """Answers each request with the same body, which arrives slowly.

    Attributes
    ----------
    requests : list of bytes
        First line of each request.
    """

    def __init__(self, body: bytes, part_s: float, parts: int | None = None):
        self.requests: list[bytes] = []
        self._body = body
        self._part_s = part_s
        self._parts = parts

    async def handle(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head.partition(b"\r\n")[0])
                await self._respond(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(self, writer):
        length = len(self._body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for number, first in enumerate(range(0, length, PART_BYTES)):
            if number == self._parts:
                await asyncio.sleep(60.0)
            writer.write(self._body[first : first + PART_BYTES])
            await writer.drain()
            await asyncio.sleep(self._part_s)


async def start(server: SlowServer) -> tuple[asyncio.Server, PlatformStore]:
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    return listener, PlatformStore(f"127.0.0.1:{port}")


def test_large_configuration_is_read_over_a_slow_link():
    """Guards against an instance that never gets the configuration after its start.

    Each read was given up after 0.7 s and begun anew, and all requests were refused.
    """

    async def scenario():
        server = SlowServer(make_large_configuration(), PART_S)
        listener, store = await start(server)
        operators = OperatorView(PlatformRowDecoder())
        follower = TableFollower(
            store, "op", ("",), 0.9, operators.apply_rows, BootClock()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.move_on_after(10.0):
                while operators.configuration is None:
                    await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        await store.aclose()
        listener.close()
        assert operators.configuration is not None
        assert len(operators.configuration.queue_by_name) == QUEUES

    anyio.run(scenario)


def test_large_change_is_received_over_a_slow_link():
    """Guards against a feed that is lost with each change of a large configuration."""

    async def scenario():
        server = SlowServer(make_large_configuration(), PART_S)
        listener, store = await start(server)
        page = await store.follow("op", 1, 0.1)
        await store.aclose()
        listener.close()
        assert page.version == 3

    anyio.run(scenario)


@pytest.mark.parametrize("parts", [0, 3])
def test_response_that_stops_arriving_is_given_up(parts):
    """Guards against a call that hangs on a connection that has gone silent."""

    async def scenario():
        server = SlowServer(make_large_configuration(), PART_S, parts)
        listener, store = await start(server)
        started_s = anyio.current_time()
        with pytest.raises(StoreOutcomeUnknown):
            await store.read("op", "")
        assert anyio.current_time() - started_s < 3.0
        await store.aclose()
        listener.close()

    anyio.run(scenario)


def test_response_that_arrives_for_too_long_is_given_up(monkeypatch):
    """Guards against a call without any limit."""

    async def scenario():
        monkeypatch.setattr(_store, "TRANSFER_S", 1.0)
        server = SlowServer(make_large_configuration(), 0.2)
        listener, store = await start(server)
        started_s = anyio.current_time()
        with pytest.raises(StoreOutcomeUnknown):
            await store.read("op", "")
        assert anyio.current_time() - started_s < 4.0
        await store.aclose()
        listener.close()

    anyio.run(scenario)
