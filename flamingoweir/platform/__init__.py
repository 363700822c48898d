"""The platform: table service, object store and list of instances."""

from ._http import HttpInstanceList, HttpObjectStore, HttpTable
from ._protocols import (
    ABSENT,
    Instance,
    InstanceKind,
    InstanceList,
    ObjectStore,
    Precondition,
    PreconditionFailed,
    Row,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)
from ._writing import commit_once

__all__ = [
    "ABSENT",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "Instance",
    "InstanceKind",
    "InstanceList",
    "ObjectStore",
    "Precondition",
    "PreconditionFailed",
    "Row",
    "Table",
    "TableUnavailable",
    "TransactionUnknown",
    "Write",
    "commit_once",
]
