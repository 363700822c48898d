"""HTTP client of the platform's row store."""

import base64
import binascii
import random
from urllib.parse import urlencode

import anyio
import orjson
import pydantic
from pydantic import Field

from ..logs import get_logger
from ..storage import (
    DEFAULT_MAX_ROW_BYTES,
    HistoryTruncated,
    RowId,
    RowPage,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreRejected,
    Transaction,
    VersionedRow,
)
from ..transport import HttpClient, RequestNotSent, Response, ResponseLost
from ._model import Number, WireModel

log = get_logger()

#: Timeout of a call, and of each further part of what is read, in seconds. A slow store
#: takes up to 60 times its usual 4 ms.
CALL_TIMEOUT_S = 0.7
#: Seconds after the end of the requested wait at which a call to a feed times out.
FEED_SLACK_S = 0.7
#: Longest time in seconds of a read whose response keeps arriving. Through a link of 5
#: megabits per second, half a megabyte takes longer than `CALL_TIMEOUT_S`, and a call
#: that is repeated begins anew.
TRANSFER_S = 5.0
#: Largest number of concurrent calls, apart from the feeds, which have a connection
#: each.
MAX_CONNECTIONS = 8
#: Number of retries of a call that the store refuses for its request rate.
MAX_RATE_LIMIT_RETRIES = 3
#: Longest pause before a retry of a refused call, in seconds. The pause is random, so
#: that instances do not retry at the same time.
MAX_RATE_LIMIT_PAUSE_S = 0.1

JSON_HEADERS = ((b"Content-Type", b"application/json"),)
#: Status of a call that the store could not read in time.
REQUEST_TIMEOUT = 408


class RowMessage(WireModel):
    """A row in a response."""

    table: str
    part: str = Field(alias="part")
    key: str
    #: Value in Base64.
    value: str = ""
    #: Version of the transaction that wrote the row.
    ver: int = 0
    #: Whether the row was deleted.
    tombstone: bool = False


class RowsMessage(WireModel):
    """A response that contains rows."""

    rows: list[RowMessage] = Field(default_factory=list, alias="rows")
    #: Whether further rows follow the last one.
    has_more: bool = False
    #: Newest version of the store.
    ver: int = 0
    #: The store's steady clock, in milliseconds.
    now_ms: Number | None = None


class PlatformStore:
    """Client of the platform's row store; implements `RowStore`.

    Every call raises `StoreRefused` if the store did not carry out the call,
    `StoreRejected` if it never will, and `StoreOutcomeUnknown` if it may have carried
    it out.

    Parameters
    ----------
    address : str
        IP address and port of the store, as ``host:port``.
    max_row_bytes : int
        Largest size of a row's value, in bytes.
    """

    def __init__(self, address: str, max_row_bytes: int = DEFAULT_MAX_ROW_BYTES):
        self.max_row_bytes = max_row_bytes
        self._client = HttpClient(address, MAX_CONNECTIONS, CALL_TIMEOUT_S)
        self._address = address
        self._feed_client_by_table: dict[str, HttpClient] = {}

    async def transact(self, transaction: Transaction) -> int:
        """Apply a transaction and return its version.

        Raises
        ------
        RowVersionConflict
            If a precondition does not hold; nothing is written.
        """
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
        response = await self._call("POST", "/-/rows-tx", orjson.dumps(message))
        page = _decode_page(response)
        if response.status == 412:
            raise RowVersionConflict(page.rows)
        return page.version

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows of a part, in the order of their keys.

        Parameters
        ----------
        table, part : str
            Table and part to read.
        first : str
            Key to start from, inclusive; empty: the first key.
        end : str
            Key to stop before; empty: no end.
        limit : int
            Largest number of rows.
        """
        query = {"Table": table, "part": part, "Limit": limit}
        if first:
            query["From"] = first
        if end:
            query["Target"] = end
        return _decode_page(await self._call("GET", "/-/rows-get?" + urlencode(query)))

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes of a table.

        Parameters
        ----------
        table : str
            Table to watch.
        after : int
            Version after which changes are returned.
        wait_s : float
            Seconds that the store waits for a change.

        Raises
        ------
        HistoryTruncated
            If the store no longer has the changes after that version.
        """
        client = self._feed_client_by_table.get(table)
        if client is None:
            client = HttpClient(self._address, 1, CALL_TIMEOUT_S)
            self._feed_client_by_table[table] = client
        query = {"Table": table, "After": after, "WaitMs": round(wait_s * 1000)}
        response = await _exchange(
            client,
            "GET",
            "/-/rows-feed?" + urlencode(query),
            timeout_s=wait_s + FEED_SLACK_S,
        )
        if response.status == 410:
            raise HistoryTruncated(
                f"the store no longer has the changes of table {table!r} after "
                f"version {after}; read the whole table"
            )
        return _decode_page(response)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._client.aclose()
        for client in self._feed_client_by_table.values():
            await client.aclose()

    async def _call(self, method: str, path: str, body: bytes = b"") -> Response:
        for _ in range(MAX_RATE_LIMIT_RETRIES):
            try:
                return await _exchange(self._client, method, path, body)
            except StoreRefused as error:
                if not error.overloaded:
                    raise
            await anyio.sleep(random.uniform(0.2, 1.0) * MAX_RATE_LIMIT_PAUSE_S)
        return await _exchange(self._client, method, path, body)


async def _exchange(
    client: HttpClient,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float | None = None,
) -> Response:
    """Make one call; convert transport failures and error statuses to store errors."""
    headers = JSON_HEADERS if body else ()
    transfer_s = TRANSFER_S if method == "GET" else 0.0
    try:
        response = await client.call(method, path, body, headers, timeout_s, transfer_s)
    except RequestNotSent as error:
        raise StoreRefused(f"the request was not sent: {error}") from error
    except ResponseLost as error:
        raise StoreOutcomeUnknown(str(error)) from error
    if response.status in (429, 503):
        raise StoreRefused(
            f"the store responded with status {response.status}", response.status == 429
        )
    if response.status in (200, 410, 412):
        return response
    # The body may contain rows, and a row of the operators' table contains keys.
    error_type = StoreRefused
    if 400 <= response.status < 500 and response.status != REQUEST_TIMEOUT:
        error_type = StoreRejected
    raise error_type(
        f"the store responded with unexpected status {response.status} and "
        f"{len(response.body)} bytes"
    )


def _encode_id(row: RowId) -> dict[str, str]:
    return {"Table": row.table, "part": row.part, "Key": row.key}


def _decode_page(response: Response) -> RowPage:
    try:
        page = RowsMessage.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        # The store may have carried out a call whose response can't be decoded. The
        # response may contain keys of customers, which must not be logged.
        first = error.errors(include_input=False, include_url=False)[0]
        raise StoreOutcomeUnknown(
            f"the store sent an invalid response: {first['loc']}: {first['msg']}"
        ) from error
    rows = [_decode_row(row) for row in page.rows]
    now_s = None if page.now_ms is None else page.now_ms / 1000
    return RowPage(rows, page.has_more, page.ver, now_s)


def _decode_row(row: RowMessage) -> VersionedRow:
    row_id = RowId(row.table, row.part, row.key)
    if row.tombstone:
        return VersionedRow(row_id, None, row.ver, deleted=True)
    try:
        value = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warning("row_unreadable", table=row.table, key=row.key, detail=str(error))
        return VersionedRow(row_id, None, row.ver)
    return VersionedRow(row_id, value, row.ver)
