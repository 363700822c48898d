"""Starts a small deployment on loopback: store, runners and the project's daemons."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from mini_http import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HOST, PREFIX, SERVICE = "orders.example", "/q0/", "desk"
#: Seconds after which the platform starts a process again that has ended.
RESTART_S = 0.3

SETTINGS = """\
NodeName = "{name}"
Role = "flamingoweird"
MachineClass = "front"
Serves = ["front","control"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "saurashtra"
PortRange = [{first},{last}]
Seeds = []
Bootstrap = true
InFaultSet = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1100
Policies = ["base","drain","config","cost","recover","sched","places","platform"]
Orders = "rpc"
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
Control = "127.0.0.1:{control}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[PolicyBounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 6000
StopMs = 900
[platform]
Address = "{store}"
form = "table"
WritesPerS = 600
ReadsPerS = 2000
TxMs = 3.0
PartWritesS = 300
RowBytes = 65536
Across = true
HistoryS = 20
"""


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free at the moment."""
    probes = []
    for _ in range(count):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Deployment:
    """The processes of one play, and the record of what they did.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder: pathlib.Path):
        self.temporary = tempfile.TemporaryDirectory(prefix="flamingoweir-review-")
        self.scratch = pathlib.Path(self.temporary.name)
        self.record_path = folder.resolve() / "record.txt"
        self.record_path.write_text("")
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, dict] = {}
        self.runners: dict[str, dict] = {}
        self.store = ""
        self.started_s = time.time()

    def note(self, kind: str, **fields) -> None:
        """Append a line to the record."""
        line = {"at": round(time.time(), 3), "kind": kind, **fields}
        with self.record_path.open("a") as record:
            record.write(json.dumps(line) + "\n")

    def lines(self) -> list[dict]:
        """Return the record so far."""
        lines = []
        for line in self.record_path.read_text().splitlines():
            lines.append(json.loads(line))
        return lines

    def spawn(self, words: list[str], env: dict | None = None, **options):
        """Start a process in a session of its own."""
        process = subprocess.Popen(
            words, env=env, cwd=ROOT, start_new_session=True, **options
        )
        self.processes.append(process)
        return process

    def start_store(self) -> None:
        """Start the store."""
        process = self.spawn(
            [sys.executable, str(LIB / "store.py")], stdout=subprocess.PIPE, text=True
        )
        self.store = f"127.0.0.1:{process.stdout.readline().strip()}"

    def start_runner(
        self,
        runner: str,
        machine: str,
        zone: str = "a",
        rack: str = "r1",
        cpu: int = 32_000,
        mem: int = 125_000,
        port: int = 0,
        service: str = SERVICE,
        kind: str = "a",
        announced: int = 0,
    ) -> None:
        """Start a life of a runner; it may announce the port of a proxy."""
        words = [runner, machine, zone, rack, service, self.store, str(port)]
        words += [str(self.record_path), str(cpu), str(mem)]
        words += [kind, str(announced)]
        process = self.spawn(
            [sys.executable, str(LIB / "runner.py"), *words],
            stdout=subprocess.PIPE,
            text=True,
        )
        port = int(process.stdout.readline())
        self.runners[runner] = {
            "process": process,
            "machine": machine,
            "zone": zone,
            "rack": rack,
            "cpu": cpu,
            "mem": mem,
            "port": port,
            "service": service,
            "kind": kind,
            "announced": announced,
        }

    def start_daemon(self, name: str, zone: str = "a") -> None:
        """Start a daemon by the command of the deploy file; again after it ended."""
        daemon = self.daemons.get(name)
        if daemon is None:
            front, ready, control, first, last = free_ports(5)
            path = self.scratch / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name,
                    zone=zone,
                    front=front,
                    ready=ready,
                    control=control,
                    first=first,
                    last=last,
                    store=self.store,
                )
            )
            daemon = {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "path": path,
                "zone": zone,
                "log": self.scratch / f"{name}.log",
            }
            self.daemons[name] = daemon
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": "target/deps",
            "FLAMINGOWEIR_BOOT": str(daemon["path"]),
        }
        with daemon["log"].open("ab") as log:
            daemon["process"] = self.spawn(
                ["python3", "-m", "flamingoweir.daemon", "--platform"],
                env,
                stdout=log,
                stderr=log,
            )

    async def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator."""
        body = {"table": table, "key": key, "value": value}
        status, _ = await call(self.store, "POST", "/standin/put", body)
        if status != 200:
            raise Unplayable(f"the store refused {table}/{key}: {status}")

    async def put_config(self, *routes: dict, version: int = 7) -> None:
        """Write a config; each route names what differs from the usual queue."""
        found, services = [], {}
        for route in routes or ({},):
            fields = {
                "Name": "r-orders",
                "Host": HOST,
                "PathPrefix": PREFIX,
                "Kind": "unsafe",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": 0,
                "Service": SERVICE,
                "MaxAttempts": 3,
                "Stretch": 2.0,
                **route,
            }
            found.append(fields)
            services[fields["Service"]] = {
                "Name": fields["Service"],
                "EnforcesCapacity": True,
                "Standby": False,
            }
        services = list(services.values())
        config = {"Version": version, "Routes": found, "Services": services}
        await self.put("op", "config", {**config, "Limits": {"MaxBodyBytes": 262144}})

    async def drop(self, table: str, key: str) -> None:
        """Drop a row, as the platform does with the entry of a runner that is gone."""
        body = {"table": table, "key": key}
        await call(self.store, "POST", "/standin/drop", body)

    def crash_runner(self, runner: str) -> None:
        """Crash a runner; it knows nothing any more."""
        self.runners[runner]["process"].kill()
        self.runners[runner]["process"].wait()
        self.note("crashed", runner=runner)

    def start_again(self, runner: str) -> None:
        """Start a runner again under its id and at its address."""
        life = dict(self.runners[runner])
        del life["process"]
        self.start_runner(runner, **life)
        self.note("up_again", runner=runner)

    async def lose_runner(self, runner: str) -> None:
        """Lose a runner for good; its entry goes after three heartbeat intervals."""
        self.runners[runner]["process"].kill()
        self.note("lost", runner=runner)
        await asyncio.sleep(3.3)
        await self.drop("servers", runner)
        self.note("entry_dropped", runner=runner)

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every daemon says that it is ready."""
        until_s = time.monotonic() + timeout_s
        for name, daemon in list(self.daemons.items()):
            while True:
                if daemon["process"].poll() is not None:
                    # Another process may have taken one of its ports.
                    self.daemons.pop(name)
                    self.start_daemon(name, daemon["zone"])
                    daemon = self.daemons[name]
                status, _ = await call(daemon["ready"], "GET", "/-/ready")
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    raise Unplayable("a daemon didn't get ready")
                await asyncio.sleep(0.1)

    async def ask(
        self, method: str, job: str, body: dict | None = None, prefix: str = PREFIX
    ) -> tuple:
        """Ask one daemon after another about a submission until one answers."""
        for name, daemon in self.daemons.items():
            if daemon["process"].poll() is not None:
                continue
            status, answer = await call(
                daemon["front"], method, prefix + job, body, HOST
            )
            self.note("call", method=method, job=job, at_node=name, status=status)
            if status is not None and status < 500 and status != 429:
                return status, answer
        return None, {}

    async def submit(
        self, job: str, spec: str, phases: list[dict], prefix: str = PREFIX
    ) -> None:
        """Submit until it is accepted."""
        body = {"Spec": spec, "Phases": phases}
        for _ in range(20):
            status, _ = await self.ask("POST", job, body, prefix)
            if status == 200:
                self.note("accepted", job=job)
                return
            await asyncio.sleep(0.3)
        raise Unplayable(f"submission {job} was not accepted")

    async def state(self, job: str, prefix: str = PREFIX) -> str:
        """Return what the consumer is shown."""
        status, answer = await self.ask("GET", job, None, prefix)
        state = answer.get("State", "") if status == 200 else f"status {status}"
        self.note("shown", job=job, state=state)
        return state

    def owner(self) -> str:
        """Return the daemon whose log says last that it has taken the shard."""
        best, best_at = "", ""
        for name, daemon in self.daemons.items():
            if daemon["process"].poll() is not None:
                continue
            for line in daemon["log"].read_text().splitlines():
                if "event=shard_taken" not in line:
                    continue
                at = line.split("timestamp=")[1].split()[0]
                if at > best_at:
                    best, best_at = name, at
        return best

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the daemons' logs; only for a look by hand."""
        for name, daemon in self.daemons.items():
            (folder / f"{name}.log").write_bytes(daemon["log"].read_bytes())

    def stop(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.temporary.cleanup()


class Unplayable(Exception):
    """The case couldn't run."""


def play(case, folder: pathlib.Path, limit_s: float = 110.0) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Parameters
    ----------
    case : callable
        Takes the deployment and whether the disruption happens; returns why the rule
        is broken, or an empty text.
    folder : pathlib.Path
        Folder of the case.
    limit_s : float
        Seconds after which the play is given up.
    """
    deployment = Deployment(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> str:
        async with asyncio.timeout(limit_s):
            return await case(deployment, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:
        deployment.note("unplayable", why=repr(error))
        print(f"couldn't run: {error!r}")
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            deployment.keep_logs(pathlib.Path(os.environ["KEEP_LOGS"]))
        deployment.stop()
    deployment.note("verdict", broken=broken)
    print(f"BROKEN: {broken}" if broken else "held")
    return 1 if broken else 0
