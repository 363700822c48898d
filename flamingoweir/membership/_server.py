"""Serves peers: one task for each connection."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream, TaskStatus

from ..logs import get_logger
from ._wire import (
    BadFrame,
    Reply,
    Request,
    create_reader,
    decode_message,
    encode_frame,
    read_frame,
)

log = get_logger()

IDLE_LIMIT_S = 60.0


async def serve_peers(
    host: str,
    port: int,
    answer: Callable[[Request], Awaitable[Reply]],
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer peers' requests until cancelled.

    Parameters
    ----------
    host, port : str, int
        Where to listen; port 0 takes a free one.
    answer : callable
        Answers one request.
    task_status : TaskStatus of int
        Told the port once it listens.
    """

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await _serve_connection(stream, answer)

    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
    async with listener:
        await listener.serve(serve)


async def _serve_connection(
    stream: SocketStream, answer: Callable[[Request], Awaitable[Reply]]
) -> None:
    reader = create_reader(stream)
    try:
        while True:
            with anyio.fail_after(IDLE_LIMIT_S):
                body = await read_frame(reader)
            reply = await answer(decode_message(Request(), body))
            await stream.send(encode_frame(reply))
    except BadFrame as error:
        log.warning("peer_bad_frame", detail=str(error))
    except (OSError, TimeoutError, anyio.IncompleteRead):
        return
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return
