"""The platform: table service, object store and list of instances."""

from ._http import HttpInstanceList, HttpObjectStore, HttpTable, parse_instance
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
    "parse_instance",
]
