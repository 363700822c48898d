"""Starts the system and its stand-ins as processes on loopback, and ends them.

A case's ``run.py`` derives nothing from this module's internals: it starts a
`Deployment`, disturbs it, and judges what the runners recorded and clients were told.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

LIB = pathlib.Path(__file__).resolve().parent
REPOSITORY = LIB.parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

#: Bounds of `tomen-dail`, as its sheet gives them.
HEARTBEAT_MS = 1100
MAX_HOLD_MS = 10_000
STOP_MS = 900
GRACE_S = 6
MEMORY_MB = 300

SETTINGS = """\
NodeName = "{name}"
Role = "flamingoweird"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "{host}"
Zone = "{zone}"
Region = "cymru"
PortRange = [{first_port}, {last_port}]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = {heartbeat_ms}
Orders = "rpc"

[Listen]
Front = "{host}:{front}"
Ready = "{host}:{ready}"
Control = "{host}:{control}"

[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = {memory_mb}
MaxFds = 4100

[PolicyBounds]
GraceS = {grace_s}
MaxHoldMs = {max_hold_ms}
StopMs = {stop_ms}

[platform]
Address = "{store}"
form = "table"
"""


class CouldNotRun(Exception):
    """The case can't be judged, as its set-up did not come about."""


@dataclass
class Node:
    """An instance of the system, and its process."""

    name: str
    front: str
    ready: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None


@dataclass
class RunnerSpec:
    """A runner's fields, and the process of its present life."""

    fields: dict
    process: subprocess.Popen | None = None
    proxy: subprocess.Popen | None = None

    @property
    def id(self):
        """Id of the runner."""
        return self.fields["id"]


@dataclass
class Deployment:
    """A store, runners and instances; use it as a context manager.

    Attributes
    ----------
    case : pathlib.Path
        Folder of the case, which gets `record.txt`.
    """

    case: pathlib.Path
    nodes: list = field(default_factory=list)
    runner_by_id: dict = field(default_factory=dict)
    processes: list = field(default_factory=list)
    ended: bool = False

    def __enter__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.events = self.folder / "runners.jsonl"
        self.events.touch()
        self.started_s = time.time()
        self.record_path = self.case / "record.txt"
        self.record_path.write_text("")
        self.store = f"{HOST}:{free_port()}"
        self.spawn("store", [sys.executable, str(LIB / "store.py"), self.store])
        self.wait_for("the store", lambda: _connects(self.store), 10)
        return self

    def __exit__(self, *error):
        self.ended = True
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(10)
        with self.record_path.open("a") as record:
            record.write("\n-- what the runners recorded\n")
            for event in self.read_events():
                at = event.pop("at") - self.started_s
                record.write(f"{at:8.3f} {json.dumps(event)}\n")
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        """Write a line to the record."""
        line = f"{time.time() - self.started_s:8.3f} {text}"
        print(line, flush=True)
        with self.record_path.open("a") as record:
            record.write(line + "\n")

    def spawn(self, name, command, env=None, stdin=None):
        """Start a process whose output goes to a file."""
        if self.ended:
            raise CouldNotRun("the play has ended")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=REPOSITORY, env=env, stdin=stdin, stdout=log, stderr=log
            )
        self.processes.append(process)
        return process

    def wait_for(self, what, condition, timeout_s, pause_s=0.02):
        """Wait until a condition holds and return its value."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            value = condition()
            if value:
                return value
            time.sleep(pause_s)
        raise CouldNotRun(f"{what}: not within {timeout_s} s")

    def put_config(self, routes, service="dail-sched", version=1):
        """Write the config as the operator does; ``routes`` are dicts."""
        base = {"Host": "rounds.example", "Kind": "unsafe", "TimeoutMs": 3000}
        config = {
            "Version": version,
            "Routes": [{**base, "Service": service, **route} for route in routes],
            "Services": [
                {
                    "Name": service,
                    "HealthPath": "/health",
                    "MaxConns": 64,
                    "Protocol": "h1",
                    "Tls": False,
                    "EnforcesCapacity": True,
                    "Standby": False,
                }
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144},
        }
        value = base64.b64encode(json.dumps(config).encode()).decode()
        row = {"Table": "op", "part": "", "Key": "config", "Value": value}
        body = {"Precondition": [], "SetKeys": [row], "DeleteKeys": []}
        call(self.store, "POST", "/-/rows-tx", body)

    def add_runner(self, runner_id, rack="r1-1", proxied=False, **fields):
        """Start a runner, behind a proxy if asked for."""
        listen = f"{HOST}:{free_port()}"
        announce = f"{HOST}:{free_port()}" if proxied else listen
        runner = RunnerSpec(
            {
                "id": runner_id,
                "listen": listen,
                "announce": announce,
                "store": self.store,
                "service": "dail-sched",
                "zone": "powys",
                "rack": rack,
                "machine": f"m-{runner_id}",
                "cpu": 8000,
                "mem": 32000,
                "heartbeat_ms": HEARTBEAT_MS,
                "first_beat_ms": 0,
                "max_hold_ms": MAX_HOLD_MS,
                "stop_ms": 100,
                "record": str(self.events),
                **fields,
            }
        )
        if proxied:
            command = [sys.executable, str(LIB / "proxy.py"), announce, listen]
            runner.proxy = self.spawn(
                f"proxy-{runner_id}", command, stdin=subprocess.PIPE
            )
        self.runner_by_id[runner_id] = runner
        self.start_runner(runner)
        self.wait_for(f"runner {runner_id}", lambda: _connects(listen), 10)
        return runner

    def start_runner(self, runner, **changes):
        """Start a life of a runner; ``changes`` are fields that differ in it."""
        runner.fields.update(changes)
        command = [sys.executable, str(LIB / "runner.py"), json.dumps(runner.fields)]
        runner.process = self.spawn(f"runner-{runner.id}", command)

    def kill(self, process):
        """Kill a process that this deployment has started."""
        process.kill()
        process.wait(10)

    def add_nodes(self, count):
        """Start instances and wait until all of them are ready."""
        for number in range(count):
            front, ready, control, first, last = (free_port() for _ in range(5))
            name = f"front-powys-{number + 1}"
            settings = self.folder / f"{name}.toml"
            settings.write_text(
                SETTINGS.format(
                    name=name,
                    host=HOST,
                    zone="powys",
                    first_port=first,
                    last_port=last,
                    front=front,
                    ready=ready,
                    control=control,
                    store=self.store,
                    heartbeat_ms=HEARTBEAT_MS,
                    memory_mb=MEMORY_MB,
                    grace_s=GRACE_S,
                    max_hold_ms=MAX_HOLD_MS,
                    stop_ms=STOP_MS,
                )
            )
            node = Node(name, f"{HOST}:{front}", f"{HOST}:{ready}", settings)
            self.nodes.append(node)
            self.start_node(node)
        for node in self.nodes:
            self.wait_for(f"instance {node.name}", lambda n=node: is_ready(n), 30)
        self.wait_for("an owner", self.find_owner, 10)

    def start_node(self, node):
        """Start an instance with the command of the deploy file."""
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "FLAMINGOWEIR_BOOT": str(node.settings),
        }
        command = ["python3", "-m", "flamingoweir.daemon", "--platform"]
        node.process = self.spawn(node.name, command, env=env)

    def find_owner(self):
        """Return the instance that last wrote to the store under a condition."""
        target = "/-/rows-get?Table=owners&part=s0&Limit=1"
        rows = call(self.store, "GET", target)[1]["rows"]
        if not rows:
            return None
        holder = json.loads(base64.b64decode(rows[0]["Value"]))["holder"]
        for node in self.nodes:
            if node.name == holder and node.process.poll() is None:
                return node
        return None

    def submit(self, prefix, job, body, deadline_ms=3000, tries=5):
        """Hand a submission in, at other instances after failures."""
        for number in range(tries):
            node = self.nodes[number % len(self.nodes)]
            status = self._ask(node, "POST", prefix + job, body, deadline_ms)[0]
            self.note(f"POST {prefix}{job} at {node.name}: {status}")
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def state(self, prefix, job, deadline_ms=3000):
        """Return the state that some instance shows, or the status if it is no 200."""
        status = None
        for node in self.nodes:
            status, fields = self._ask(node, "GET", prefix + job, None, deadline_ms)
            if status == 200:
                return fields["State"]
            if status == 410:
                return "410"
        return str(status)

    def _ask(self, node, method, path, body, deadline_ms):
        headers = {"Host": "rounds.example", "X-Deadline-Ms": str(deadline_ms)}
        try:
            return call(node.front, method, path, body, headers, deadline_ms / 1000)
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__, {}

    def read_events(self):
        """Return what the runners have recorded so far."""
        events = []
        for line in self.events.read_text().splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return events

    def find_events(self, kind, **fields):
        """Return the recorded events of a kind that have these fields."""
        found = []
        for event in self.read_events():
            if event["kind"] != kind:
                continue
            if all(event.get(name) == value for name, value in fields.items()):
                found.append(event)
        return found

    def delay_order(self, runner, delay_s):
        """Leave a proxied runner's next start order unanswered, and deliver it late."""
        self.note(f"the next start order to {runner.id} comes {delay_s} s late")
        runner.proxy.stdin.write(f"late {delay_s}\n".encode())
        runner.proxy.stdin.flush()


def call(address, method, target, body=None, headers=None, timeout_s=3.0):
    """Make one call; return the status and the JSON body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        content = None if body is None else json.dumps(body).encode()
        sent = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, target, content, sent)
        response = connection.getresponse()
        received = response.read()
        return response.status, json.loads(received) if received else {}
    finally:
        connection.close()


def new_job_id():
    """Return a new id of a submission."""
    return f"{random.getrandbits(64):016x}"


def work(ms, cpu=1000, mem=1000, how="done"):
    """Return the text `Spec` that tells the stand-in runners what a run does."""
    return json.dumps({"ms": ms, "cpu": cpu, "mem": mem, "how": how})


def find_lost(deployment, prefix, jobs, watch_s=3.2):
    """Return the jobs that the rule LOST counts, by what it says of them.

    A job is lost if it isn't known, if no instance answers, or if for 3 s nothing of it
    runs although it isn't done, while under half of the room of all runners is in use.
    The submissions of a case fit into the rest of the room twice over.

    Parameters
    ----------
    deployment : Deployment
        The deployment, `finish_s` after the end of the traffic.
    prefix : str
        Path prefix of the jobs' queue.
    jobs : list of str
        Ids of accepted jobs that nobody has cancelled.
    watch_s : float
        How long the runners are watched, in seconds.

    Returns
    -------
    dict of str to int
        Number of lost jobs.
    """
    from_s = time.time()
    time.sleep(watch_s)
    until_s = time.time()
    events = deployment.read_events()
    spans = find_spans(events, until_s)
    room = sum(runner.fields["cpu"] for runner in deployment.runner_by_id.values())
    overlapping = [span for span in spans if span[0] < until_s and span[1] > from_s]
    in_use = sum(span[3] for span in overlapping)
    deployment.note(f"runs in the last {watch_s} s take {in_use} of {room} (Cpu)")
    at_work = {span[2].split(".")[0] for span in overlapping}
    lost = {}
    for job in jobs:
        state = deployment.state(prefix, job)
        if state in ("done", "failed", "cancelled"):
            continue
        if state in ("pending", "running"):
            if job in at_work or 2 * in_use >= room:
                continue
            state = f"{state}, nothing runs"
        lost[state] = lost.get(state, 0) + 1
    return lost


def find_spans(events, until_s):
    """Return begin, end, task and `Cpu` of each run; ``until_s`` ends open ones."""
    open_runs, spans = {}, []
    for event in events:
        key = (event["runner"], event["born"], event.get("task"), event.get("run"))
        if event["kind"] == "start":
            open_runs[key] = event
        if event["kind"] == "end" and key in open_runs:
            start = open_runs.pop(key)
            spans.append((start["at"], event["at"], start["task"], start["cpu"]))
    for start in open_runs.values():
        spans.append((start["at"], until_s, start["task"], start["cpu"]))
    return spans


def is_ready(node):
    """Return whether an instance answers its readiness check with 200."""
    try:
        host, port = node.ready.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        connection.request("GET", "/-/ready")
        ready = connection.getresponse().status == 200
        connection.close()
        return ready
    except (OSError, http.client.HTTPException):
        return False


def free_port():
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def run_case(file, play):
    """Play a case and exit with its result.

    Parameters
    ----------
    file : str
        The case's ``run.py``.
    play : callable
        ``play(deployment, trouble)`` returns the broken rule's description, or an
        empty text if the rule held. ``trouble`` is the value of the environment
        variable TROUBLE: ``1``, or ``0`` for a play without the disruption. Some
        cases know further values, for a play with a part of it.
    """
    trouble = os.environ.get("TROUBLE", "1")
    # The processes are ended also if the play is.
    signal.signal(signal.SIGTERM, _end_play)
    with Deployment(pathlib.Path(file).resolve().parent) as deployment:
        try:
            broken = play(deployment, trouble)
        except Exception as error:
            # An error of the case's own must not pass for a broken rule.
            deployment.note(f"COULD NOT RUN: {error!r}")
            result = COULD_NOT_RUN
        else:
            deployment.note(f"BROKEN: {broken}" if broken else "HELD")
            result = BROKEN if broken else HELD
    sys.exit(result)


def _end_play(*_):
    # `timeout` signals the process and its group.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(COULD_NOT_RUN)


def _connects(address):
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), timeout=0.5).close()
    except OSError:
        return False
    return True
