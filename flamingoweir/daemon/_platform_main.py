"""Run an instance on the platform: servers, signals and shutdown."""

import functools
import gc
import random
import signal

import anyio

from .. import logs
from ..asgi import send_response
from ..clock import BootClock
from ..environment import Environment
from ..exit_status import ExitStatus
from ..metrics import PrometheusMetrics
from ..platform import (
    SETTINGS_PATH_VARIABLE,
    IngressApp,
    ReadinessApp,
    connect_platform,
    load_platform_settings,
)
from ..policy import ConnectionLimits
from ..settings import FleetSettings, SettingsError
from ..transport import split_address
from ._instance import Instance, wall_ms
from ._server import HttpServer, share_limits

log = logs.get_logger()

#: Seconds after the start of a shutdown during which new connections still arrive:
#: the load balancer checks once per second and needs two failed checks.
BALANCER_NOTICE_S = 2.3
#: Seconds of the grace period that are left unused, as a reserve before SIGKILL.
GRACE_MARGIN_S = 0.8
#: Thresholds of the three generations of the garbage collector: new objects, and
#: collections of the younger generation.
COLLECTION_THRESHOLDS = (50_000, 20, 100)
#: Shares of the listeners in the process's connections and the bytes that these hold.
SHARE_BY_LISTENER = {"front": 0.9, "ready": 0.05, "metrics": 0.05}
#: Seconds between checks for requests in flight during a shutdown.
DRAIN_POLL_INTERVAL_S = 0.05


class MetricsApp:
    """ASGI application that serves the instance's metrics as Prometheus text.

    Parameters
    ----------
    metrics : PrometheusMetrics
        The metrics to render.
    """

    def __init__(self, metrics: PrometheusMetrics):
        self._metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Respond to a request of any path with the metrics."""
        if scope["type"] != "http":
            return
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await send_response(send, 200, headers, self._metrics.render())


async def run_instance(settings: FleetSettings, path: str) -> ExitStatus:
    """Run an instance until SIGTERM or SIGINT has shut it down.

    Parameters
    ----------
    settings : FleetSettings
        The instance's settings.
    path : str
        The settings file, read again on SIGHUP.

    Returns
    -------
    ExitStatus
        ``GRACE_EXPIRED`` if requests were cut off, otherwise ``SUCCESS``.
    """
    metrics = PrometheusMetrics()
    instance = Instance(
        settings,
        connect_platform(settings),
        BootClock(),
        random.Random(),
        metrics,
    )
    app = IngressApp(instance.handler, wall_ms)
    limits = share_limits(
        settings.memory_mb, settings.descriptors, SHARE_BY_LISTENER, ConnectionLimits()
    )

    def create_server(name: str, app, host: str, port: int) -> HttpServer:
        return HttpServer(app, host, port, name, limits[name], metrics)

    front_server = create_server("front", app, *split_address(settings.front_address))
    readiness_server = create_server(
        "ready",
        ReadinessApp(lambda: instance.ready),
        *split_address(settings.ready_address),
    )
    metrics_server = create_server(
        "metrics", MetricsApp(metrics), settings.host, settings.metrics_port
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.run)
        await tasks.start(front_server.run)
        await tasks.start(readiness_server.run)
        await tasks.start(metrics_server.run)
        log.info("started", instance=settings.name, zone=settings.zone)
        exit_status = await _handle_signals(instance, app, front_server, path)
        tasks.cancel_scope.cancel()
    return exit_status


async def _handle_signals(
    instance: Instance, app: IngressApp, front_server: HttpServer, path: str
) -> ExitStatus:
    exit_status = ExitStatus.SUCCESS
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*signals) as received:
        async with anyio.create_task_group() as tasks:

            async def stop() -> None:
                nonlocal exit_status
                if not await shut_down(instance, app, front_server):
                    exit_status = ExitStatus.GRACE_EXPIRED
                tasks.cancel_scope.cancel()

            async for number in received:
                if number == signal.SIGHUP:
                    reload_settings(path, instance.settings)
                    continue
                if not instance.leaving:
                    instance.leaving = True
                    tasks.start_soon(stop)
    return exit_status


async def shut_down(
    instance: Instance, app: IngressApp, front_server: HttpServer
) -> bool:
    """Release the shard and finish the requests in flight.

    New requests are served until the load balancer has stopped sending them.

    Returns
    -------
    bool
        Whether all requests ended within the grace period.
    """
    settings = instance.settings
    log.info("stopping", instance=settings.name, owner=instance.term is not None)
    app.closing = True
    with anyio.move_on_after(settings.grace_s - GRACE_MARGIN_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(instance.leave)
            tasks.start_soon(anyio.sleep, BALANCER_NOTICE_S)
        while app.in_flight:
            await anyio.sleep(DRAIN_POLL_INTERVAL_S)
    front_server.stop()
    log.info("stopped", instance=settings.name, in_flight=app.in_flight)
    return not app.in_flight


def reload_settings(path: str, settings: FleetSettings) -> None:
    """Read the settings file again and log whether it differs from `settings`.

    The running instance keeps the settings that it was started with.
    """
    try:
        read = load_platform_settings(path)
    except SettingsError as error:
        log.error("settings_refused", detail=str(error))
        return
    log.info("settings_reloaded", changed=read != settings)


def _limit_collections() -> None:
    """Make collections of cyclic garbage rare.

    A full collection walks all objects and holds the event loop of a large fleet's
    owner for as long; reference counts free almost all objects.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def main(env: Environment) -> ExitStatus:
    """Run an instance with the settings file that the platform has written.

    Parameters
    ----------
    env : Environment
        Streams and variables; ``SETTINGS_PATH_VARIABLE`` names the file.

    Returns
    -------
    ExitStatus
        Exit status of the process; ``SETTINGS`` if the file is invalid.
    """
    path = env.variables.get(SETTINGS_PATH_VARIABLE, "")
    try:
        settings = load_platform_settings(path)
    except SettingsError as error:
        env.print_error("flamingoweird", str(error))
        return ExitStatus.SETTINGS
    stream = logs.BoundedStream(env.stdout)
    logs.configure(stream, "info")
    try:
        _limit_collections()
        return anyio.run(
            functools.partial(run_instance, settings, path),
            backend_options={"use_uvloop": True},
        )
    finally:
        stream.drain(0.5)
