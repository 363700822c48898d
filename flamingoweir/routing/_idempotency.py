"""Idempotency keys of callers, stored in the platform's table.

A row claims the key before the request is sent, so that the key is valid on all
entry instances and after restarts. See docs/design/0006-idempotency-keys.md.
"""

import base64
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import orjson

from ..errors import ErrorCode, FlamingoweirError, Verdict
from ..storage import (
    ABSENT_VERSION,
    Precondition,
    PreconditionFailed,
    Row,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)

#: Largest body, in bytes, of a response that is stored with its key.
MAX_STORED_BODY_BYTES = 8_192
#: Largest number of tries to write the row of a key.
MAX_STORE_TRIES = 3
KEY_PREFIX = "once/"
#: Rows that a sweep reads at a time.
SWEEP_PAGE_ROWS = 100
#: Seconds between two pages of a sweep.
SWEEP_PAUSE_S = 1.0
#: Seconds between two tries to write a row.
RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response stored for requests that repeat a key.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of (bytes, bytes)
        Headers without the content length.
    body : bytes
        Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of a request on a key.

    Attributes
    ----------
    key : str
        Key of the row in the table.
    version : int
        Version of the row.
    """

    key: str
    version: int


class IdempotencyKeys:
    """Claims keys and stores small responses.

    Parameters
    ----------
    table : Table
        Table service of the platform.
    wall_clock : callable
        Returns seconds since 1970, for the age of keys.
    """

    def __init__(self, table: Table, wall_clock: Callable[[], float]):
        self._table = table
        self._wall_clock = wall_clock

    async def claim(
        self, team: str, key: str, request_id: str
    ) -> Claim | StoredResponse:
        """Claim a key for a request, or return the stored response to the key.

        Raises
        ------
        FlamingoweirError
            If another request has claimed the key and its response is not stored, or
            if the store can't be reached. This request was not run.
        """
        row_key = f"{KEY_PREFIX}{team}/{key}"
        value = orjson.dumps(
            {"claimed_by": request_id, "at": int(self._wall_clock())}
        ).decode()
        for _ in range(MAX_STORE_TRIES):
            try:
                version = await self._table.transact(
                    [Precondition(row_key, ABSENT_VERSION)], [Write(row_key, value)]
                )
                return Claim(row_key, version)
            except (TableUnavailable, TransactionUnknown):
                await anyio.sleep(RETRY_PAUSE_S)
            except PreconditionFailed:
                found = await self._read_claimed(row_key, value)
                if found is not None:
                    return found
        raise FlamingoweirError(
            ErrorCode.STORE_UNAVAILABLE,
            "the store is unavailable, so the idempotency key can't be recorded; the "
            "request was not run, try again with the same key",
            retry_after_s=2.0,
        )

    async def store_response(self, claim: Claim, response: StoredResponse) -> None:
        """Store a response for requests that repeat the key, if its body is small."""
        if len(response.body) > MAX_STORED_BODY_BYTES:
            return
        fields = {
            "at": int(self._wall_clock()),
            "status": response.status,
            "headers": [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in response.headers
            ],
            "body": base64.b64encode(response.body).decode(),
        }
        await self._replace_row(claim, orjson.dumps(fields).decode())

    async def release(self, claim: Claim) -> None:
        """Delete the claim of a request that was not run."""
        await self._replace_row(claim, None)

    async def sweep(self, retention_s: float) -> int:
        """Delete keys older than ``retention_s`` seconds; return the number deleted.

        A sweep ends when the store fails. The next sweep deletes the remaining keys.
        """
        deleted = 0
        last_key = ""
        oldest_s = self._wall_clock() - retention_s
        try:
            while True:
                rows = await self._table.scan(KEY_PREFIX, last_key, SWEEP_PAGE_ROWS)
                deleted += await self._delete_expired(rows, oldest_s)
                if len(rows) < SWEEP_PAGE_ROWS:
                    return deleted
                last_key = rows[-1].key
                await anyio.sleep(SWEEP_PAUSE_S)
        except (TableUnavailable, TransactionUnknown, PreconditionFailed):
            return deleted

    async def _delete_expired(self, rows: list[Row], oldest_s: float) -> int:
        expired = [
            row for row in rows if orjson.loads(row.value).get("at", 0) < oldest_s
        ]
        if expired:
            await self._table.transact(
                [Precondition(row.key, row.version) for row in expired],
                [Write(row.key, None) for row in expired],
            )
        return len(expired)

    async def _read_claimed(
        self, row_key: str, value: str
    ) -> Claim | StoredResponse | None:
        """Return the claim or the response in the row of a key.

        Return None if the row is absent or can't be read.

        Raises
        ------
        FlamingoweirError
            If another request has claimed the key and its response is not stored.
        """
        try:
            row = await self._table.get(row_key)
        except TableUnavailable:
            return None
        if row is None:
            return None
        if row.value == value:
            return Claim(row_key, row.version)
        fields = orjson.loads(row.value)
        if "status" not in fields:
            raise FlamingoweirError(
                ErrorCode.DUPLICATE_KEY,
                "another request with this key was sent and its response is not stored",
                Verdict.MAY_HAVE_RUN,
            )
        headers = [
            (name.encode("latin-1"), text.encode("latin-1"))
            for name, text in fields["headers"]
        ]
        return StoredResponse(
            fields["status"], headers, base64.b64decode(fields["body"])
        )

    async def _replace_row(self, claim: Claim, value: str | None) -> None:
        """Write the row of a claim, or delete it, unless the row has changed."""
        for _ in range(MAX_STORE_TRIES):
            try:
                await self._table.transact(
                    [Precondition(claim.key, claim.version)], [Write(claim.key, value)]
                )
                return
            except PreconditionFailed:
                return
            except (TableUnavailable, TransactionUnknown):
                await anyio.sleep(RETRY_PAUSE_S)
