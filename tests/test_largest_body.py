"""A daemon serves a single request with the largest body that its settings allow."""

import anyio
import pytest

from flamingoweir.asgi import read_body, send_response
from flamingoweir.daemon._daemon import create_limits
from flamingoweir.daemon._server import HttpServer
from flamingoweir.settings import LimitSettings, RequestSettings

HOST = "127.0.0.1"


@pytest.mark.parametrize("memory_mb", [64.0, 160.0])
def test_largest_body_is_closed_for_the_bytes_that_it_holds(memory_mb):
    """Fails if the bytes of all connections are fewer than one request may have."""
    max_body_bytes = RequestSettings().max_body_bytes
    limits = create_limits(LimitSettings(memory_mb=memory_mb), max_body_bytes)

    async def app(scope, receive, send) -> None:
        body = await read_body(receive, max_body_bytes)
        await send_response(send, 200, [], str(len(body)).encode())

    async def scenario():
        server = HttpServer(app, HOST, 0, "http", limits["http"])
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            stream = await anyio.connect_tcp(HOST, server.port)
            length = str(max_body_bytes).encode()
            head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + length
            await stream.send(head + b"\r\n\r\n" + bytes(max_body_bytes))
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            tasks.cancel_scope.cancel()

    anyio.run(scenario, backend_options={"use_uvloop": True})
