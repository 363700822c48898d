"""Serve the stand-ins over HTTP; docs/STANDINS.md describes the wire format."""

from urllib.parse import parse_qs, unquote

import anyio
import orjson

from ..storage import (
    Precondition,
    PreconditionFailed,
    TableUnavailable,
    TransactionUnknown,
    Write,
    parse_instance,
)
from ..upstreams import decode_exchange, encode_report
from ._platform import MemoryInstanceList, MemoryObjectStore, MemoryTable
from ._runner import RunnerFault, StandinRunner
from ._worker import StandinWorker

#: Seconds until a transaction whose response is lost gets status 500; clients give up
#: earlier.
LOST_RESPONSE_DELAY_S = 30.0


async def read_body(receive) -> bytes:
    """Read a whole request body."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def send_response(send, status: int, body: bytes = b"", headers=()) -> None:
    """Send a response with its status, headers and body."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [length, *headers],
        }
    )
    await send({"type": "http.response.body", "body": body})


def reset_connection(send) -> None:
    """Close the connection at once, through uvicorn: ASGI has no message for this."""
    send.__self__.transport.abort()


class PlatformApp:
    """Table service, object store and list of instances as an ASGI application."""

    def __init__(
        self,
        table: MemoryTable,
        objects: MemoryObjectStore,
        instances: MemoryInstanceList,
    ):
        self.table = table
        self.objects = objects
        self.instances = instances

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        path = scope["raw_path"].decode().split("?")[0]
        query = parse_qs(scope["query_string"].decode(), keep_blank_values=True)
        try:
            status, content = await self._route(scope["method"], path, query, body)
        except TableUnavailable:
            status, content = 503, b""
        except TransactionUnknown:
            await anyio.sleep(LOST_RESPONSE_DELAY_S)
            status, content = 500, b""
        await send_response(send, status, content)

    async def _route(self, method, path, query, body) -> tuple[int, bytes]:
        if path == "/table/transactions":
            return await self._transact(body)
        if path == "/table/rows":
            rows = await self.table.scan(
                query["prefix"][0], query["after"][0], int(query["limit"][0])
            )
            return 200, orjson.dumps(rows)
        if path.startswith("/table/rows/"):
            row = await self.table.get(unquote(path.removeprefix("/table/rows/")))
            return (200, orjson.dumps(row)) if row else (404, b"")
        if path.startswith("/objects/"):
            name = unquote(path.removeprefix("/objects/"))
            return await self._serve_object(method, name, body)
        if path == "/instances" and method == "PUT":
            for fields in orjson.loads(body):
                self.instances.add(parse_instance(fields))
            return 200, b""
        if path == "/counts":
            return 200, orjson.dumps(self._counts())
        if path == "/instances":
            return 200, orjson.dumps(await self.instances.instances())
        if path == "/faults":
            return self._set_faults(orjson.loads(body))
        return 404, b""

    async def _transact(self, body: bytes) -> tuple[int, bytes]:
        fields = orjson.loads(body)
        preconditions = [Precondition(**item) for item in fields["preconditions"]]
        writes = [Write(**item) for item in fields["writes"]]
        try:
            version = await self.table.transact(preconditions, writes)
        except PreconditionFailed as error:
            return 409, orjson.dumps({"key": error.key})
        return 200, orjson.dumps({"version": version})

    async def _serve_object(self, method, name, body) -> tuple[int, bytes]:
        if method == "PUT":
            await self.objects.put(name, body)
            return 200, b""
        if method == "DELETE":
            await self.objects.delete(name)
            return 200, b""
        content = await self.objects.get(name)
        return (404, b"") if content is None else (200, content)

    def _counts(self) -> dict:
        return {
            "transactions": self.table.transactions,
            "rows_written": self.table.rows_written,
            "reads": self.table.reads,
        }

    def _set_faults(self, faults: dict) -> tuple[int, bytes]:
        self.table.down = faults.get("down", self.table.down)
        self.objects.down = self.table.down
        self.table.delay_s = faults.get("delay_s", self.table.delay_s)
        self.table.lose_answers = faults.get("lose_answers", self.table.lose_answers)
        return 200, b""


class WorkerApp:
    """A worker as an ASGI application.

    Attributes
    ----------
    cut_off : bool
        Whether exchanges get status 503.
    """

    def __init__(self, worker: StandinWorker):
        self.worker = worker
        self.cut_off = False

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        body = await read_body(receive)
        if scope["path"] == "/worker/record":
            await send_response(send, 200, orjson.dumps(self.worker.records))
            return
        if self.cut_off:
            await send_response(send, 503)
            return
        report = self.worker.exchange(decode_exchange(body))
        await send_response(send, 200, encode_report(report))


class RunnerApp:
    """A runner as an ASGI application; it responds with the body of the request."""

    def __init__(self, runner: StandinRunner):
        self.runner = runner

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        request_id = headers.get(b"x-request-id", b"").decode("latin-1")
        fault = self.runner.next_fault()
        if fault is RunnerFault.RESET_BEFORE:
            reset_connection(send)
            return
        if fault is RunnerFault.REFUSE or self.runner.leaving:
            await self._refuse(send)
            return
        body = await read_body(receive)
        await self.runner.execute(request_id, _requested_service_s(headers))
        await self._respond(send, fault, request_id, body)

    async def _refuse(self, send) -> None:
        headers = [(b"x-runner-refused", b"1")]
        if self.runner.leaving:
            headers.append((b"x-runner-leaving", b"1"))
        await send_response(send, 503, b"", headers)

    async def _respond(self, send, fault, request_id: str, body: bytes) -> None:
        if fault is RunnerFault.RESET_AFTER:
            reset_connection(send)
            return
        if fault is RunnerFault.LATE:
            await anyio.sleep(self.runner.response_delay_s)
        if fault is RunnerFault.WRONG_REQUEST_ID:
            request_id = "another-request"
        extra = [
            (b"x-request-id", request_id.encode("latin-1")),
            (b"x-runner", self.runner.name.encode()),
            (b"x-runner-load", str(self.runner.in_flight).encode()),
        ]
        if fault is RunnerFault.ERROR:
            await send_response(send, 500, b"failed", extra)
            return
        if fault is RunnerFault.TRUNCATED:
            extra.append((b"content-length", str(len(body) + 10).encode()))
            await send({"type": "http.response.start", "status": 200, "headers": extra})
            await send({"type": "http.response.body", "body": body})
            return
        await send_response(send, 200, body, extra)


def _requested_service_s(headers: dict[bytes, bytes]) -> float | None:
    service_ms = headers.get(b"x-standin-service-ms")
    return float(service_ms) / 1000 if service_ms else None
