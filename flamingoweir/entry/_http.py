"""Small pieces of ASGI shared by callers' and operators' sides."""

import orjson

from ..errors import FlamingoweirError

VERDICT_HEADER = b"x-flamingoweir-verdict"
REQUEST_ID_HEADER = b"x-request-id"


def error_body(error: FlamingoweirError, request_id: str = "") -> bytes:
    """Return an error as callers and operators read it."""
    fields = {
        "code": error.code,
        "message": error.message,
        "verdict": error.verdict,
    }
    if request_id:
        fields["request_id"] = request_id
    return orjson.dumps({"error": fields})


def error_headers(error: FlamingoweirError) -> list[tuple[bytes, bytes]]:
    """Return the headers that go with an error."""
    headers = [
        (b"content-type", b"application/json"),
        (VERDICT_HEADER, str(error.verdict).encode()),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


async def send_whole(send, status: int, headers, body: bytes) -> None:
    """Send a whole answer."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})
