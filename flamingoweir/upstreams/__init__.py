"""Protocol between an owner and the workers, which run tasks.

The routing package reaches runners.
"""

from ._protocols import (
    AttemptId,
    AttemptReport,
    AttemptStatus,
    Command,
    CommandKind,
    WorkerExchange,
    WorkerLink,
    WorkerReport,
    WorkerUnreachable,
)
from ._worker_http import HttpWorkerLink, decode_exchange, encode_report

__all__ = [
    "AttemptId",
    "AttemptReport",
    "AttemptStatus",
    "Command",
    "CommandKind",
    "HttpWorkerLink",
    "WorkerExchange",
    "WorkerLink",
    "WorkerReport",
    "WorkerUnreachable",
    "decode_exchange",
    "encode_report",
]
