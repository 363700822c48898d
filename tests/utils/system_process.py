"""A process of the system on loopback, watched for its memory and descriptors."""

import contextlib
import os
import pathlib
import re
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator

import orjson
from anyio.from_thread import start_blocking_portal

from benchmarks.platform_standin import StoreApp
from benchmarks.process_fleet import HOST, find_free_port
from flamingoweir import standins
from flamingoweir.daemon._server import HttpServer
from flamingoweir.membership._wire import BadFrame, Reply, decode_message
from flamingoweir.storage import RowId
from tests.utils.cluster import make_configuration
from tests.utils.crowd import GET_PATH, JOB_PATH, OUTCOME_CAP_S, PING, make_head

#: Memory in MB at which the process is ended, to spare the machine.
HARD_CAP_MB = 600
#: Descriptors of `MaxFds` that are kept for files.
FILE_FDS = 200
CALL_TIMEOUT_S = 5.0
STATUS = re.compile(rb"HTTP/1\.1 (\d+)")
SETTINGS = {
    "platform": """
NodeName = "entry-1"
Ip = "{host}"
Zone = "powys"
PortRange = [{peer}, {metrics}]
Listen = {{ Front = "{host}:{front}", Ready = "{host}:{ready}" }}
Limits = {{ MemoryMb = {memory_mb}, MaxFds = {max_fds} }}
platform = {{ Address = "{host}:{store}" }}
""",
    "daemon": """
[instance]
http_port = {http}
peer_port = {peer}
[platform]
address = {host}:{store}
""",
}
LISTENERS = {"platform": ("front", "ready", "metrics"), "daemon": ("http", "peer")}


class SystemProcess:
    """A process, the ports of its listeners, and its peaks of MB and descriptors."""

    def __init__(
        self, arguments, variables, ports: dict[str, int], memory_mb: int, max_fds: int
    ):
        self.ports = ports
        self.memory_mb, self.max_sockets = memory_mb, max_fds - FILE_FDS
        self.peak_mb, self.peak_sockets = 0.0, 0
        quiet = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
        command = [sys.executable, "-m", "flamingoweir.daemon", *arguments]
        self._process = subprocess.Popen(command, env=variables, **quiet)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, (max_fds, max_fds))
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    @property
    def alive(self) -> bool:
        return self._process.poll() is None

    @contextlib.contextmanager
    def suspended(self) -> Iterator[None]:
        """Stop the process during the block."""
        self._process.send_signal(signal.SIGSTOP)
        yield
        self._process.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        self._stopping.set()
        self._thread.join()
        self._process.kill()
        self._process.wait()

    def within_bounds(self) -> bool:
        """Measure the process; end it if its memory exceeds `HARD_CAP_MB`."""
        folder = pathlib.Path(f"/proc/{self._process.pid}")
        sockets = 0
        with contextlib.suppress(OSError):
            status = (folder / "status").read_text()
            peak_kb = re.search(r"VmHWM:\s+(\d+)", status)
            self.peak_mb = max(self.peak_mb, int(peak_kb[1]) / 1024 if peak_kb else 0)
            if self.peak_mb > HARD_CAP_MB:
                self._process.kill()
            for name in os.listdir(folder / "fd"):
                with contextlib.suppress(FileNotFoundError):
                    target = os.readlink(folder / "fd" / name)
                    sockets += target.startswith(("socket:", "pipe:"))
        self.peak_sockets = max(self.peak_sockets, sockets)
        fits = self.peak_mb <= self.memory_mb
        return fits and self.peak_sockets <= self.max_sockets

    def unanswered(self) -> list[str]:
        """Return the listeners without an answer within `OUTCOME_CAP_S`.

        A process that has ended or exceeds a bound is asked no more.
        """
        deadline_s = time.monotonic() + OUTCOME_CAP_S
        missing = list(self.ports)
        while missing and self.alive and time.monotonic() < deadline_s:
            if not self.within_bounds():
                break
            missing = [
                listener for listener in missing if not self._is_served(listener)
            ]
            time.sleep(0.1 if missing else 0)
        return missing

    def exchange(
        self, listener: str, *pieces: bytes, pause_s: float = 0
    ) -> list[bytes]:
        """Send pieces until the connection closes; return the statuses."""
        data = b""
        address = (HOST, self.ports[listener])
        with socket.create_connection(address, CALL_TIMEOUT_S) as connection:
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(pause_s)
            while part := connection.recv(65_536):
                data += part
        return STATUS.findall(data)

    def _is_served(self, listener: str) -> bool:
        get = make_head("GET", GET_PATH.get(listener, "/"), "Connection: close", "")
        try:
            if listener == "peer":
                return self._ping()
            request = make_submission(1) if listener == "front" else get
            return self.exchange(listener, request) == [b"200"]
        except (OSError, BadFrame):
            return False

    def _ping(self) -> bool:
        address = (HOST, self.ports["peer"])
        with socket.create_connection(address, CALL_TIMEOUT_S) as connection:
            connection.sendall(PING)
            frame = connection.recv(65_536)
        return decode_message(Reply(), frame[4:]).pong is not None

    def _watch(self) -> None:
        while not self._stopping.wait(0.05):
            self.within_bounds()


def make_submission(steps: int) -> bytes:
    """Return a request that submits a job with a payload of 4,000 bytes."""
    phase = {"Count": 2, "Cpu": 1000, "MemMb": 500, "EstimateMs": 1500}
    phases = [phase] + [{**phase, "After": [number]} for number in range(steps - 1)]
    body = orjson.dumps({"Spec": 4000 * "s", "Phases": phases})
    lines = (f"Content-Length: {len(body)}", "Connection: close", "")
    return make_head("POST", f"{JOB_PATH[:-2]}{steps:02x}", *lines) + body


@contextlib.contextmanager
def run_system(
    folder: pathlib.Path, kind: str, memory_mb: int, max_fds: int
) -> Iterator[SystemProcess]:
    """Run a process of a kind of `SETTINGS`; yield it once its listeners answer."""
    app = standins.PlatformApp(
        standins.MemoryTable(),
        standins.MemoryObjectStore(),
        standins.MemoryInstanceList(),
    )
    if kind == "platform":
        rows = standins.MemoryRows()
        rows.put(RowId("op", "", "config"), make_configuration(1))
        app = StoreApp(rows)
    ports = {name: find_free_port() for name in (*LISTENERS[kind], "peer")}
    limits = {"memory_mb": memory_mb, "max_fds": max_fds}
    path = folder / "settings"
    with start_blocking_portal() as portal, contextlib.ExitStack() as stack:
        store, port = portal.start_task(HttpServer(app, HOST, 0).run)
        stack.callback(store.cancel)
        path.write_text(SETTINGS[kind].format(host=HOST, store=port, **ports, **limits))
        variables = {**os.environ, "FLAMINGOWEIR_BOOT": str(path)}
        arguments = {"platform": ["--platform"], "daemon": ["--settings", str(path)]}
        served = {name: ports[name] for name in LISTENERS[kind]}
        process = SystemProcess(arguments[kind], variables, served, memory_mb, max_fds)
        stack.callback(process.stop)
        missing = process.unanswered()
        assert not missing, f"no answer from {missing} before the test"
        yield process
