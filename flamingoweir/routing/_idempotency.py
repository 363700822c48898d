"""Callers' idempotency keys, held in the platform's table.

A key is claimed by a row before its request is sent, so that it holds across
entry instances and their restarts. See docs/design/0006-idempotency-keys.md.
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

MAX_STORED_BODY_BYTES = 8_192
MAX_STORE_TRIES = 3
KEY_PREFIX = "once/"
SWEEP_PAGE_ROWS = 100
SWEEP_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """An answer kept for a repeated key."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(frozen=True, slots=True)
class Claim:
    """A claimed key and the version of its row."""

    key: str
    version: int


class IdempotencyKeys:
    """Claims keys and keeps small answers.

    Parameters
    ----------
    table : Table
        The platform's table.
    wall_clock : callable
        Seconds since 1970, for the age of keys.
    """

    def __init__(self, table: Table, wall_clock: Callable[[], float]):
        self._table = table
        self._wall_clock = wall_clock

    async def claim(
        self, team: str, key: str, request_id: str
    ) -> Claim | StoredResponse:
        """Claim a key for a request, or return the answer it was given before.

        Raises
        ------
        FlamingoweirError
            If the key was claimed by another request whose answer is not kept, or
            the store can't be reached; this request was not run.
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
            "the key can't be recorded while the store is away; the request was not "
            "run, try again with the same key",
            retry_after_s=2.0,
        )

    async def store_response(self, claim: Claim, response: StoredResponse) -> None:
        """Keep an answer for whoever repeats the key, if it is small."""
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
        """Give a key back whose request was not run."""
        await self._replace_row(claim, None)

    async def sweep(self, retention_s: float) -> int:
        """Delete keys older than ``retention_s``; return how many were deleted.

        Stops where the store fails; the next sweep goes on.
        """
        deleted = 0
        last_key = ""
        oldest_s = self._wall_clock() - retention_s
        try:
            while True:
                rows = await self._table.scan(KEY_PREFIX, last_key, SWEEP_PAGE_ROWS)
                deleted += await self._delete_old(rows, oldest_s)
                if len(rows) < SWEEP_PAGE_ROWS:
                    return deleted
                last_key = rows[-1].key
                await anyio.sleep(SWEEP_PAUSE_S)
        except (TableUnavailable, TransactionUnknown, PreconditionFailed):
            return deleted

    async def _delete_old(self, rows: list[Row], oldest_s: float) -> int:
        old = [row for row in rows if orjson.loads(row.value).get("at", 0) < oldest_s]
        if old:
            await self._table.transact(
                [Precondition(row.key, row.version) for row in old],
                [Write(row.key, None) for row in old],
            )
        return len(old)

    async def _read_claimed(
        self, row_key: str, value: str
    ) -> Claim | StoredResponse | None:
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
                "another request with this key was sent and its answer is not kept",
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
