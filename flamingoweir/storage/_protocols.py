"""Interfaces to the platform that are independent of its wire format."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..resources import Resources

#: Version of a row that does not exist.
ABSENT_VERSION = 0


class TableUnavailable(Exception):
    """The platform did not accept a call; a rejected transaction writes nothing."""


class TransactionUnknown(Exception):
    """A transaction was sent, but got no response; it may still take effect later."""


class PreconditionFailed(Exception):
    """A row did not have the expected version; nothing was written.

    Parameters
    ----------
    key : str
        Key of the first row whose version differed.
    """

    def __init__(self, key: str):
        super().__init__(f"row {key!r} does not have the expected version")
        self.key = key


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Attributes
    ----------
    key : str
        Key of the row.
    value : str
        Value of the row, a text.
    version : int
        Revision of the table in which the row was written; it is never used twice.
    """

    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Precondition:
    """Version that a row must have for a transaction to take effect."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """New value of a row; None deletes the row."""

    key: str
    value: str | None


class Table(Protocol):
    """The transactional table service."""

    async def transact(
        self, preconditions: Sequence[Precondition], writes: Sequence[Write]
    ) -> int:
        """Apply all writes atomically if every precondition holds.

        Returns
        -------
        int
            Version of all rows that the transaction wrote.

        Raises
        ------
        PreconditionFailed
            If a row does not have the expected version; nothing was written.
        TableUnavailable
            If nothing was written, and nothing will be written later.
        TransactionUnknown
            If the writes may have taken effect, or may take effect later.
        """
        ...

    async def get(self, key: str) -> Row | None:
        """Return a row, or None; raises TableUnavailable."""
        ...

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key starts with ``prefix``, in the order of keys.

        Only keys greater than ``after`` are returned, and at most ``limit`` rows;
        raises TableUnavailable.
        """
        ...


class ObjectStore(Protocol):
    """A store of objects; an object is written once and never changed."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raises TableUnavailable unless the success is certain."""
        ...

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None; raises TableUnavailable."""
        ...

    async def delete(self, name: str) -> None:
        """Delete an object if it exists; raises TableUnavailable."""
        ...


class InstanceKind(enum.StrEnum):
    """Kind of an instance on the platform's list."""

    ENTRY = "entry"
    RUNNER = "runner"
    WORKER = "worker"


@dataclass(frozen=True, slots=True)
class Instance:
    """An instance on the platform's list.

    Attributes
    ----------
    name : str
        Name of the instance, unique on the platform.
    kind : InstanceKind
        Entry instance, runner or worker.
    zone : str
        Availability zone of the instance.
    rack : str
        Rack of the instance.
    address : str
        ``host:port`` with an IP address; for an entry instance the port for peers.
    leaving : bool
        Whether the platform is about to remove the instance.
    service : str
        For a runner, the service whose requests it executes.
    capacity : Resources
        For a worker, its total resources.
    """

    name: str
    kind: InstanceKind
    zone: str
    rack: str
    address: str
    leaving: bool = False
    service: str = ""
    capacity: Resources = field(default_factory=Resources)


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which may be outdated."""

    async def instances(self) -> list[Instance]:
        """Return the list; raises TableUnavailable."""
        ...
