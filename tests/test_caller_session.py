"""A caller's session over HTTP, compared with a snapshot.

The snapshot holds status, selected headers and body of each answer, so that changes of
texts and codes that callers see are noticed.
"""

import re

import anyio

from flamingoweir.settings import RequestSettings
from flamingoweir.standins import RunnerFault
from tests.test_callers_http import BODY, send, set_faults
from tests.utils.local import run_local

REQUEST_HEADERS = ((b"x-maker-name", "જીવાભાઈ".encode()), (b"x-request-id", b"r-1"))
SESSION = [
    ("a quote", "/call/quotes/price?pairs=2", BODY, REQUEST_HEADERS, None),
    ("an unknown service", "/call/clogs/price", BODY, (), None),
    (
        "an invalid request id",
        "/call/quotes/price",
        BODY,
        ((b"x-request-id", b"\xff"),),
        None,
    ),
    ("a large order", "/call/quotes/order", b"x" * 2000, (), None),
    ("a runner that fails", "/call/quotes/order", BODY, (), RunnerFault.ERROR),
    ("a lost answer", "/call/quotes/order", BODY, (), RunnerFault.RESET_AFTER),
    (
        "an answer to another request",
        "/call/quotes/order",
        BODY,
        (),
        RunnerFault.WRONG_REQUEST_ID,
    ),
    (
        "an order with a key",
        "/call/quotes/order",
        BODY,
        ((b"idempotency-key", b"k-1"), (b"x-request-id", b"r-2")),
        None,
    ),
    (
        "the same key",
        "/call/quotes/order",
        BODY,
        ((b"idempotency-key", b"k-1"), (b"x-request-id", b"r-3")),
        None,
    ),
]
GENERATED_ID = re.compile(r"\b[0-9a-f]{32}\b")
SHOWN_HEADERS = (
    b"content-type",
    b"x-flamingoweir-verdict",
    b"x-flamingoweir-replayed",
    b"retry-after",
)


def test_caller_session(snapshot):
    """Statuses, headers and bodies that callers see do not change unnoticed."""

    async def scenario() -> list[str]:
        shown = []
        requests = RequestSettings(max_body_bytes=1000, retry_budget=0.0)
        async with run_local(requests=requests) as local:
            for number, (title, path, body, headers, fault) in enumerate(SESSION):
                set_faults(local, *([fault] * 10 if fault else ()))
                if not any(name == b"x-request-id" for name, _ in headers):
                    headers = (*headers, (b"x-request-id", b"s-%d" % number))
                status, answer_headers, content = await send(local, path, body, headers)
                lines = [f"# {title}", f"POST {path}", f"{status}"]
                for name in SHOWN_HEADERS:
                    if name in answer_headers:
                        lines.append(
                            f"{name.decode()}: {answer_headers[name].decode()}"
                        )
                text = GENERATED_ID.sub("GENERATED-ID", content.decode())
                shown.append("\n".join([*lines, text, ""]))
        return shown

    assert "\n".join(anyio.run(scenario)) == snapshot
