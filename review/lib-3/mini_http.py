"""A small HTTP/1.1 server on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
REASON_BY_STATUS = {200: "OK", 400: "Bad Request", 404: "Not Found"}


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON; an empty body counts as an empty object."""
        return json.loads(self.body or b"{}")


#: Returns status and JSON body of the response.
Handler = Callable[[Request], Awaitable[tuple[int, dict]]]


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve a handler on a port of the loopback address; return server and port."""

    async def serve_connection(reader, writer):
        try:
            while (request := await _read_request(reader)) is not None:
                status, fields = await handler(request)
                body = json.dumps(fields).encode()
                reason = REASON_BY_STATUS.get(status, "Status")
                head = (
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, HOST, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    url = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    return Request(method, url.path, query, headers, body)
