"""The platform's store as a process: rows, feeds, and the limits that the pages set.

Prints its port, and ends with its standard input. The paths under ``/control/`` are
those of the operator and the runners, whose tables the system may not write.
"""

import asyncio
import base64
import sys
import time

from mini_http import Request, serve

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000
TX_S = 0.003
READ_S = 0.002
FOREIGN_TABLES = ("op", "servers")
#: Seconds of silence after which a runner's entry is removed: three pings.
ENTRY_LIFE_S = 3.3

Id = tuple[str, str, str]


class Store:
    """Rows by table, part and key, with the history of their changes."""

    def __init__(self) -> None:
        self.row_by_id: dict[Id, tuple[bytes, int]] = {}
        self.version = 0
        self.history: list[tuple[int, Id]] = []
        self.changed = asyncio.Event()
        self.refused_rows: list[tuple[str, int]] = []
        self._lock_by_part: dict[str, asyncio.Lock] = {}
        self._beat_by_runner: dict[str, float] = {}

    def apply(self, puts: list[tuple[Id, bytes]], deletes: list[Id]) -> int:
        """Write and delete rows as one transaction."""
        self.version += 1
        for row, value in puts:
            self.row_by_id[row] = (value, self.version)
            self.history.append((self.version, row))
        for row in deletes:
            if self.row_by_id.pop(row, None) is not None:
                self.history.append((self.version, row))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def handle(self, request: Request) -> tuple[int, dict]:
        """Answer a call."""
        if request.path == "/-/rows-tx":
            return await self._transact(request)
        if request.path == "/-/rows-get":
            await asyncio.sleep(READ_S)
            return 200, self._read(request.query)
        if request.path == "/-/rows-feed":
            return 200, await self._follow(request.query)
        if request.path == "/control/put":
            fields = request.json()
            row = (fields["Table"], "", fields["Key"])
            self.apply([(row, fields["Value"].encode())], [])
            if fields["Table"] == "servers":
                self._beat_by_runner[fields["Key"]] = time.monotonic()
            return 200, {}
        if request.path == "/control/refused":
            return 200, {"rows": self.refused_rows}
        return 404, {}

    async def expire_entries(self) -> None:
        """Remove the entries of runners that are silent."""
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for runner, beat_s in list(self._beat_by_runner.items()):
                if now_s - beat_s > ENTRY_LIFE_S:
                    del self._beat_by_runner[runner]
                    self.apply([], [("servers", "", runner)])

    async def _transact(self, request: Request) -> tuple[int, dict]:
        fields = request.json()
        expected = [(_id(row), row["Ver"]) for row in fields.get("Precondition", [])]
        puts = []
        for row in fields.get("SetKeys", []):
            puts.append((_id(row), base64.b64decode(row["Value"])))
        deletes = [_id(row) for row in fields.get("DeleteKeys", [])]
        ids = [row for row, _ in expected] + [row for row, _ in puts] + deletes
        for row, value in puts:
            if len(value) > ROW_BYTES:
                self.refused_rows.append((row[0], len(value)))
                return 400, {"Reason": "the value of a row is too large"}
        if len(ids) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES:
            return 400, {"Reason": "the call is too large"}
        if any(row[0] in FOREIGN_TABLES for row, _ in puts):
            return 403, {}
        part = ids[0][1]
        if any(row[1] != part for row in ids):
            return 400, {"Reason": "more than one part"}
        lock = self._lock_by_part.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            for row, version in expected:
                if self.row_by_id.get(row, (b"", 0))[1] != version:
                    current = [r for r, _ in expected if r in self.row_by_id]
                    return 412, self._page([self._encode(r) for r in current])
            return 200, {"Ver": self.apply(puts, deletes)}

    def _read(self, query: dict[str, str]) -> dict:
        table, part = query["Table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("Limit", MAX_PAGE_ROWS)))
        found = []
        for row in sorted(self.row_by_id, key=lambda row: row[2].encode()):
            if row[:2] != (table, part) or row[2] < first:
                continue
            if not end or row[2] < end:
                found.append(row)
        rows, size = [], 0
        for row in found[:limit]:
            size += 2 * len(self.row_by_id[row][0])
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(self._encode(row))
        return {**self._page(rows), "HasMore": len(rows) < len(found)}

    async def _follow(self, query: dict[str, str]) -> dict:
        table, after = query["Table"], int(query["After"])
        until_s = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            latest: dict[Id, int] = {}
            for version, row in reversed(self.history):
                if version <= after:
                    break
                if row[0] == table and row not in latest:
                    latest[row] = version
            left_s = until_s - time.monotonic()
            if latest or left_s <= 0:
                rows = []
                for row, version in sorted(latest.items(), key=lambda item: item[1]):
                    rows.append(self._encode(row, version))
                return self._page(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _page(self, rows: list[dict]) -> dict:
        now_ms = round(1000 * time.monotonic())
        return {"rows": rows, "Ver": self.version, "NowMs": now_ms}

    def _encode(self, row: Id, changed: int = 0) -> dict:
        fields = {"Table": row[0], "part": row[1], "Key": row[2]}
        if row not in self.row_by_id:
            return {**fields, "Ver": changed, "Tombstone": True}
        value, version = self.row_by_id[row]
        return {**fields, "Ver": version, "Value": base64.b64encode(value).decode()}


def _id(row: dict) -> Id:
    return row["Table"], row.get("part", ""), row["Key"]


async def main() -> None:
    """Serve until standard input ends."""
    store = Store()
    _, port = await serve(store.handle)
    expiry = asyncio.create_task(store.expire_entries())
    print(port, flush=True)
    await asyncio.to_thread(sys.stdin.read)
    expiry.cancel()


if __name__ == "__main__":
    asyncio.run(main())
