"""Requests of submitters as the adapter receives them, without a socket."""

from dataclasses import dataclass

import orjson

from flamingoweir.jobs import decode_spec
from flamingoweir.ownership import job_row
from flamingoweir.platform._ingress import IngressApp
from tests.utils.cluster import HOST, PREFIX, Cluster, Member


async def post_job(
    cluster: Cluster, member: Member, number: int, body: bytes, deadline: bytes = b""
) -> int:
    """Submit a job with a body; return the HTTP status.

    The runners of the cluster learn the job's steps if it is accepted.
    """
    app = IngressApp(member.instance.handler, cluster.wall_ms)
    job_id = f"{number:016x}"
    statuses = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {
        "type": "http",
        "method": "POST",
        "path": PREFIX + job_id,
        "headers": [(b"host", HOST.encode())],
    }
    if deadline:
        scope["headers"].append((b"x-deadline-ms", deadline))
    await app(scope, receive, send)
    row = cluster.rows.row_by_id.get(job_row("s0", job_id))
    if row is not None:
        cluster.spec_by_id[job_id] = decode_spec(row.value)
    return statuses[0]


async def get_state(
    cluster: Cluster, member: Member, job_id: str, deadline: bytes = b"3000"
) -> tuple[int, dict]:
    """Ask for the state of a job; return the HTTP status and the body."""
    return await _call(cluster, member, "GET", job_id, deadline)


async def delete_job(cluster: Cluster, member: Member, job_id: str) -> int:
    """Cancel a job; return the HTTP status."""
    return (await _call(cluster, member, "DELETE", job_id, b"3000"))[0]


async def _call(
    cluster: Cluster, member: Member, method: str, job_id: str, deadline: bytes
) -> tuple[int, dict]:
    app = IngressApp(member.instance.handler, cluster.wall_ms)
    statuses, parts = [], []

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])
        parts.append(message.get("body", b""))

    scope = {
        "type": "http",
        "method": method,
        "path": PREFIX + job_id,
        "headers": [(b"host", HOST.encode()), (b"x-deadline-ms", deadline)],
    }
    await app(scope, None, send)
    return statuses[0], orjson.loads(b"".join(parts))


@dataclass
class Answer:
    """Response to a request: status, headers by name, and the raw body."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


async def call(
    cluster: Cluster,
    member: Member,
    method: str,
    path: str = "",
    key: str | None = None,
    body: bytes = b"",
    scheme: str = "Bearer",
) -> Answer:
    """Make a request under a path of the queue, with a key if one is given."""
    app = IngressApp(member.instance.handler, cluster.wall_ms)
    messages = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        messages.append(message)

    headers = [(b"host", HOST.encode()), (b"x-deadline-ms", b"3000")]
    if key is not None:
        headers.append((b"authorization", f"{scheme} {key}".encode()))
    scope = {"type": "http", "method": method, "path": PREFIX + path}
    await app({**scope, "headers": headers}, receive, send)
    start, end = messages
    return Answer(start["status"], dict(start["headers"]), end["body"])
