"""Exchanges with workers over HTTP; docs/STANDINS.md defines the wire format."""

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
    """Client of one worker over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client for the worker's address.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def exchange(self, message: WorkerExchange) -> WorkerReport:
        """See `WorkerLink.exchange`."""
        body = orjson.dumps(message, default=tuple)
        try:
            response = await self._client.call("POST", "/worker/exchange", body)
        except (RequestNotSent, ResponseLost) as error:
            raise WorkerUnreachable(str(error)) from error
        if response.status != 200:
            raise WorkerUnreachable(
                f"the worker responded with status {response.status}"
            )
        return _decode_report(response.body)


def decode_exchange(body: bytes) -> WorkerExchange:
    """Decode an exchange from the body of a request to a worker."""
    fields = orjson.loads(body)
    fields["commands"] = [_decode_command(item) for item in fields["commands"]]
    fields["acknowledged"] = [AttemptId(*item) for item in fields["acknowledged"]]
    return WorkerExchange(**fields)


def encode_report(report: WorkerReport) -> bytes:
    """Encode a report as the body of a worker's response."""
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
