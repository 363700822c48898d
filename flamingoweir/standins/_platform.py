"""The platform's services in memory, with injected outages and lost responses."""

import bisect
from collections.abc import Sequence

import anyio

from ..storage import (
    ABSENT_VERSION,
    Instance,
    Precondition,
    PreconditionFailed,
    Row,
    TableUnavailable,
    TransactionUnknown,
    Write,
)


class MemoryTable:
    """A table service in memory.

    Attributes
    ----------
    down : bool
        Whether every call is refused.
    delay_s : float
        Seconds that every call takes.
    lose_answers : int
        How many of the next transactions take effect without a response.
    transactions : int
        Transactions applied.
    rows_written : int
        Writes in these transactions, deletions included.
    reads : int
        Calls of `get` and `scan`.
    """

    def __init__(self) -> None:
        self._by_key: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = ABSENT_VERSION
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.transactions = 0
        self.rows_written = 0
        self.reads = 0

    async def transact(
        self, preconditions: Sequence[Precondition], writes: Sequence[Write]
    ) -> int:
        """See `Table.transact`."""
        await self._simulate_call()
        for condition in preconditions:
            row = self._by_key.get(condition.key)
            if (row.version if row else ABSENT_VERSION) != condition.version:
                raise PreconditionFailed(condition.key)
        self._version += 1
        self.transactions += 1
        self.rows_written += len(writes)
        for write in writes:
            self._write(write)
        version = self._version
        if self.lose_answers:
            self.lose_answers -= 1
            raise TransactionUnknown("response lost")
        return version

    async def get(self, key: str) -> Row | None:
        """See `Table.get`."""
        await self._simulate_call()
        self.reads += 1
        return self._by_key.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """See `Table.scan`."""
        await self._simulate_call()
        self.reads += 1
        start = bisect.bisect_left(self._keys, prefix)
        if after >= prefix:
            start = bisect.bisect_right(self._keys, after)
        found = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._by_key[key])
        return found

    def _write(self, write: Write) -> None:
        if write.value is None:
            if self._by_key.pop(write.key, None):
                self._keys.pop(bisect.bisect_left(self._keys, write.key))
            return
        if write.key not in self._by_key:
            bisect.insort(self._keys, write.key)
        self._by_key[write.key] = Row(write.key, write.value, self._version)

    async def _simulate_call(self) -> None:
        if self.down:
            raise TableUnavailable("the table service is down")
        if self.delay_s:
            await anyio.sleep(self.delay_s)


class MemoryObjectStore:
    """An object store in memory; while `down` is set, every call is refused."""

    def __init__(self) -> None:
        self.by_name: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, content: bytes) -> None:
        """See `ObjectStore.put`."""
        self._raise_if_down()
        self.by_name[name] = content

    async def get(self, name: str) -> bytes | None:
        """See `ObjectStore.get`."""
        self._raise_if_down()
        return self.by_name.get(name)

    async def delete(self, name: str) -> None:
        """See `ObjectStore.delete`."""
        self._raise_if_down()
        self.by_name.pop(name, None)

    def _raise_if_down(self) -> None:
        if self.down:
            raise TableUnavailable("the object store is down")


class MemoryInstanceList:
    """A list of instances in memory; while `down` is set, reading it fails."""

    def __init__(self) -> None:
        self.by_name: dict[str, Instance] = {}
        self.down = False

    async def instances(self) -> list[Instance]:
        """See `InstanceList.instances`."""
        if self.down:
            raise TableUnavailable("the list of instances is down")
        return list(self.by_name.values())

    def add(self, instance: Instance) -> None:
        """Add an instance to the list, or replace the entry of the same name."""
        self.by_name[instance.name] = instance
