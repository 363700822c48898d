"""A proxy on loopback that can hold up what passes, as a partition does.

``python3 proxy.py LISTEN TARGET`` forwards each connection. A line ``cut`` on standard
input holds up all bytes in both directions until ``heal``. As on a real link, bytes
that were sent over an open connection are still delivered after the cut, and nothing
of connections that were opened meanwhile is.
"""

import asyncio
import sys


class Link:
    """Whether bytes pass."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()


async def _pump(link, reader, writer):
    try:
        while data := await reader.read(65536):
            await link.open.wait()
            writer.write(data)
            await writer.drain()
        await link.open.wait()
        if writer.can_write_eof():
            writer.write_eof()
    except (ConnectionError, OSError):
        writer.close()


async def main():
    """Forward until killed."""
    host, port = sys.argv[1].rsplit(":", 1)
    target_host, target_port = sys.argv[2].rsplit(":", 1)
    link = Link()

    async def on_connection(reader, writer):
        if not link.open.is_set():
            await link.open.wait()
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection(
                target_host, int(target_port)
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            _pump(link, reader, to_writer), _pump(link, to_reader, writer)
        )
        to_writer.close()
        writer.close()

    server = await asyncio.start_server(on_connection, host, int(port))
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "cut":
            link.open.clear()
        if line.strip() == "heal":
            link.open.set()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
