"""The owner's writes must not wait behind the requests of submitters."""

import asyncio

import anyio

from flamingoweir.ownership import JOB_TABLE, owner_row
from flamingoweir.platform import connect_platform
from flamingoweir.platform._store import MAX_CONNECTIONS
from flamingoweir.settings import FleetSettings
from flamingoweir.storage import Transaction


def test_write_of_the_owner_is_sent_while_reads_wait_for_the_store():
    """Guards against an owner that loses the shard to its submitters' requests.

    With a store that takes 0.25 s for a read, 60 reads held up a renewal for two
    seconds, while a standby takes the shard after 1.6 s.
    """

    async def scenario():
        requests = []

        async def hold(reader, writer):
            requests.append(await reader.readline())
            try:
                await reader.read()
            finally:
                writer.close()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        address = f"{host}:{port}"
        links = connect_platform(
            FleetSettings("front-0", host, "powys", address, address, 1, 2, address)
        )
        async with anyio.create_task_group() as tasks:
            for number in range(MAX_CONNECTIONS + 4):
                tasks.start_soon(links.store.read, JOB_TABLE, "part", str(number))
            while len(requests) < MAX_CONNECTIONS:
                await anyio.sleep(0.01)
            write = Transaction([], [(owner_row("s0"), b"{}")], ())
            tasks.start_soon(links.owner_store.transact, write)
            # The reads give up after 0.7 s.
            await anyio.sleep(0.3)
            sent = any(line.startswith(b"POST") for line in requests)
            tasks.cancel_scope.cancel()
        server.close()
        assert sent

    anyio.run(scenario)
