"""A small HTTP/1.1 server for the stand-ins; standard library only."""

import asyncio
import json

REASON = {200: "OK", 409: "Conflict", 412: "Precondition Failed", 421: "Misdirected"}


async def serve(host, port, handle):
    """Serve ``await handle(method, target, headers, body) -> (status, fields)``.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 picks a free one.
    handle : callable
        Answers one request.

    Returns
    -------
    asyncio.Server
        The listening server.
    """

    async def on_connection(reader, writer):
        try:
            while await _serve_one(reader, writer, handle):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port)


async def _serve_one(reader, writer, handle) -> bool:
    line = await reader.readline()
    if not line:
        return False
    method, target, _ = line.decode().split(" ", 2)
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    status, fields = await handle(method, target, headers, body)
    content = json.dumps(fields).encode()
    head = (
        f"HTTP/1.1 {status} {REASON.get(status, 'Other')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    writer.write(head.encode() + content)
    await writer.drain()
    return True
