"""Clients without limits must not end or block a process, on any of its listeners."""

import itertools

import pytest

from tests.utils import crowd
from tests.utils.system_process import LISTENERS, make_submission, run_system

#: Limits of the smallest machine, and a limit that a small crowd exceeds.
MEMORY_MB = 160
MAX_FDS = 4100
FEW_FDS = 300
HTTP_LISTENERS = (*LISTENERS["platform"], "http")
FLOODS = (
    *itertools.product(HTTP_LISTENERS, crowd.HTTP_FLOODS),
    *itertools.product(["peer"], crowd.PEER_FLOODS),
)
HELD = (
    *itertools.product(HTTP_LISTENERS, ["head", "body"]),
    ("callers", "body"),
    ("peer", "frame"),
)


def run_listener(folder, listener: str, max_fds: int = MAX_FDS):
    kind = "platform" if listener in LISTENERS["platform"] else "daemon"
    return run_system(folder, kind, MEMORY_MB, max_fds)


def check_crowd(folder, listener: str, clients: int, stream, max_fds: int = MAX_FDS):
    """Check that a process lives within its bounds, and serves, beside a crowd."""
    with run_listener(folder, listener, max_fds) as process:
        name = "http" if listener == "callers" else listener
        with crowd.gather(process, name, clients, stream):
            unanswered = process.unanswered()
            fits = process.within_bounds()
        seen = (
            f"peak {process.peak_mb:.0f} MB of {process.memory_mb}, "
            f"{process.peak_sockets} sockets of {process.max_sockets}, "
            f"alive: {process.alive}, no answer yet: {unanswered}"
        )
        assert fits and process.alive and not unanswered, seen


@pytest.mark.parametrize("listener, kind", FLOODS)
def test_flood_exhausts_no_memory(tmp_path, listener, kind):
    """Fails if a few clients that send without end fill the memory or the processor."""
    stream = crowd.make_flood(kind, listener)
    check_crowd(tmp_path, listener, crowd.FLOOD_CLIENTS, stream)


@pytest.mark.parametrize("listener, kind", HELD)
def test_unfinished_requests_exhaust_no_memory(tmp_path, listener, kind):
    """Fails if many clients that never finish a small request fill the memory."""
    stream = crowd.make_held(kind, listener)
    check_crowd(tmp_path, listener, crowd.HOLDING_CLIENTS, stream)


@pytest.mark.parametrize("listener", [*HTTP_LISTENERS, "peer"])
def test_idle_clients_exhaust_no_descriptors(tmp_path, listener):
    """Fails if connections without a request use up the descriptors of the process."""
    check_crowd(tmp_path, listener, crowd.IDLE_CLIENTS, crowd.Stream(), FEW_FDS)


def test_large_submission_is_accepted(tmp_path):
    """Fails if a limit refuses a job with a long payload and many steps."""
    with run_listener(tmp_path, "front") as process:
        assert process.exchange("front", make_submission(100)) == [b"200"]


@pytest.mark.parametrize("listener", HTTP_LISTENERS)
def test_pipelined_requests_are_answered(tmp_path, listener):
    """Fails if a limit refuses a few requests that are sent ahead."""
    lines = (f"User-Agent: {200 * 'u'}", f"Authorization: Bearer {2000 * 'k'}")
    head = crowd.make_head("GET", crowd.GET_PATH[listener], *lines)
    last = head + b"Connection: close\r\n\r\n"
    with run_listener(tmp_path, listener) as process:
        sent = 7 * (head + b"\r\n") + last
        assert process.exchange(listener, sent) == 8 * [b"200"]


def test_request_in_pieces_is_accepted(tmp_path):
    """Fails if a limit refuses a request whose head and body arrive with pauses."""
    request = make_submission(20)
    pieces = [request[start : start + 900] for start in range(0, len(request), 900)]
    with run_listener(tmp_path, "front") as process:
        assert process.exchange("front", *pieces, pause_s=0.3) == [b"200"]
