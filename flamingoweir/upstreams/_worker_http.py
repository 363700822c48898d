"""Workers over HTTP; docs/STANDINS.md gives the wire format."""

import orjson

from ..resources import Resources
from ..transport import HttpClient, RequestNotSent, ResponseLost
from ._protocols import (
    AttemptId,
    AttemptReport,
    AttemptStatus,
    Command,
    CommandKind,
    WorkerExchange,
    WorkerReport,
    WorkerUnreachable,
)


class HttpWorkerLink:
    """One connection to one worker."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def exchange(self, message: WorkerExchange) -> WorkerReport:
        """See `WorkerLink.exchange`."""
        body = orjson.dumps(message, default=tuple)
        try:
            answer = await self._client.call("POST", "/worker/exchange", body)
        except (RequestNotSent, ResponseLost) as error:
            raise WorkerUnreachable(str(error)) from error
        if answer.status != 200:
            raise WorkerUnreachable(f"worker answered {answer.status}")
        return _decode_report(answer.body)


def decode_exchange(body: bytes) -> WorkerExchange:
    """Read an exchange as a worker receives it."""
    fields = orjson.loads(body)
    fields["commands"] = [_decode_command(item) for item in fields["commands"]]
    fields["acknowledged"] = [AttemptId(*item) for item in fields["acknowledged"]]
    return WorkerExchange(**fields)


def encode_report(report: WorkerReport) -> bytes:
    """Write a report as a worker sends it."""
    return orjson.dumps(report)


def _decode_command(fields: dict) -> Command:
    fields["kind"] = CommandKind(fields["kind"])
    fields["needs"] = Resources(**fields["needs"])
    return Command(**fields)


def _decode_report(body: bytes) -> WorkerReport:
    fields = orjson.loads(body)
    attempts = []
    for item in fields["attempts"]:
        item["status"] = AttemptStatus(item["status"])
        attempts.append(AttemptReport(**item))
    fields["attempts"] = attempts
    return WorkerReport(**fields)
