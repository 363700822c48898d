"""A small deployment of real processes on loopback addresses, and its clients."""

import contextlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

HOST = "127.0.0.1"
REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
LIBRARY = pathlib.Path(__file__).resolve().parent
QUEUE_HOST = "nony24.example"
READY_TIMEOUT_S = 30.0
#: Seconds after which a case that has not ended counts as one that could not run.
MAX_CASE_S = 110
DEADLINE_MS = 3000
#: Statuses that tell the client that its submission was not accepted.
REJECTIONS = (429, 503)

SETTINGS = """\
NodeName = "{name}"
Role = "flamingoweird"
MachineClass = "front"
Serves = ["front","control"]
Ip = "{host}"
Zone = "{zone}"
Region = "cymru"
PortRange = [{ports[0]},{ports[1]}]
Seeds = ["{host}:{control}"]
Bootstrap = true
InFaultSet = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1100
Policies = ["base","drain","config","cost","recover","sched","places","platform"]
Orders = "rpc"
Advice = "{host}:1"
[Zones]
gwynedd = "cymru"
powys = "cymru"
[Listen]
Front = "{host}:{front}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[PolicyBounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 10000
StopMs = 900
GangWaitMs = 3000
[platform]
Address = "{host}:{store}"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 3.0
PartWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
"""


class NotReady(Exception):
    """The deployment did not start, so that the case could not run."""


class Node:
    """One instance of the system: its settings file and its process."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path, store_port: int):
        self.name = name
        self.zone = zone
        ports = find_free_ports(5)
        self.front_port, self.ready_port, control, first, last = ports
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=HOST,
                front=self.front_port,
                ready=self.ready_port,
                control=control,
                ports=sorted((first, last)),
                store=store_port,
            )
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        command = deploy["roles"]["flamingoweird"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "FLAMINGOWEIR_BOOT": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Return whether the instance says that it is ready."""
        return call(self.ready_port, "GET", "/-/ready", timeout_s=0.5)[0] == 200

    def kill(self) -> None:
        """Kill the process, as a loss of power does."""
        self.process.kill()
        self.process.wait()


class Deployment:
    """Store, runners and instances; use it as a context manager."""

    def __init__(self, folder: pathlib.Path):
        #: Where the record of the case is written.
        self.record_path = folder / "record.txt"
        self.lines: list[str] = []
        self.started_s = time.monotonic()
        self.nodes: list[Node] = []
        self.answers: list[tuple[float, str, str, int, str]] = []
        self._lock = threading.Lock()
        self._runner_processes: list[subprocess.Popen] = []
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._runs_path = self._temporary / "runs.txt"
        self._runs_path.touch()
        self._store = subprocess.Popen(
            [sys.executable, str(LIBRARY / "platform_store.py")],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.store_port = int(self._store.stdout.readline())

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc_info) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for process in [*self._runner_processes, self._store]:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self._temporary, ignore_errors=True)

    def note(self, text: str) -> None:
        """Add a line to the record, with the seconds since the start."""
        with self._lock:
            self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run."""
        starts_of_lines = [f"verdict: {verdict}", ""]
        runs = []
        for at_s, runner, what, task, run in self.runs():
            runs.append(f"{at_s:8.3f} {runner} {what} {task}#{run}")
        if len(runs) > 4000:
            left_out = len(runs) - 4000
            runs = [*runs[:2000], f"... {left_out} lines left out ...", *runs[-2000:]]
        parts = [*starts_of_lines, *self.lines, "", "runs:", *runs]
        self.record_path.write_text("\n".join(parts) + "\n")

    def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator does."""
        row = {"Table": table, "Key": key, "Value": json.dumps(value)}
        status, _ = call(self.store_port, "POST", "/control/put", row)
        if status != 200:
            raise NotReady("the store does not take a row")

    def refused_rows(self) -> list:
        """Return table and size of the rows that the store refused for their size."""
        return call(self.store_port, "GET", "/control/refused")[1]["rows"]

    def start_runners(self, runners: list[dict]) -> subprocess.Popen:
        """Start a process with runners; it returns once they are listed."""
        fields = {
            "store_port": self.store_port,
            "record": str(self._runs_path),
            "runners": runners,
        }
        process = subprocess.Popen(
            [sys.executable, str(LIBRARY / "runner.py"), json.dumps(fields)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._runner_processes.append(process)
        addresses = json.loads(process.stdout.readline())
        for item, address in zip(runners, addresses, strict=True):
            item["port"] = int(address.rpartition(":")[2])
        return process

    def start_nodes(self, zones: list[str]) -> None:
        """Start an instance in each of the zones, and wait until all are ready."""
        for number, zone in enumerate(zones):
            name = f"front-{zone}-{number}"
            node = Node(name, zone, self._temporary, self.store_port)
            node.start()
            self.nodes.append(node)
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > until_s:
                raise NotReady("the instances are not ready in time")
            time.sleep(0.1)

    def find_owner(self) -> Node | None:
        """Return the instance that has taken the shard last, by its log."""
        found = None
        latest = ""
        for node in self.nodes:
            for line in node.log_path.read_text().splitlines():
                if " event=shard_taken " in line and line.split()[0] > latest:
                    found, latest = node, line.split()[0]
        return found

    def runs(self) -> list[tuple[float, str, str, str, int]]:
        """Return what the runners have recorded, with the seconds since the start."""
        found = []
        for line in self._runs_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                at_s, runner, what, task, run = json.loads(line)
                found.append((at_s - self.started_s, runner, what, task, run))
        return sorted(found, key=lambda item: item[0])

    def ask(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        first: int = 0,
        attempts: int = 5,
    ) -> tuple[int, dict]:
        """Send a request as a consumer does: it is tried again at the next instance.

        Returns the status and body of the last answer; status 0: there was none.
        """
        status, fields = 0, {}
        for number in range(attempts):
            node = self.nodes[(first + number) % len(self.nodes)]
            status, fields = call(
                node.front_port, method, path, body, DEADLINE_MS / 1000
            )
            self.note(f"{method} {path} at {node.name}: {status} {json.dumps(fields)}")
            if status not in (0, 502, 503, 504, 429):
                break
            time.sleep(0.2)
        return status, fields


def call(
    port: int,
    method: str,
    path: str,
    body: dict | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict]:
    """Send one request; return status and body, or (0, {}) without an answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout_s)
    headers = {
        "Host": QUEUE_HOST,
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(round(1000 * timeout_s)),
    }
    content = json.dumps(body).encode() if body is not None else b""
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()
    try:
        return response.status, json.loads(data or b"{}")
    except ValueError:
        return response.status, {}


def find_free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free at the moment."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def make_config(queues: dict[str, dict], services: tuple[str, ...]) -> dict:
    """Return a config with a queue for each prefix."""
    routes = []
    for name, fields in queues.items():
        route = {
            "Name": name,
            "Host": QUEUE_HOST,
            "PathPrefix": f"/{name}/",
            "Priority": 0,
            "MaxAttempts": 3,
            "Stretch": 2.0,
            "TargetLatencyMs": 1000,
            **fields,
        }
        routes.append(route)
    return {
        "Version": 1,
        "Routes": routes,
        "Services": [{"Name": name, "EnforcesCapacity": True} for name in services],
        "Limits": {"MaxBodyBytes": 262_144},
    }


def make_runner(number: int, zone: str, service: str, cpu: int, rack: str) -> dict:
    """Return the description of a runner, which starts on a free port."""
    return {
        "id": f"i-{service}-{number}",
        "machine": f"m-{service}-{number}",
        "service": service,
        "zone": zone,
        "cpu": cpu,
        "labels": ["a", rack],
    }


def _raise_interrupted(number: int, _) -> None:
    """End the case, so that the processes that it has started end, too."""
    raise TimeoutError(f"the case was ended by signal {number}, or takes too long")


def run_case(play, folder: pathlib.Path) -> int:
    """Play a case; return 1 if its rule was broken, 0 if it held, 2 without a result.

    `play` gets the deployment and whether to cause the trouble, and returns what broke
    the rule, or an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGALRM, _raise_interrupted)
    signal.signal(signal.SIGTERM, _raise_interrupted)
    signal.alarm(MAX_CASE_S)
    with Deployment(folder) as deployment:
        try:
            found = play(deployment, trouble)
        except Exception as error:
            signal.alarm(0)
            deployment.write_record(f"could not run: {error!r}")
            return 2
        signal.alarm(0)
        verdict = f"broken: {found}" if found else "held"
        deployment.write_record(f"{verdict} (trouble={int(trouble)})")
        print(verdict)
        return 1 if found else 0
