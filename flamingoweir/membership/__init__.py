"""Messages between entry instances.

With these messages instances detect which of them run, find the owners of shards, and
pass on the newest settings.
"""

from ._directory import Directory
from ._peer import Peer, PeerUnreachable
from ._peers import Peers, PeerService, rendezvous_weight
from ._permit import StartPermit
from ._server import serve_peers
from ._transport import PeerTransport, TcpPeerTransport
from ._wire import (
    Changes,
    ChangesAsked,
    Hold,
    Nudge,
    Ping,
    Pong,
    Query,
    QueryResult,
    Reply,
    Request,
)

__all__ = [
    "Changes",
    "ChangesAsked",
    "Directory",
    "Hold",
    "Nudge",
    "Peer",
    "PeerService",
    "PeerTransport",
    "PeerUnreachable",
    "Peers",
    "Ping",
    "Pong",
    "Query",
    "QueryResult",
    "Reply",
    "Request",
    "StartPermit",
    "TcpPeerTransport",
    "rendezvous_weight",
    "serve_peers",
]
