"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Prints its port. ``POST /standin/put`` and ``/standin/drop`` write rows as the operator
and the runners do.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from mini_http import Server

ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
MAX_ENTRIES = 100
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
TX_S = 0.003
READ_S = 0.002


class Store:
    """Rows with versions from one counter, and feeds of their changes."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.latest: dict[str, dict[tuple, dict]] = {}
        self.version = 0
        self.changed = asyncio.Condition()
        self.lock_by_part: dict[str, asyncio.Lock] = {}

    def now_ms(self) -> int:
        """Return the store's steady clock."""
        return round(1000 * time.monotonic())

    def page(self, rows: list[dict], **more) -> dict:
        """Return a response with rows."""
        return {"rows": rows, "Ver": self.version, "NowMs": self.now_ms(), **more}

    async def serve(self, method: str, path: str, body: dict) -> tuple[int, dict]:
        """Serve one call."""
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            part = (body.get("SetKeys") or body.get("DeleteKeys") or [{}])[0].get(
                "part", ""
            )
            async with self.lock_by_part.setdefault(part, asyncio.Lock()):
                await asyncio.sleep(TX_S)
                return await self.transact(body)
        if url.path == "/-/rows-get":
            await asyncio.sleep(READ_S)
            return 200, self.get(query)
        if url.path == "/-/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/standin/put":
            value = base64.b64encode(json.dumps(body["value"]).encode()).decode()
            row = {"Table": body["table"], "part": "", "Key": body["key"]}
            return await self.write([{**row, "Value": value}], [])
        if url.path == "/standin/drop":
            row = {"Table": body["table"], "part": "", "Key": body["key"]}
            return await self.write([], [row])
        return 404, {}

    async def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction, or none of it."""
        expected = body.get("Precondition", [])
        puts, drops = body.get("SetKeys", []), body.get("DeleteKeys", [])
        entries = [*expected, *puts, *drops]
        size = sum(len(item["Value"]) for item in puts)
        if len(entries) > MAX_ENTRIES or size > CALL_BYTES:
            return 400, {}
        if len({item["part"] for item in entries}) > 1 and not body.get("Across"):
            return 400, {}
        for item in puts:
            if len(base64.b64decode(item["Value"])) > ROW_BYTES:
                return 400, {}
        if any(item["Table"] in ("op", "servers") for item in (*puts, *drops)):
            return 403, {}
        current, holds = [], True
        for item in expected:
            row = self.rows.get(_key(item))
            if row is not None:
                current.append(row)
            holds = holds and (row["Ver"] if row else 0) == item["Ver"]
        if not holds:
            return 412, self.page(current)
        return await self.write(puts, drops)

    async def write(self, puts: list[dict], drops: list[dict]) -> tuple[int, dict]:
        """Write and drop rows as one transaction."""
        self.version += 1
        for item in puts:
            row = {**item, "Ver": self.version}
            self.rows[_key(item)] = row
            self.latest.setdefault(item["Table"], {})[_key(item)] = row
        for item in drops:
            if self.rows.pop(_key(item), None) is not None:
                row = {**item, "Ver": self.version, "Tombstone": True}
                self.latest.setdefault(item["Table"], {})[_key(item)] = row
        async with self.changed:
            self.changed.notify_all()
        return 200, self.page([])

    def get(self, query: dict) -> dict:
        """Return a page of rows of a part."""
        found = []
        for (table, part, key), row in self.rows.items():
            if table != query["Table"] or part != query.get("part", ""):
                continue
            if key < query.get("From", "") or key >= query.get("Target", "\uffff"):
                continue
            found.append((key.encode(), row))
        found.sort(key=lambda item: item[0])
        limit = min(int(query.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        page, size = [], 0
        for _, row in found[:limit]:
            size += len(row["Value"]) + 100
            if page and size > PAGE_BYTES:
                break
            page.append(row)
        return self.page(page, HasMore=len(page) < len(found))

    async def feed(self, query: dict) -> dict:
        """Return changes of a table as soon as there is one."""
        after, until_s = int(query["After"]), time.monotonic()
        until_s += min(30_000, int(query["WaitMs"])) / 1000
        while True:
            latest = self.latest.get(query["Table"], {}).values()
            rows = [row for row in latest if row["Ver"] > after]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self.page(sorted(rows, key=lambda row: row["Ver"]))
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue


def _key(item: dict) -> tuple[str, str, str]:
    return item["Table"], item["part"], item["Key"]


async def main() -> None:
    """Serve until the process is ended."""
    server = Server(Store().serve)
    await server.start()
    print(server.port, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
