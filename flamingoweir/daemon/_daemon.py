"""Run a daemon that an INI file configures: servers, signals and shutdown."""

import dataclasses
import random
import signal

import anyio

from .. import logs
from ..clock import BootClock
from ..entry import CallerApp, EntryApp, create_operator_app
from ..environment import Environment
from ..exit_status import ExitStatus
from ..faults import FaultLog
from ..listeners import ListenerConnections
from ..membership import TcpPeerTransport, serve_peers
from ..metrics import Metrics, create_metrics
from ..policy import APPLICATION_SHARE, ConnectionLimits
from ..routing import HttpRunnerLink
from ..settings import LimitSettings, Settings, SettingsError
from ..storage import HttpInstanceList, HttpObjectStore, HttpTable, Instance
from ..transport import HttpClient
from ..upstreams import HttpWorkerLink
from ._node import Node, NodeLinks
from ._server import HttpServer, share_limits
from ._settings import load_daemon_settings

#: Shares of the listeners in the process's connections and the bytes that these hold.
SHARE_BY_LISTENER = {"http": 0.75, "peer": 0.25}
#: Bytes of the framing of a body in chunks, as a fraction of the body.
FRAMING_SHARE = 0.25
#: Seconds that a call to a worker may take.
WORKER_TIMEOUT_S = 1.0

log = logs.get_logger()


async def run_daemon(
    settings: Settings, env: Environment, path: str | None
) -> ExitStatus:
    """Run a daemon until a signal has shut it down.

    Parameters
    ----------
    settings : Settings
        All settings.
    env : Environment
        Output streams; logs are written to ``stderr``.
    path : str or None
        The settings file, read again on SIGHUP.

    Returns
    -------
    ExitStatus
        ``GRACE_EXPIRED`` if requests were cut off, otherwise ``SUCCESS``.
    """
    daemon = Daemon(settings)
    async with anyio.create_task_group() as tasks:
        await tasks.start(daemon.run)
        exit_status = await _handle_signals(daemon, env, path)
        tasks.cancel_scope.cancel()
    return exit_status


class Daemon:
    """A node with its HTTP server and its server for peers.

    Parameters
    ----------
    settings : Settings
        All settings; a port of 0 is replaced by the port that the system chose.

    Attributes
    ----------
    node : Node or None
        The node; None until `run` has bound the ports.
    http : HttpServer or None
        The server for callers and operators; None until `run` has bound its port.
    """

    def __init__(self, settings: Settings):
        self._requested = settings
        self.node: Node | None = None
        self.http: HttpServer | None = None

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until cancelled; report the start once all ports listen."""
        own_settings = self._requested.instance
        app = DeferredApp()
        async with anyio.create_task_group() as tasks:
            limits = create_limits(
                self._requested.limits, self._requested.requests.max_body_bytes
            )
            metrics = create_metrics(own_settings.statsd)
            self.http = HttpServer(
                app,
                own_settings.host,
                own_settings.http_port,
                "http",
                limits["http"],
                metrics,
            )
            peer_port = await tasks.start(
                serve_peers,
                own_settings.host,
                own_settings.peer_port,
                self._answer_peer,
                ListenerConnections("peer", limits["peer"], metrics),
            )
            self.node = self._create_node(self.http.port, peer_port, metrics)
            app.target = self._create_app(self.node)
            tasks.start_soon(self.node.run)
            await tasks.start(self.http.run)
            log.info(
                "started",
                instance=own_settings.name,
                zone=own_settings.zone,
                http_port=self.http.port,
                peer_port=peer_port,
            )
            task_status.started()

    async def shut_down(self) -> bool:
        """Drain the node, then close the HTTP server.

        Returns
        -------
        bool
            Whether all requests in flight were finished.
        """
        own_settings = self._requested.instance
        finished = await self.node.drain(own_settings.notice_s, own_settings.grace_s)
        self.http.stop()
        await self.node.router.aclose()
        log.info(
            "stopped", instance=own_settings.name, cut_off=self.node.router.in_flight
        )
        return finished

    async def _answer_peer(self, request):
        return await self.node.peers.answer(request)

    def _create_node(self, http_port: int, peer_port: int, metrics: Metrics) -> Node:
        own_settings = dataclasses.replace(
            self._requested.instance, http_port=http_port, peer_port=peer_port
        )
        settings = dataclasses.replace(self._requested, instance=own_settings)
        clock = BootClock()
        links = create_links(settings, clock, FaultLog(metrics, clock))
        return Node(settings, links, clock, random.Random(), metrics)

    @staticmethod
    def _create_app(node: Node) -> EntryApp:
        callers = CallerApp(
            node.router,
            node.keys,
            node.settings.requests,
            lambda: node.refusing,
            node.clock,
            node.metrics,
        )
        return EntryApp(callers, create_operator_app(node.handler))


class DeferredApp:
    """ASGI application that delegates to `target`, which is set after the bind.

    The application needs the node, and the node's settings need the bound port.
    """

    def __init__(self):
        self.target = None

    async def __call__(self, scope, receive, send) -> None:
        """Pass a request on to the target."""
        await self.target(scope, receive, send)


def create_limits(
    settings: LimitSettings, max_body_bytes: int
) -> dict[str, ConnectionLimits]:
    """Return the limits of the listeners ``http`` and ``peer``.

    Parameters
    ----------
    settings : LimitSettings
        What all connections may take.
    max_body_bytes : int
        Largest body of a request; a single one fits, however small the machine.
    """
    limits = ConnectionLimits(
        head_bytes=settings.head_bytes,
        idle_s=settings.idle_s,
        head_s=settings.head_s,
        body_s=settings.body_s,
        response_s=settings.response_s,
    )
    limits_by_listener = share_limits(
        settings.memory_mb, settings.descriptors, SHARE_BY_LISTENER, limits
    )
    http = limits_by_listener["http"]
    request_bytes = (1 + FRAMING_SHARE) * max_body_bytes + http.head_bytes
    limits_by_listener["http"] = dataclasses.replace(
        http,
        held_bytes=max(http.held_bytes, round(request_bytes / APPLICATION_SHARE)),
    )
    return limits_by_listener


def create_links(
    settings: Settings, clock: BootClock, fault_log: FaultLog
) -> NodeLinks:
    """Return links to the platform, workers, runners and peers over the network.

    Parameters
    ----------
    settings : Settings
        All settings.
    clock : BootClock
        Clock for the idle times of connections to runners.
    fault_log : FaultLog
        Records entries of the platform's list that can't be read.
    """
    platform = HttpClient(
        settings.platform.address,
        settings.platform.connections,
        settings.platform.timeout_s,
    )

    def connect_worker(instance: Instance) -> HttpWorkerLink:
        return HttpWorkerLink(HttpClient(instance.address, 1, WORKER_TIMEOUT_S))

    def connect_runner(instance: Instance) -> HttpRunnerLink:
        return HttpRunnerLink(instance.address, settings.requests.keepalive_s, clock)

    return NodeLinks(
        HttpTable(platform),
        HttpObjectStore(platform),
        HttpInstanceList(platform, fault_log),
        connect_worker,
        connect_runner,
        TcpPeerTransport,
    )


async def _handle_signals(
    daemon: Daemon, env: Environment, path: str | None
) -> ExitStatus:
    exit_status = ExitStatus.SUCCESS
    stopping = False
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*signals) as received:
        async with anyio.create_task_group() as tasks:

            async def stop() -> None:
                nonlocal exit_status
                if not await daemon.shut_down():
                    exit_status = ExitStatus.GRACE_EXPIRED
                tasks.cancel_scope.cancel()

            async for number in received:
                if number == signal.SIGHUP:
                    reload_settings(env, path)
                    continue
                if stopping:
                    log.warning(
                        "shutdown_forced", requests=daemon.node.router.in_flight
                    )
                    return ExitStatus.GRACE_EXPIRED
                stopping = True
                tasks.start_soon(stop)
    return exit_status


def reload_settings(env: Environment, path: str | None) -> None:
    """Read the settings file again and apply its log level; nothing else changes."""
    try:
        settings = load_daemon_settings(path, standalone=False)
    except SettingsError as error:
        log.error("settings_refused", detail=str(error))
        return
    logs.configure(env.stderr, settings.instance.log_level)
    log.info("settings_reloaded", log_level=settings.instance.log_level)
