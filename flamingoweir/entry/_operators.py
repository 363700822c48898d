"""Serves ``/v1/...``: jobs, settings, zones, instances and the state dump."""

import datetime
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..asgi import error_body, error_headers
from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..logs import get_logger
from ..membership import Directory, Peers
from ..scheduling import JobHandler
from ..settings import TimingSettings
from ..storage import InstanceKind
from ..tree import OPERATORS_TEAM, TreeStore, services_of
from ._schemas import ChangeRequest, JobRequest, parse

log = get_logger()

#: Largest accepted request body, in bytes.
MAX_BODY_BYTES = 1_048_576
TEAM_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(slots=True)
class OperatorHandler:
    """Handles the requests of operators to an instance.

    Attributes
    ----------
    jobs : JobHandler
        Handles requests about jobs.
    store : TreeStore
        Store of the settings tree.
    peers : Peers
        The other entry instances.
    directory : Directory
        The platform's list of instances.
    clock : Clock
        Monotonic clock of this instance.
    timings : TimingSettings
        Lengths of leases and periods. They bound how long an instance with outdated
        settings can start tasks.
    dump : callable
        Returns the state dump.
    not_ready_reason : callable
        Returns why the instance is not ready; empty if it is ready.
    accepted_s_by_version : dict of int to float
        Time on this instance's clock, in seconds, when a settings version was accepted.
    """

    jobs: JobHandler
    store: TreeStore
    peers: Peers
    directory: Directory
    clock: Clock
    timings: TimingSettings
    dump: Callable[[], dict]
    not_ready_reason: Callable[[], str]
    accepted_s_by_version: dict[int, float]

    async def submit(self, request: Request) -> Response:
        """Submit a job."""
        job = parse(JobRequest, await _read_body(request))
        spec = job.to_spec(_read_team(request))
        await self.jobs.submit(spec)
        log.info("job_accepted", job=spec.id, team=spec.team, tasks=spec.tasks)
        return _json_response({"id": spec.id, "state": "accepted"}, 202)

    async def list_jobs(self, request: Request) -> Response:
        """List declared jobs."""
        team = request.query_params.get("team", "")
        after = request.query_params.get("after", "")
        limit = _read_limit(request)
        jobs = await self.jobs.list_jobs(team, after, limit)
        return _json_response({"jobs": jobs})

    async def show_job(self, request: Request) -> Response:
        """Show the state of a job."""
        return _json_response(await self.jobs.show(request.path_params["job"]))

    async def cancel_job(self, request: Request) -> Response:
        """Cancel a job."""
        job = request.path_params["job"]
        await self.jobs.cancel(job, _read_team(request))
        log.info("job_cancel_accepted", job=job)
        return _json_response({"id": job, "state": "cancelling"}, 202)

    async def explain_task(self, request: Request) -> Response:
        """Report why a task waits or where it runs."""
        job = request.path_params["job"]
        index = request.path_params["index"]
        return _json_response({"tasks": await self.jobs.explain(job, index)})

    async def get_settings(self, request: Request) -> Response:
        """Show values of the settings tree."""
        path = request.query_params.get("path", "")
        tree = self.store.tree
        values = tree.values_under(path)
        if path and not values:
            raise FlamingoweirError(ErrorCode.NOT_FOUND, f"nothing is set at {path!r}")
        return _json_response(
            {
                "version": tree.version,
                "branch_version": tree.branch_version(path) if path else tree.version,
                "values": values,
            }
        )

    async def change_settings(self, request: Request) -> Response:
        """Change values of the settings tree."""
        change = parse(ChangeRequest, await _read_body(request))
        return await self._propose_change(
            _read_team(request), change.id, change.values, change.expected
        )

    async def list_settings_changes(self, request: Request) -> Response:
        """List the latest changes of the settings tree, newest last."""
        path = request.query_params.get("path", "").rstrip("/")
        limit = _read_limit(request)
        found = []
        for change in self.store.tree.recent_changes:
            touched = any(
                name == path or name.startswith(f"{path}/") for name in change.values
            )
            if not path or touched:
                found.append(change)
        return _json_response({"changes": found[-limit:]})

    async def show_settings_force(self, request: Request) -> Response:
        """Show which instances have applied a settings version."""
        return _json_response(self._describe_force(request.path_params["version"]))

    async def list_zones(self, request: Request) -> Response:
        """List the zones and whether they are in service."""
        zones = []
        for zone in self.directory.zones():
            workers = self.directory.of_kind(InstanceKind.WORKER, zone)
            state = "in" if self.store.tree.is_zone_open(zone) else "out"
            zones.append({"zone": zone, "state": state, "workers": len(workers)})
        return _json_response({"zones": zones})

    async def set_zone(self, request: Request) -> Response:
        """Take a zone out of service or bring it back."""
        zone, state = request.path_params["zone"], request.path_params["state"]
        if zone not in self.directory.zones():
            known = ", ".join(self.directory.zones())
            raise FlamingoweirError(
                ErrorCode.NOT_FOUND, f"there is no zone {zone!r}; zones are {known}"
            )
        change = parse(ChangeRequest, _build_zone_change(request, zone, state))
        return await self._propose_change(
            OPERATORS_TEAM, change.id, change.values, None
        )

    async def list_services(self, request: Request) -> Response:
        """List declared services with their runners."""
        services = []
        for declaration in services_of(self.store.tree):
            runners = len(self.directory.runners(declaration.name))
            services.append({"service": declaration, "runners": runners})
        return _json_response({"services": services})

    async def list_fleet(self, request: Request) -> Response:
        """List workers or runners from the platform's list."""
        kind = InstanceKind(request.path_params["kind"].removesuffix("s"))
        return _json_response({"instances": self.directory.of_kind(kind)})

    async def list_peers(self, request: Request) -> Response:
        """List the other entry instances."""
        return _json_response({"peers": describe_peers(self.peers, self.clock)})

    async def show_dump(self, request: Request) -> Response:
        """Return the state dump of this process."""
        return _json_response(self.dump())

    async def show_health(self, request: Request) -> Response:
        """Report that the instance is ready.

        Raises
        ------
        FlamingoweirError
            If the instance is not ready; the message gives the reason.
        """
        reason = self.not_ready_reason()
        if reason:
            raise FlamingoweirError(ErrorCode.NOT_READY, reason, retry_after_s=1.0)
        return _json_response(
            {"ready": True, "settings_version": self.store.tree.version}
        )

    async def _propose_change(
        self,
        team: str,
        change_id: str,
        values: dict[str, str | None],
        expected: int | None,
    ) -> Response:
        """Propose a change to the store and announce it to the peers."""
        if not self.peers.is_known_to_peers:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                "this instance has not reached a peer yet; send the request to another "
                "instance",
                retry_after_s=1.0,
            )
        at = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        change = await self.store.propose(change_id, team, values, expected, at)
        self.accepted_s_by_version.setdefault(change.version, self.clock.now())
        self.peers.announce()
        log.info("settings_accepted", version=change.version, team=team)
        return _json_response(
            {"id": change.id, "version": change.version, "state": "accepted"}
        )

    def _describe_force(self, version: int) -> dict:
        """Return where a version is in force, and whether others may still start tasks.

        An instance that has not applied the version starts no task once the bound
        has passed since the version was accepted.
        """
        own_version = self.store.tree.version
        in_force, unanswered = [], []
        (in_force if own_version >= version else unanswered).append(
            self.peers.instance.name
        )
        for peer in self.peers.by_name.values():
            is_current = peer.pong is not None and peer.pong.settings_version >= version
            (in_force if is_current else unanswered).append(peer.name)
        accepted_s = self.accepted_s_by_version.get(version)
        age_s = self.clock.now() - accepted_s if accepted_s is not None else None
        bound_s = self.timings.zone_out_bound_s
        return {
            "version": version,
            "in_force_on": sorted(in_force),
            "not_answered": sorted(unanswered),
            "in_force_everywhere": not unanswered,
            "starts_stopped_everywhere": not unanswered
            or (age_s is not None and age_s > bound_s),
            "age_s": age_s,
            "bound_s": bound_s,
        }


def describe_peers(peers: Peers, clock: Clock) -> list[dict]:
    """Return the last known state of each peer, for the API and the state dump."""
    found = []
    for peer in sorted(peers.by_name.values(), key=lambda item: item.name):
        pong = peer.pong
        found.append(
            {
                "instance": peer.name,
                "zone": peer.zone,
                "reachable": peer.reachable,
                "settings_version": pong.settings_version if pong else None,
                "store_reachable": pong.store_reachable if pong else None,
                "leaving": pong.leaving if pong else None,
                "shards": [hold.shard for hold in pong.holds] if pong else [],
                "heard_s_ago": clock.now() - peer.status.asked_s
                if peer.status
                else None,
            }
        )
    return found


def create_operator_app(handler: OperatorHandler) -> Starlette:
    """Return the ASGI application for operators."""
    return Starlette(
        routes=[
            Route("/v1/jobs", handler.submit, methods=["POST"]),
            Route("/v1/jobs", handler.list_jobs, methods=["GET"]),
            Route("/v1/jobs/{job}", handler.show_job, methods=["GET"]),
            Route("/v1/jobs/{job}/cancel", handler.cancel_job, methods=["POST"]),
            Route("/v1/jobs/{job}/tasks/{index:int}", handler.explain_task),
            Route("/v1/settings", handler.get_settings, methods=["GET"]),
            Route("/v1/settings", handler.change_settings, methods=["POST"]),
            Route("/v1/settings/history", handler.list_settings_changes),
            Route("/v1/settings/force/{version:int}", handler.show_settings_force),
            Route("/v1/zones", handler.list_zones),
            Route("/v1/zones/{zone}/{state}", handler.set_zone, methods=["POST"]),
            Route("/v1/services", handler.list_services),
            Route("/v1/fleet/{kind}", handler.list_fleet),
            Route("/v1/peers", handler.list_peers),
            Route("/v1/dump", handler.show_dump),
            Route("/v1/health", handler.show_health),
        ],
        exception_handlers={
            FlamingoweirError: _handle_error,
            404: _handle_unknown_route,
            405: _handle_unknown_route,
            Exception: _handle_crash,
        },
    )


Handler = Callable[[Request], Awaitable[Response]]


def _json_response(content: object, status: int = 200) -> Response:
    return Response(orjson.dumps(content), status, media_type="application/json")


async def _read_body(request: Request) -> bytes:
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise FlamingoweirError(
                ErrorCode.BODY_TOO_LARGE, f"the body exceeds {MAX_BODY_BYTES} bytes"
            )
        parts.append(part)
    return b"".join(parts)


def _read_team(request: Request) -> str:
    team = request.headers.get("x-flamingoweir-team", "default")
    if not TEAM_NAME.fullmatch(team):
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            "x-flamingoweir-team must be 1 to 63 letters, digits, '.', '_' and '-', "
            "starting with a letter or a digit",
        )
    return team


def _read_limit(request: Request) -> int:
    text = request.query_params.get("limit", "100")
    if not text.isdigit() or not 0 < int(text) <= 1000:
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, "limit must be a whole number from 1 to 1000"
        )
    return int(text)


def _build_zone_change(request: Request, zone: str, state: str) -> bytes:
    change = {"values": {f"zones/{zone}/state": state}}
    change_id = request.query_params.get("id")
    if change_id:
        change["id"] = change_id
    return orjson.dumps(change)


async def _handle_error(request: Request, error: FlamingoweirError) -> Response:
    return _error_response(error)


async def _handle_unknown_route(request: Request, error: Exception) -> Response:
    return _error_response(
        FlamingoweirError(
            ErrorCode.NOT_FOUND,
            f"{request.method} {request.url.path} is not part of the API",
        )
    )


async def _handle_crash(request: Request, error: Exception) -> Response:
    log.error("operator_request_crashed", path=request.url.path, exc_info=error)
    return _error_response(
        FlamingoweirError(
            ErrorCode.INTERNAL, "internal error; see the log of the instance"
        )
    )


def _error_response(error: FlamingoweirError) -> Response:
    headers = {
        name.decode("ascii"): value.decode("ascii")
        for name, value in error_headers(error)
    }
    return Response(error_body(error), error.http_status, headers)
