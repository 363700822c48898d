"""Daemons and stand-ins as processes that communicate over loopback."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass

import httpcore
import orjson

from flamingoweir.storage import Instance, InstanceKind

HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
ZONES = ("gwynedd", "powys", "morgannwg")


@dataclass
class DaemonProcess:
    """A daemon's configuration and its process.

    Attributes
    ----------
    name, zone : str
        Name and zone of the instance.
    http_port, peer_port : int
        Ports for requests and for peers.
    process : subprocess.Popen or None
        The process started last, None before the first start.
    """

    name: str
    zone: str
    http_port: int
    peer_port: int
    process: subprocess.Popen | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self.process.pid

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MiB."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def cpu_s(self) -> float:
        """Return the processor time of the process in seconds, user and system."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


class ProcessFleet:
    """Daemons, and a process with stand-ins for platform, workers and runners.

    All processes run when the constructor returns, and `stop` ends them.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for settings and logs.
    daemons, workers, runners : int
        Number of daemons, workers and runners in all zones.
    service_ms : float
        Time that a runner takes for a request, in milliseconds.
    settings : str
        Sections that are added to the settings file of each daemon.

    Attributes
    ----------
    standins : subprocess.Popen
        The process of the stand-ins.
    platform : str
        ``host:port`` of the platform.
    daemons : list of DaemonProcess
        The daemons; their zones alternate.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        daemons: int = 8,
        workers: int = 30,
        runners: int = 30,
        service_ms: float = 5.0,
        settings: str = "",
    ):
        self.folder = folder
        self._settings = settings
        self.standins = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.standin_server",
                f"--workers={workers}",
                f"--runners={runners}",
                f"--service-ms={service_ms}",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.platform = self.standins.stdout.readline().strip()
        self.daemons = [self._make_daemon(number) for number in range(daemons)]
        self._register()
        for daemon in self.daemons:
            self.start(daemon)
        for daemon in self.daemons:
            self.wait_ready(daemon)

    def start(self, daemon: DaemonProcess) -> None:
        """Write a daemon's settings file and start its process."""
        path = self.folder / f"{daemon.name}.ini"
        path.write_text(
            f"[instance]\nname = {daemon.name}\nzone = {daemon.zone}\n"
            f"http_port = {daemon.http_port}\npeer_port = {daemon.peer_port}\n"
            f"[platform]\naddress = {self.platform}\n{self._settings}"
        )
        log = (self.folder / f"{daemon.name}.log").open("ab")
        daemon.process = subprocess.Popen(
            [sys.executable, "-m", "flamingoweir.daemon", "--settings", str(path)],
            stderr=log,
        )
        log.close()

    def wait_ready(self, daemon: DaemonProcess) -> None:
        """Wait up to READY_TIMEOUT_S until a daemon is ready, or raise RuntimeError."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                self.call(daemon, "GET", "/v1/health")
                return
            except (OSError, httpcore.NetworkError, RuntimeError):
                time.sleep(0.1)
        raise RuntimeError(f"daemon {daemon.name} is not ready in time; read its log")

    def call(self, daemon: DaemonProcess, method: str, path: str, content=None) -> dict:
        """Send a request to a daemon's API for operators and return the answer."""
        return self._call(f"{HOST}:{daemon.http_port}", method, path, content)

    def call_platform(self, method: str, path: str, content=None) -> object:
        """Send a request to the platform and return the answer."""
        return self._call(self.platform, method, path, content)

    def owner_of(self, shard: str) -> DaemonProcess | None:
        """Return the daemon that owns a shard, None if there is none.

        Daemons that don't answer are skipped.
        """
        for daemon in self.daemons:
            try:
                dump = self.call(daemon, "GET", "/v1/dump")
            except (OSError, httpcore.NetworkError, httpcore.TimeoutException):
                continue
            if any(item["shard"] == shard for item in dump["shards"]):
                return daemon
        return None

    def stop(self) -> list[int]:
        """End all processes and return the daemons' exit codes."""
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.send_signal(signal.SIGTERM)
        codes = [daemon.process.wait(60) for daemon in self.daemons]
        self.standins.stdin.close()
        self.standins.wait(30)
        return codes

    def worker_records(self) -> dict[str, list[dict]]:
        """Return the events that each worker recorded, by the worker's name."""
        records = {}
        for line in self.call_platform("GET", "/instances"):
            if line["kind"] == "worker":
                records[line["name"]] = self._call(
                    line["address"], "GET", "/worker/record", None
                )
        return records

    def _make_daemon(self, number: int) -> DaemonProcess:
        zone = ZONES[number % len(ZONES)]
        return DaemonProcess(
            f"{zone}-e{number}", zone, find_free_port(), find_free_port()
        )

    def _register(self) -> None:
        lines = [
            Instance(
                daemon.name,
                InstanceKind.ENTRY,
                daemon.zone,
                "",
                f"{HOST}:{daemon.peer_port}",
            )
            for daemon in self.daemons
        ]
        self.call_platform("PUT", "/instances", lines)

    @staticmethod
    def _call(address: str, method: str, path: str, content) -> object:
        timeout = dict.fromkeys(("connect", "read", "write"), 10.0)
        response = httpcore.request(
            method,
            f"http://{address}{path}",
            headers={"x-flamingoweir-team": "rounds"},
            content=orjson.dumps(content) if content is not None else b"",
            extensions={"timeout": timeout},
        )
        if response.status >= 400:
            raise RuntimeError(f"{path} failed: {response.status} {response.content!r}")
        return orjson.loads(response.content) if response.content else {}


def find_free_port() -> int:
    """Return a port of HOST that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]
