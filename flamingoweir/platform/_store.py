"""The platform's store of rows."""

import base64
import binascii
import random
from urllib.parse import urlencode

import anyio
import pydantic
from pydantic import Field

from ..logs import get_logger
from ..storage import (
    HistoryTruncated,
    RowId,
    RowPage,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    Transaction,
    VersionedRow,
)
from ..transport import HttpClient, RequestNotSent, Response, ResponseLost
from ._model import WireModel

log = get_logger()

#: Seconds until a call counts as unanswered: a slow store takes up to 60 times its
#: usual 4 ms.
CALL_TIMEOUT_S = 0.7
#: Seconds beyond the wait that a feed's answer may take.
FEED_SLACK_S = 0.7
#: Calls at once; feeds have connections of their own.
CONNECTIONS = 8
#: Times that a call is made again after the store turned it away for its rate.
RATE_RETRIES = 3
#: Seconds between them at the most; random, so that instances spread out.
RATE_PAUSE_S = 0.1

JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class RowMessage(WireModel):
    """A row. ``part`` and ``rows`` are spelled small on the wire."""

    table: str
    part: str = Field(alias="part")
    key: str
    value: str = ""
    ver: int = 0
    tombstone: bool = False


class RowsMessage(WireModel):
    """An answer with rows; ``ver`` is the store's newest version."""

    rows: list[RowMessage] = Field(default_factory=list, alias="rows")
    has_more: bool = False
    ver: int = 0


class PlatformStore:
    """The store, spoken to over HTTP; see `RowStore`.

    Parameters
    ----------
    address : str
        ``host:port`` by IP number.
    """

    def __init__(self, address: str):
        self._client = HttpClient(address, CONNECTIONS, CALL_TIMEOUT_S)
        self._address = address
        self._feed_by_table: dict[str, HttpClient] = {}

    async def transact(self, transaction: Transaction) -> int:
        """See `RowStore.transact`."""
        message = {
            "Precondition": [
                {**_encode_id(row), "Ver": version}
                for row, version in transaction.expected
            ],
            "SetKeys": [
                {**_encode_id(row), "Value": base64.b64encode(value).decode()}
                for row, value in transaction.puts
            ],
            "DeleteKeys": [_encode_id(row) for row in transaction.deletes],
        }
        body = pydantic.TypeAdapter(dict).dump_json(message)
        answer = await self._call("POST", "/-/rows-tx", body)
        page = _decode_page(answer)
        if answer.status == 412:
            raise RowVersionConflict(page.rows)
        return page.version

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """See `RowStore.read`."""
        query = {"Table": table, "part": part, "Limit": limit}
        if first:
            query["From"] = first
        if end:
            query["Target"] = end
        return _decode_page(await self._call("GET", "/-/rows-get?" + urlencode(query)))

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """See `RowStore.follow`."""
        client = self._feed_by_table.get(table)
        if client is None:
            client = HttpClient(self._address, 1, CALL_TIMEOUT_S)
            self._feed_by_table[table] = client
        query = {"Table": table, "After": after, "WaitMs": round(wait_s * 1000)}
        answer = await _exchange(
            client,
            "GET",
            "/-/rows-feed?" + urlencode(query),
            timeout_s=wait_s + FEED_SLACK_S,
        )
        if answer.status == 410:
            raise HistoryTruncated(f"table {table!r} after version {after}")
        return _decode_page(answer)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._client.aclose()
        for client in self._feed_by_table.values():
            await client.aclose()

    async def _call(self, method: str, path: str, body: bytes = b"") -> Response:
        for _ in range(RATE_RETRIES):
            try:
                return await _exchange(self._client, method, path, body)
            except StoreRefused as error:
                if not error.overloaded:
                    raise
            await anyio.sleep(random.uniform(0.2, 1.0) * RATE_PAUSE_S)
        return await _exchange(self._client, method, path, body)


async def _exchange(
    client: HttpClient,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float | None = None,
) -> Response:
    headers = JSON_HEADERS if body else ()
    try:
        answer = await client.call(method, path, body, headers, timeout_s)
    except RequestNotSent as error:
        raise StoreRefused(f"no connection: {error}") from error
    except ResponseLost as error:
        raise StoreOutcomeUnknown(str(error)) from error
    if answer.status in (429, 503):
        raise StoreRefused(f"status {answer.status}", answer.status == 429)
    if answer.status in (200, 410, 412):
        return answer
    raise StoreRefused(f"status {answer.status}: {answer.body[:200]!r}")


def _encode_id(row: RowId) -> dict[str, str]:
    return {"Table": row.table, "part": row.part, "Key": row.key}


def _decode_page(answer: Response) -> RowPage:
    try:
        page = RowsMessage.model_validate_json(answer.body)
    except pydantic.ValidationError as error:
        # A whole answer that can't be read says nothing of what was done.
        raise StoreOutcomeUnknown(f"unreadable answer: {error.errors()[0]}") from error
    rows = [_decode_row(row) for row in page.rows]
    return RowPage(rows, page.has_more, page.ver)


def _decode_row(row: RowMessage) -> VersionedRow:
    identity = RowId(row.table, row.part, row.key)
    if row.tombstone:
        return VersionedRow(identity, None, row.ver, deleted=True)
    try:
        value = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("row_unreadable", table=row.table, key=row.key, detail=str(error))
        return VersionedRow(identity, None, row.ver)
    return VersionedRow(identity, value, row.ver)
