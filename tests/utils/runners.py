"""Links to stand-in runners without a network, and requests for them."""

import anyio

from flamingoweir.errors import Verdict
from flamingoweir.routing import CallerRequest, RequestBody, ResponseHead, RunnerError
from flamingoweir.standins import RunnerFault, StandinRunner


class FakeResponse:
    """Response with a body of one part, which may be truncated."""

    def __init__(self, head: ResponseHead, body: bytes, truncated: bool):
        self.head = head
        self._body = body
        self._truncated = truncated

    async def parts(self):
        yield self._body
        if self._truncated:
            raise RunnerError("short", Verdict.MAY_HAVE_RUN)

    async def aclose(self) -> None:
        return


class FakeRunnerLink:
    """Link to a stand-in runner in memory.

    The runner continues to execute a request after its caller is cancelled.
    """

    def __init__(self, runner: StandinRunner, tasks: anyio.abc.TaskGroup):
        self.runner = runner
        self._tasks = tasks

    async def send(self, request: CallerRequest) -> FakeResponse:
        await anyio.sleep(0.001)
        fault = self.runner.next_fault()
        if fault is RunnerFault.REFUSE:
            raise RunnerError("refused", Verdict.NOT_RUN, at_fault=False)
        if fault is RunnerFault.RESET_BEFORE:
            raise RunnerError("reset", Verdict.MAY_HAVE_RUN)
        body = b"".join([part async for part in request.body.parts()])
        executed = anyio.Event()
        self._tasks.start_soon(self._execute, request.id, executed)
        await executed.wait()
        if fault is RunnerFault.RESET_AFTER:
            raise RunnerError("reset", Verdict.MAY_HAVE_RUN)
        if fault is RunnerFault.WRONG_REQUEST_ID:
            raise RunnerError("crossed", Verdict.MAY_HAVE_RUN)
        if fault is RunnerFault.LATE:
            await anyio.sleep(self.runner.response_delay_s)
        status = 500 if fault is RunnerFault.ERROR else 200
        head = ResponseHead(status, [], len(body), self.runner.in_flight)
        return FakeResponse(head, body, fault is RunnerFault.TRUNCATED)

    async def aclose(self) -> None:
        return

    async def _execute(self, request_id: str, executed: anyio.Event) -> None:
        await self.runner.execute(request_id)
        executed.set()


def make_request(number: int, idempotent: bool, deadline_s: float) -> CallerRequest:
    """Return a request with the id ``request-NUMBER`` and a short body."""
    body = f"order {number}".encode()

    async def receive() -> tuple[bytes, bool]:
        return body, False

    return CallerRequest(
        f"request-{number}",
        "quotes",
        "shops",
        "POST",
        b"/price",
        [(b"content-length", str(len(body)).encode())],
        RequestBody(receive, 1000),
        idempotent,
        deadline_s,
    )
