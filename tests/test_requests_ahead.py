"""Requests that a client sends ahead while it reads the responses."""

import anyio

from flamingoweir.asgi import read_body, send_response
from flamingoweir.daemon._server import HttpServer
from flamingoweir.policy import ConnectionLimits

REQUESTS = 1000 * b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
RESPONSES = 300
MAX_BUFFERED_BYTES = 1_000_000


async def respond_later(scope, receive, send) -> None:
    """Respond after reading the body and waiting, as a submission does."""
    await read_body(receive, 1_000)
    await anyio.sleep(0.002)
    await send_response(send, 200, [], b"ok")


def test_requests_sent_ahead_are_bounded_while_responses_are_read():
    """Fails if each response lets more requests in than it answers."""

    async def scenario():
        limits = ConnectionLimits(held_bytes=MAX_BUFFERED_BYTES)
        server = HttpServer(respond_later, "127.0.0.1", 0, limits=limits)

        async def send_ahead(stream) -> None:
            while True:
                await stream.send(REQUESTS)

        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            stream = await anyio.connect_tcp("127.0.0.1", server.port)
            tasks.start_soon(send_ahead, stream)
            data = b""
            while data.count(b"HTTP/1.1 200") < RESPONSES:
                data += await stream.receive()
            (protocol,) = server._server.server_state.connections
            buffered = len(protocol.conn.trailing_data[0])
            tasks.cancel_scope.cancel()
        assert buffered <= MAX_BUFFERED_BYTES, f"{buffered} bytes are buffered"

    anyio.run(scenario, backend_options={"use_uvloop": True})
