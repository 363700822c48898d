"""ASGI functions that all HTTP servers share."""

import orjson

from .errors import ErrorCode, FlamingoweirError

VERDICT_HEADER = b"x-flamingoweir-verdict"
REQUEST_ID_HEADER = b"x-request-id"


def error_body(error: FlamingoweirError, request_id: str = "") -> bytes:
    """Return the JSON body of an error response."""
    fields = {
        "code": error.code,
        "message": error.message,
        "verdict": error.verdict,
    }
    if request_id:
        fields["request_id"] = request_id
    return orjson.dumps({"error": fields})


def error_headers(error: FlamingoweirError) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    headers = [
        (b"content-type", b"application/json"),
        (VERDICT_HEADER, str(error.verdict).encode()),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    return headers


async def send_response(send, status: int, headers, body: bytes) -> None:
    """Send a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


async def read_body(receive, max_bytes: int) -> bytes:
    """Return the complete body of a request.

    Raises
    ------
    FlamingoweirError
        If the body exceeds ``max_bytes`` or the connection closes early.
    """
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                "the connection closed before the complete request was received",
            )
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise FlamingoweirError(
                ErrorCode.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
            )
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)
