"""Repetition of a request whose entry instance was killed while it ran.

Run ``python -m benchmarks.restart``. The request is not idempotent. The caller repeats
it with the same idempotency key, on another instance and on the restarted one.
"""

import pathlib
import tempfile
import threading
import time

import httpcore

from benchmarks.process_fleet import HOST, DaemonProcess, ProcessFleet


def send(daemon: DaemonProcess, headers: dict[str, str]) -> str:
    """Send one request to a daemon.

    Returns status and body of the answer, or the name of the network error.
    """
    timeout = dict.fromkeys(("connect", "read", "write"), 20.0)
    try:
        response = httpcore.request(
            "POST",
            f"http://{HOST}:{daemon.http_port}/call/quotes/order",
            headers=headers,
            content=b"two pairs",
            extensions={"timeout": timeout},
        )
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        return type(error).__name__
    return f"{response.status} {response.content.decode()}"


def main() -> None:
    """Kill an instance during a request, then repeat the request."""
    fleet = ProcessFleet(
        pathlib.Path(tempfile.mkdtemp()), daemons=2, workers=0, runners=3
    )
    try:
        headers = {"idempotency-key": "order-1", "x-standin-service-ms": "3000"}
        first_answer: list[str] = []
        caller = threading.Thread(
            target=lambda: first_answer.append(send(fleet.daemons[0], headers))
        )
        caller.start()
        time.sleep(1.0)
        fleet.daemons[0].process.kill()
        fleet.daemons[0].process.wait()
        caller.join()
        print(f"first instance, killed: {first_answer[0]}")
        print(f"same key, other instance: {send(fleet.daemons[1], headers)}")
        fleet.start(fleet.daemons[0])
        fleet.wait_ready(fleet.daemons[0])
        print(f"same key, restarted instance: {send(fleet.daemons[0], headers)}")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
