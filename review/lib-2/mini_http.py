"""A small HTTP/1.1 server and client for the stand-ins, with the standard library."""

import asyncio
import json
from collections.abc import Awaitable, Callable

#: Takes method, path with query, and decoded body; returns status and body.
Handler = Callable[[str, str, dict], Awaitable[tuple[int, dict]]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


class Server:
    """Serves JSON calls on one loopback port."""

    def __init__(self, handler: Handler, wants_instance: str = ""):
        self.handler = handler
        self._instance = wants_instance
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 chooses a free one."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=4_000_000, backlog=1024
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                expected = headers.get("x-expect-instance", self._instance)
                if self._instance and expected != self._instance:
                    status, fields = 421, {}
                else:
                    status, fields = await self.handler(
                        method, path, json.loads(body) if body else {}
                    )
                data = json.dumps(fields).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The play has ended, in which asyncio would log each open connection.
            return
        finally:
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    fields: dict | None = None,
    host: str = "",
    timeout_s: float = 3.0,
    deadline_s: float = 3.0,
) -> tuple[int | None, dict]:
    """Make one call on a connection of its own; status None: no response in time."""
    name, _, port = address.partition(":")
    data = b"" if fields is None else json.dumps(fields).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
        f"Content-Type: application/json\r\n"
        f"X-Deadline-Ms: {round(deadline_s * 1000)}\r\n"
        f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                name, int(port), limit=4_000_000
            )
            writer.write(head.encode() + data)
            await writer.drain()
            line, headers = await read_head(reader)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            try:
                answer = json.loads(body) if body else {}
            except ValueError:
                answer = {}
            return int(line.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, {}
    finally:
        if writer is not None:
            writer.close()
