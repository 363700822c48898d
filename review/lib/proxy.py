"""A proxy on loopback that can deliver a start order late.

``python3 proxy.py LISTEN TARGET`` forwards each connection. After a line ``late
SECONDS`` on standard input, the next start order gets no answer, and is delivered so
much later over a connection of its own.
"""

import asyncio
import sys


class Proxy:
    """Forwards connections to a runner.

    Parameters
    ----------
    host : str
        Address of the runner.
    port : int
        Port of the runner.

    Attributes
    ----------
    order_delay_s : float or None
        Delay of the next start order in seconds; None if it is forwarded at once.
    """

    def __init__(self, host, port):
        self.order_delay_s = None
        self._target = host, port
        self._late = set()

    async def handle(self, reader, writer):
        """Forward one connection until both sides have closed it."""
        try:
            to_reader, to_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            _pump(self._take_orders(reader), to_writer),
            _pump(_read(to_reader), writer),
        )
        to_writer.close()
        writer.close()

    async def _take_orders(self, reader):
        """Yield what a client sends, but for an order that is to be late."""
        async for data in _read(reader):
            delay_s = self.order_delay_s
            if delay_s is None or not data.startswith(b"POST /-/run-start"):
                yield data
                continue
            self.order_delay_s = None
            task = asyncio.create_task(self._deliver(data, delay_s))
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _deliver(self, data, delay_s):
        await asyncio.sleep(delay_s)
        reader, writer = await asyncio.open_connection(*self._target)
        writer.write(data)
        await reader.read(4096)
        writer.close()


async def _read(reader):
    while data := await reader.read(65536):
        yield data


async def _pump(chunks, writer):
    try:
        async for data in chunks:
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
    except OSError:
        writer.close()


async def main():
    """Forward until killed."""
    host, port = sys.argv[1].rsplit(":", 1)
    target_host, target_port = sys.argv[2].rsplit(":", 1)
    proxy = Proxy(target_host, int(target_port))
    server = await asyncio.start_server(proxy.handle, host, int(port))
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.startswith("late "):
            proxy.order_delay_s = float(line.split()[1])
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
