"""Stand-in of the platform's store: rows, transactions and the feed of a table.

``python3 store.py PORT`` serves on a loopback address until it is killed.
"""

import asyncio
import json
import sys
import time
from urllib.parse import parse_qs, urlsplit

from http_server import serve

#: Seconds that a transaction takes.
TX_S = 0.003


class Store:
    """Rows in memory, with one counter of versions."""

    def __init__(self):
        self.version = 0
        #: Value and version by table, part and key.
        self.rows = {}
        #: Version, id and value of each change; a value of None marks a dropped row.
        self.history = []
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/-/rows-tx":
            await asyncio.sleep(TX_S)
            return self._transact(json.loads(body))
        if url.path == "/-/rows-get":
            return 200, self._get(query)
        if url.path == "/-/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/-/rows-parts":
            table = query["Table"]
            parts = sorted({part for t, part, _ in self.rows if t == table})
            return 200, self._stamp({"parts": parts, "HasMore": False})
        return 404, {}

    def _transact(self, call):
        current, holds = [], True
        for item in call.get("Precondition") or ():
            key = _key(item)
            value, version = self.rows.get(key, (None, 0))
            holds = holds and version == item.get("Ver", 0)
            if version:
                current.append(_encode(key, value, version))
        if not holds:
            return 412, self._stamp({"rows": current})
        self.version += 1
        for item in call.get("SetKeys") or ():
            key = _key(item)
            self.rows[key] = item["Value"], self.version
            self.history.append((self.version, key, item["Value"]))
        for item in call.get("DeleteKeys") or ():
            key = _key(item)
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self._stamp({})

    def _get(self, query):
        table, part = query["Table"], query.get("part", "")
        first, end = query.get("From", ""), query.get("Target", "")
        limit = min(500, int(query.get("Limit", 500)))
        found = []
        for key in sorted(self.rows):
            if key[:2] != (table, part) or key[2] < first or (end and key[2] >= end):
                continue
            found.append(_encode(key, *self.rows[key]))
        more = len(found) > limit
        return self._stamp({"rows": found[:limit], "HasMore": more})

    async def _feed(self, query):
        table, after = query["Table"], int(query["After"])
        until_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            changed = self.changed
            latest = {}
            for version, key, value in reversed(self.history):
                if version <= after:
                    break
                if key[0] == table:
                    latest.setdefault(key, (version, value))
            rows = sorted((v, key, value) for key, (v, value) in latest.items())
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return self._stamp({"rows": [_encode(k, x, v) for v, k, x in rows]})
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _stamp(self, fields):
        now_ms = round(1000 * time.monotonic())
        return {**fields, "Ver": self.version, "NowMs": now_ms}


def _key(item):
    return item["Table"], item.get("part", ""), item["Key"]


def _encode(key, value, version):
    fields = {"Table": key[0], "part": key[1], "Key": key[2], "Ver": version}
    if value is None:
        return {**fields, "Tombstone": True}
    return {**fields, "Value": value}


async def main():
    """Serve until killed."""
    host, port = sys.argv[1].rsplit(":", 1)
    server = await serve(host, int(port), Store().handle)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
