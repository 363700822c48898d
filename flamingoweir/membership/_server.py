"""TCP server for requests of peers."""

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

#: Seconds without a request after which a connection is closed.
IDLE_LIMIT_S = 60.0


async def serve_peers(
    host: str,
    port: int,
    answer: Callable[[Request], Awaitable[Reply]],
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests of peers until cancelled.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    answer : callable
        Returns the reply to a request.
    task_status : TaskStatus of int
        Receives the port when the server listens.
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
