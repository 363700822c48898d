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

STORED_LIMIT_BYTES = 8_192
CLAIM_TRIES = 3
KEY_PREFIX = "once/"
SWEEP_PAGE_ROWS = 100
SWEEP_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.1


@dataclass(frozen=True, slots=True)
class StoredAnswer:
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

    async def claim(self, team: str, key: str, request_id: str) -> Claim | StoredAnswer:
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
        for _ in range(CLAIM_TRIES):
            try:
                version = await self._table.transact(
                    [Precondition(row_key, ABSENT_VERSION)], [Write(row_key, value)]
                )
                return Claim(row_key, version)
            except (TableUnavailable, TransactionUnknown):
                await anyio.sleep(RETRY_PAUSE_S)
            except PreconditionFailed:
                found = await self._read(row_key, value)
                if found is not None:
                    return found
        raise FlamingoweirError(
            ErrorCode.STORE_UNAVAILABLE,
            "the key can't be recorded while the store is away; the request was not "
            "run, try again with the same key",
            retry_after_s=2.0,
        )

    async def keep(self, claim: Claim, answer: StoredAnswer) -> None:
        """Keep an answer for whoever repeats the key, if it is small."""
        if len(answer.body) > STORED_LIMIT_BYTES:
            return
        fields = {
            "at": int(self._wall_clock()),
            "status": answer.status,
            "headers": [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in answer.headers
            ],
            "body": base64.b64encode(answer.body).decode(),
        }
        await self._change(claim, orjson.dumps(fields).decode())

    async def release(self, claim: Claim) -> None:
        """Give a key back whose request was not run."""
        await self._change(claim, None)

    async def sweep(self, keep_s: float) -> int:
        """Delete keys older than ``keep_s``; return how many were deleted.

        Stops where the store fails; the next sweep goes on.
        """
        deleted = 0
        after = ""
        oldest = self._wall_clock() - keep_s
        try:
            while True:
                rows = await self._table.scan(KEY_PREFIX, after, SWEEP_PAGE_ROWS)
                deleted += await self._delete_old(rows, oldest)
                if len(rows) < SWEEP_PAGE_ROWS:
                    return deleted
                after = rows[-1].key
                await anyio.sleep(SWEEP_PAUSE_S)
        except (TableUnavailable, TransactionUnknown, PreconditionFailed):
            return deleted

    async def _delete_old(self, rows: list[Row], oldest: float) -> int:
        old = [row for row in rows if orjson.loads(row.value).get("at", 0) < oldest]
        if old:
            await self._table.transact(
                [Precondition(row.key, row.version) for row in old],
                [Write(row.key, None) for row in old],
            )
        return len(old)

    async def _read(self, row_key: str, value: str) -> Claim | StoredAnswer | None:
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
        return StoredAnswer(fields["status"], headers, base64.b64decode(fields["body"]))

    async def _change(self, claim: Claim, value: str | None) -> None:
        for _ in range(CLAIM_TRIES):
            try:
                await self._table.transact(
                    [Precondition(claim.key, claim.version)], [Write(claim.key, value)]
                )
                return
            except PreconditionFailed:
                return
            except (TableUnavailable, TransactionUnknown):
                await anyio.sleep(RETRY_PAUSE_S)
