"""Requests of callers over HTTP: answers, verdicts, invalid input and shutdown."""

import io
import socket

import anyio
import httpcore
import orjson
import pytest

from flamingoweir.daemon._daemon import reload_settings
from flamingoweir.environment import Environment
from flamingoweir.settings import RequestSettings
from flamingoweir.standins import RunnerFault
from flamingoweir.transport import new_connection, split_address
from tests.utils.local import run_local

BODY = "મેકર: જીવાભાઈ".encode()


async def send(local, path, body=b"", headers=(), method="POST"):
    """Send one request over a new connection; return status, headers and body."""
    host, port = split_address(local.address)
    connection = new_connection(host, port)
    try:
        response = await connection.handle_async_request(
            httpcore.Request(
                method,
                f"http://{local.address}{path}",
                headers=[
                    (b"host", local.address.encode()),
                    (b"content-length", str(len(body)).encode()),
                    *headers,
                ],
                content=body,
            )
        )
        content = b"".join([part async for part in response.stream])
    finally:
        await connection.aclose()
    by_name = {name.lower(): value for name, value in response.headers}
    return response.status, by_name, content


def read_error(content: bytes) -> tuple[str, str]:
    """Return code and verdict of an error's body."""
    error = orjson.loads(content)["error"]
    return error["code"], error["verdict"]


def set_faults(local, *faults: RunnerFault) -> None:
    """Set the faults of the next requests of every runner."""
    for runner in local.standins.runner_by_name.values():
        runner.faults = list(faults)


def count_executions(local, request_id: str) -> int:
    """Return how often the runners executed a request."""
    runners = local.standins.runner_by_name.values()
    return sum(runner.executed.get(request_id, 0) for runner in runners)


def test_complete_answer_is_returned():
    """The caller gets the runner's answer, the request id and verdict ``ran``."""

    async def scenario():
        async with run_local() as local:
            status, headers, content = await send(
                local, "/call/quotes/price?size=7", BODY, [(b"x-request-id", b"q-1")]
            )
            assert (status, content) == (200, BODY)
            assert headers[b"x-request-id"] == b"q-1"
            assert headers[b"x-flamingoweir-verdict"] == b"ran"
            assert count_executions(local, "q-1") == 1

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("fault", "runs"),
    [
        (RunnerFault.RESET_BEFORE, 0),
        (RunnerFault.RESET_AFTER, 1),
        (RunnerFault.WRONG_REQUEST_ID, 1),
        (RunnerFault.TRUNCATED, 1),
    ],
)
def test_invalid_answer_is_not_forwarded_and_runs_at_most_once(fault, runs):
    """An invalid answer is neither forwarded nor does it affect the next request.

    The request may have run, so it is not sent again. The runner resets the connection
    before or after the execution, answers another request, or truncates its answer.
    """

    async def scenario():
        async with run_local() as local:
            set_faults(local, fault, fault)
            status, _, content = await send(
                local, "/call/quotes/order", BODY, [(b"x-request-id", b"o-1")]
            )
            assert status == 502
            assert read_error(content) == ("runner_failed", "may_have_run")
            assert count_executions(local, "o-1") == runs
            set_faults(local)
            status, _, content = await send(local, "/call/quotes/order", b"next")
            assert (status, content) == (200, b"next")

    anyio.run(scenario)


def test_late_answer_is_not_forwarded():
    """An answer that arrives after the deadline is not returned to a later request.

    The late answer would arrive on a reused connection and be read as the answer of
    the next request.
    """

    async def scenario():
        async with run_local() as local:
            set_faults(local, RunnerFault.LATE)
            for runner in local.standins.runner_by_name.values():
                runner.response_delay_s = 0.6
            status, _, content = await send(
                local,
                "/call/quotes/order",
                BODY,
                [(b"x-flamingoweir-timeout-ms", b"200")],
            )
            assert status == 504
            assert read_error(content) == ("deadline_exceeded", "may_have_run")
            set_faults(local)
            for number in range(20):
                text = b"%d" % number
                status, _, content = await send(local, "/call/quotes/order", text)
                assert (status, content) == (200, text)

    anyio.run(scenario)


def test_refused_request_goes_to_another_runner():
    """A request that a draining runner refuses goes to another one."""

    async def scenario():
        async with run_local() as local:
            for runner in list(local.standins.runner_by_name.values())[:2]:
                runner.leaving = True
            for _ in range(10):
                status, _, _ = await send(local, "/call/quotes/order", BODY)
                assert status == 200

    anyio.run(scenario)


def test_unreachable_runner_gives_verdict_not_run():
    """If no connection to a runner can be opened, the verdict is ``not_run``."""

    async def scenario():
        async with run_local(requests=RequestSettings(retry_budget=0.0)) as local:
            for runner in local.daemon.node.router.runners.of_service("quotes"):
                runner.link._port = 9
            codes = set()
            for _ in range(12):
                _, _, content = await send(local, "/call/quotes/order", BODY)
                codes.add(read_error(content))
            assert codes == {("runner_failed", "not_run")}

    anyio.run(scenario)


def test_large_bodies_are_streamed_both_ways():
    """A body of 1 MiB passes unchanged in both directions."""

    async def scenario():
        async with run_local() as local:
            body = bytes(range(256)) * 4096
            status, _, content = await send(local, "/call/quotes/upload", body)
            assert status == 200
            assert content == body

    anyio.run(scenario)


@pytest.mark.parametrize(
    ("path", "headers", "status", "code"),
    [
        ("/call/nothing/x", [], 404, "unknown_service"),
        ("/call//x", [], 400, "bad_request"),
        ("/call/%E0%AA%AE/x", [], 400, "bad_request"),
        ("/call/quotes/x", [(b"x-request-id", b"a b")], 400, "bad_request"),
        ("/call/quotes/x", [(b"x-flamingoweir-idempotent", b"y")], 400, "bad_request"),
        (
            "/call/quotes/x",
            [(b"x-flamingoweir-timeout-ms", b"-1")],
            400,
            "bad_request",
        ),
        ("/v1/nothing", [], 404, "not_found"),
        ("/v1/jobs", [], 400, "bad_request"),
        ("/v1/zones/nowhere/out", [], 404, "not_found"),
    ],
)
def test_invalid_input_gets_a_code_and_is_not_run(path, headers, status, code):
    """Invalid input gets an error code, and the daemon serves the next request."""

    async def scenario():
        async with run_local() as local:
            answered, _, content = await send(local, path, b"", headers)
            assert (answered, read_error(content)) == (status, (code, "not_run"))
            assert (await send(local, "/call/quotes/x", BODY))[0] == 200

    anyio.run(scenario)


def test_an_oversized_body_is_refused():
    """A body of one byte over the limit gets status 413 and is not run."""

    async def scenario():
        async with run_local(requests=RequestSettings(max_body_bytes=100)) as local:
            status, _, content = await send(local, "/call/quotes/x", b"x" * 101)
            assert (status, read_error(content)) == (413, ("body_too_large", "not_run"))

    anyio.run(scenario)


def test_garbage_on_a_connection_does_not_stop_the_daemon():
    """Garbage on the ports for callers and peers does not stop the daemon."""

    async def scenario():
        async with run_local() as local:
            host, port = split_address(local.address)
            for garbage in (b"\x00\x01\x02\r\n\r\n", b"GET / HTTP/9\r\n\r\n", b"POST"):
                async with await anyio.connect_tcp(host, port) as stream:
                    await stream.send(garbage)
            own = local.daemon.node.instance.address
            async with await anyio.connect_tcp(*split_address(own)) as stream:
                await stream.send(b"\xff\xff\xff\xff garbage")
            assert (await send(local, "/call/quotes/x", BODY))[0] == 200

    anyio.run(scenario)


def test_a_key_runs_once_and_gives_the_same_answer():
    """A repeated idempotency key gets the stored answer and does not run again."""

    async def scenario():
        async with run_local() as local:
            headers = [(b"idempotency-key", b"order-17")]
            first = await send(local, "/call/quotes/order", BODY, headers)
            again = await send(local, "/call/quotes/order", BODY, headers)
            assert (first[0], first[2]) == (again[0], again[2]) == (200, BODY)
            assert again[1].get(b"x-flamingoweir-replayed") == b"1"
            runners = local.standins.runner_by_name.values()
            assert sum(len(runner.executed) for runner in runners) == 1

    anyio.run(scenario)


def test_a_key_whose_outcome_is_unknown_is_not_run_again():
    """A key whose first request got no answer is refused: that request may have run."""

    async def scenario():
        async with run_local() as local:
            set_faults(local, RunnerFault.RESET_AFTER)
            headers = [(b"idempotency-key", b"order-18")]
            await send(local, "/call/quotes/order", BODY, headers)
            set_faults(local)
            status, _, content = await send(local, "/call/quotes/order", BODY, headers)
            assert status == 409
            assert read_error(content) == ("duplicate_key", "may_have_run")

    anyio.run(scenario)


def test_key_is_refused_as_not_run_during_a_store_outage():
    """During a store outage requests with a key are refused, others still run.

    Without the store a key can't be claimed, so that the request could run twice.
    """

    async def scenario():
        async with run_local() as local:
            local.standins.table.down = True
            headers = [(b"idempotency-key", b"order-19")]
            status, _, content = await send(local, "/call/quotes/order", BODY, headers)
            assert status == 503
            assert read_error(content) == ("store_unavailable", "not_run")
            assert (await send(local, "/call/quotes/order", BODY))[0] == 200

    anyio.run(scenario)


def test_disconnected_caller_releases_its_slot():
    """A caller that disconnects releases its slots in the router and on the runner.

    Otherwise abandoned requests would use up the slots.
    """

    async def scenario():
        async with run_local() as local:
            router = local.daemon.node.router
            headers = [(b"x-standin-service-ms", b"60000")]
            async with anyio.create_task_group() as callers:
                callers.start_soon(send, local, "/call/quotes/x", BODY, headers)
                while not router.in_flight:
                    await anyio.sleep(0.01)
                callers.cancel_scope.cancel()
            while router.in_flight:
                await anyio.sleep(0.01)
            assert all(not r.in_flight for r in router.runners.runner_by_name.values())

    anyio.run(scenario)


def test_key_stays_claimed_when_its_caller_disconnects():
    """A key stays claimed if its caller disconnects before the answer.

    The first request may still run on the runner, so that a repetition would run twice.
    """

    async def scenario():
        async with run_local() as local:
            router = local.daemon.node.router
            key = (b"idempotency-key", b"order-20")
            slow = (b"x-standin-service-ms", b"60000")
            async with anyio.create_task_group() as callers:
                callers.start_soon(send, local, "/call/quotes/x", BODY, [key, slow])
                while not router.in_flight:
                    await anyio.sleep(0.01)
                callers.cancel_scope.cancel()
            while router.in_flight:
                await anyio.sleep(0.01)
            status, _, content = await send(local, "/call/quotes/x", BODY, [key])
            assert status == 409
            assert read_error(content) == ("duplicate_key", "may_have_run")

    anyio.run(scenario)


def test_settings_change_and_reload_drop_no_request():
    """Neither reloading the settings file nor a settings change drops a request.

    20 requests are in flight meanwhile.
    """

    async def scenario():
        async with run_local() as local:
            answers = []

            async def call(number: int) -> None:
                headers = [(b"x-standin-service-ms", b"200")]
                status, _, _ = await send(local, "/call/quotes/x", BODY, headers)
                answers.append(status)

            async with anyio.create_task_group() as callers:
                for number in range(20):
                    callers.start_soon(call, number)
                while local.daemon.node.router.in_flight < 20:
                    await anyio.sleep(0.01)
                reload_settings(Environment(stderr=io.StringIO()), None)
                change = b'{"values": {"fleet/notice": "x"}}'
                team = (b"x-flamingoweir-team", b"operators")
                status, _, _ = await send(local, "/v1/settings", change, [team])
                assert status == 200
            assert answers == [200] * 20

    anyio.run(scenario)


def test_incomplete_body_is_not_run():
    """A request whose body does not arrive in time gets status 400 and is not run."""

    async def scenario():
        requests = RequestSettings(header_timeout_s=0.2)
        async with run_local(requests=requests) as local:
            host, port = split_address(local.address)
            head = (
                b"POST /call/quotes/x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"
            )
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(head + b"abc")
                answer = await stream.receive()
            assert answer.startswith(b"HTTP/1.1 400 ")
            assert b"not_run" in answer
            runners = local.standins.runner_by_name.values()
            assert not any(runner.executed for runner in runners)

    anyio.run(scenario)


def test_listening_socket_allows_tcp_nodelay():
    """The listening socket uses IPPROTO_TCP, so that answers are not delayed.

    asyncio sets TCP_NODELAY only on sockets with that protocol. Without the option the
    kernel holds small answers back.
    """

    async def scenario():
        async with run_local() as local:
            listening = local.daemon.http._socket
            assert listening.proto == socket.IPPROTO_TCP

    anyio.run(scenario)


def test_shutdown_finishes_a_hundred_requests_in_flight():
    """A shutdown waits for 100 requests in flight, with bodies of up to 200 kB."""

    async def scenario():
        async with run_local() as local:
            answers = []

            async def call(number: int) -> None:
                text = b"%d" % number * (1 if number % 2 else 100_000)
                headers = [(b"x-standin-service-ms", b"300")]
                status, _, content = await send(
                    local, "/call/quotes/order", text, headers
                )
                answers.append((status, content == text))

            async with anyio.create_task_group() as callers:
                for number in range(100):
                    callers.start_soon(call, number)
                while local.daemon.node.router.in_flight < 100:
                    await anyio.sleep(0.01)
                assert await local.daemon.shut_down()
            assert answers == [(200, True)] * 100

    anyio.run(scenario)
