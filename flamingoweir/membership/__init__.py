"""Messages between entry instances.

Peers tell each other whether they run, which shards they own and which version of the
settings is the newest.
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
