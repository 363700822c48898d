"""The platform's store and runners over HTTP, in memory, for real processes.

Both speak the format that `flamingoweir.platform` reads and writes.
"""

import base64
from urllib.parse import parse_qs

import orjson

from flamingoweir.asgi import read_body, send_response
from flamingoweir.dispatch import Fenced, StartOrder, StartResult
from flamingoweir.jobs import TaskId
from flamingoweir.standins import MemoryRows, MemoryRunner, MemoryRunnerLink, RowsLink
from flamingoweir.storage import (
    HistoryTruncated,
    RowId,
    RowPage,
    RowVersionConflict,
    Transaction,
    VersionedRow,
)

MAX_BODY_BYTES = 64_000_000
REASON_BY_RESULT = {
    StartResult.FENCED: "fence",
    StartResult.STALE: "old",
    StartResult.LATE: "late",
    StartResult.NO_ROOM: "room",
    StartResult.BAD_TICKET: "ticket",
}


class StoreApp:
    """Serves a store of rows as an ASGI application."""

    def __init__(self, rows: MemoryRows):
        self._link = RowsLink(rows)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        query = {}
        for name, values in parse_qs(scope["query_string"].decode()).items():
            query[name] = values[0]
        body = await read_body(receive, MAX_BODY_BYTES)
        status, page = await self._answer(scope["path"], query, body)
        await send_response(send, status, [], encode_page(page))

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, RowPage]:
        try:
            if path == "/-/rows-tx":
                version = await self._link.transact(decode_transaction(body))
                return 200, RowPage([], False, version)
            if path == "/-/rows-get":
                return 200, await self._link.read(
                    query["Table"],
                    query.get("part", ""),
                    query.get("From", ""),
                    query.get("Target", ""),
                    int(query["Limit"]),
                )
            if path == "/-/rows-feed":
                return 200, await self._link.follow(
                    query["Table"], int(query["After"]), int(query["WaitMs"]) / 1000
                )
        except RowVersionConflict as error:
            return 412, RowPage(list(error.row_by_id.values()), False, 0)
        except HistoryTruncated:
            return 410, RowPage([], False, 0)
        return 404, RowPage([], False, 0)


class RunnerApp:
    """Serves one runner as an ASGI application."""

    def __init__(self, runner: MemoryRunner):
        self._runner = runner
        self._link = MemoryRunnerLink(runner, delay_s=0.0)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        message = orjson.loads(await read_body(receive, MAX_BODY_BYTES))
        expected = dict(scope["headers"]).get(b"x-expect-instance", b"").decode()
        if expected != self._runner.id:
            await send_response(send, 421, [], b"{}")
            return
        try:
            status, fields = await self._answer(scope["path"], message)
        except Fenced:
            status, fields = 409, {"Reason": "fence"}
        await send_response(send, status, [], orjson.dumps(fields))

    async def _answer(self, path: str, message: dict) -> tuple[int, dict]:
        fence = message["FenceToken"]
        if path == "/-/hold":
            report = await self._link.poll(
                fence,
                message["AckCursor"],
                message.get("DueMs"),
                message.get("WaitMs", 0) / 1000,
            )
            running = []
            for item in report.running:
                progress = item.progress_percent
                line = [str(item.task), item.run, item.checkpoint, progress, item.load]
                running.append(line)
            ended = [
                [item.number, str(item.task), item.run, item.outcome, item.checkpoint]
                for item in report.ended
            ]
            return 200, {
                "ClockMs": report.clock_ms,
                "born": report.incarnation,
                "Running": running,
                "Ended": ended,
            }
        task, run = TaskId.parse(message["Task"]), message["Run"]
        if path == "/-/run-stop":
            await self._link.stop(task, run, fence)
            return 200, {}
        if path == "/-/pace":
            await self._link.set_pace(task, run, message["Percent"], fence)
            return 200, {}
        order = StartOrder(
            task,
            run,
            message["Spec"],
            message["DueMs"],
            fence,
            message.get("Saved", ""),
        )
        result, clock_ms = await self._link.start(order)
        if result is StartResult.STARTED:
            return 200, {"ClockMs": clock_ms}
        return 409, {"ClockMs": clock_ms, "Reason": REASON_BY_RESULT[result]}


def decode_transaction(body: bytes) -> Transaction:
    """Read a transaction."""
    fields = orjson.loads(body)
    return Transaction(
        [(_decode_id(item), item["Ver"]) for item in fields["Precondition"]],
        [
            (_decode_id(item), base64.b64decode(item["Value"]))
            for item in fields["SetKeys"]
        ],
        [_decode_id(item) for item in fields["DeleteKeys"]],
    )


def encode_page(page: RowPage) -> bytes:
    """Write rows."""
    rows = [_encode_row(row) for row in page.rows]
    fields = {"rows": rows, "HasMore": page.more, "Ver": page.version}
    if page.now_s is not None:
        fields["NowMs"] = round(1000 * page.now_s)
    return orjson.dumps(fields)


def _decode_id(item: dict) -> RowId:
    return RowId(item["Table"], item["part"], item["Key"])


def _encode_row(row: VersionedRow) -> dict:
    fields = {
        "Table": row.id.table,
        "part": row.id.part,
        "Key": row.id.key,
        "Ver": row.version,
    }
    if row.deleted:
        return {**fields, "Tombstone": True}
    return {**fields, "Value": base64.b64encode(row.value or b"").decode()}
