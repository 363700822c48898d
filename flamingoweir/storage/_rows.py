"""A store of versioned rows in tables and their parts, with a feed of changes."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio

#: Largest size of a row's value, in bytes, unless the store's settings say otherwise.
DEFAULT_MAX_ROW_BYTES = 65_536


class StoreRefused(Exception):
    """The store did not execute a call; the call may be repeated.

    Parameters
    ----------
    message : str
        Reason of the failure.
    overloaded : bool
        Whether the store refused the call because of its rate limit.
    """

    def __init__(self, message: str, overloaded: bool = False):
        super().__init__(message)
        self.overloaded = overloaded


class StoreRejected(StoreRefused):
    """The store refuses a call for what it contains; repeating it changes nothing."""


class StoreOutcomeUnknown(Exception):
    """A call was sent, but got no response; it may take effect, even seconds later."""


class HistoryTruncated(Exception):
    """The feed no longer has the changes after a version; read the whole table."""


@dataclass(frozen=True, slots=True)
class RowId:
    """Identifies a row.

    Attributes
    ----------
    table : str
        Name of the table.
    part : str
        Part of the table; a transaction changes rows of one part only.
    key : str
        Key of the row within the part.
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row as read from the store.

    Attributes
    ----------
    id : RowId
        Id of the row.
    value : bytes or None
        Value of the row; None if the row was deleted or can't be decoded.
    version : int
        Version of the transaction that wrote or deleted the row.
    deleted : bool
        Whether the row was deleted.
    """

    id: RowId
    value: bytes | None
    version: int
    deleted: bool = False


class RowVersionConflict(Exception):
    """A precondition of a transaction did not hold, and nothing was written.

    Parameters
    ----------
    rows : list of VersionedRow
        Current rows of the preconditions.

    Attributes
    ----------
    row_by_id : dict of RowId to VersionedRow
        Current rows of the preconditions.
    """

    def __init__(self, rows: list[VersionedRow]):
        super().__init__("a row does not have the version that the transaction expects")
        self.row_by_id = {row.id: row for row in rows}


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes of rows of one part, which are applied atomically.

    Attributes
    ----------
    expected : sequence of (RowId, int)
        Versions that rows must have; 0 if a row must not exist.
    puts : sequence of (RowId, bytes)
        Rows and their new values.
    deletes : sequence of RowId
        Rows to delete.
    """

    expected: Sequence[tuple[RowId, int]] = ()
    puts: Sequence[tuple[RowId, bytes]] = ()
    deletes: Sequence[RowId] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """A page of rows, as of one moment.

    Attributes
    ----------
    rows : list of VersionedRow
        Rows in the order of keys, or for a feed in the order of changes.
    more : bool
        Whether more rows follow those of the page.
    version : int
        Newest version of the store at that moment.
    now_s : float or None
        The store's steady clock at that moment, in seconds; None if it is not known.
    """

    rows: list[VersionedRow] = field(default_factory=list)
    more: bool = False
    version: int = 0
    now_s: float | None = None


class RowStore(Protocol):
    """A store of rows; every method may raise StoreRefused or StoreOutcomeUnknown.

    `StoreRejected` is a kind of StoreRefused.

    Attributes
    ----------
    max_row_bytes : int
        Largest size of a row's value, in bytes. The store refuses a transaction with a
        larger one.
    """

    max_row_bytes: int

    async def transact(self, transaction: Transaction) -> int:
        """Apply a transaction and return its version; raises RowVersionConflict."""
        ...

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows of a part, in the order of keys.

        Parameters
        ----------
        table, part : str
            Table and part that are read.
        first, end : str
            First key, and key before which the rows end; an empty ``end`` stands
            for the end of the part.
        limit : int
            Maximum number of rows.
        """
        ...

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the changes of a table, or wait until there are some.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Version after which changes are returned.
        wait_s : float
            Maximum seconds to wait; then a page without rows is returned.

        Raises
        ------
        HistoryTruncated
            If the store no longer has all changes after the version.
        """
        ...


async def read_all(store: RowStore, table: str, parts: Sequence[str]) -> RowPage:
    """Return all rows of some parts, which are read concurrently.

    A feed from the returned version on contains every later change of these parts.
    """
    page_by_part: dict[str, RowPage] = {}
    errors: list[Exception] = []

    async def read(part: str) -> None:
        try:
            page_by_part[part] = await _read_part(store, table, part)
        except (StoreRefused, StoreOutcomeUnknown) as error:
            errors.append(error)

    async with anyio.create_task_group() as tasks:
        for part in parts:
            tasks.start_soon(read, part)
    if errors:
        raise errors[0]
    rows = []
    for part in parts:
        rows.extend(page_by_part[part].rows)
    return RowPage(rows, False, min(p.version for p in page_by_part.values()))


async def _read_part(store: RowStore, table: str, part: str) -> RowPage:
    """Return all rows of a part, with the version of the first page."""
    page = await store.read(table, part)
    rows = list(page.rows)
    version = page.version
    while page.more:
        page = await store.read(table, part, first=rows[-1].id.key + "\0")
        rows.extend(page.rows)
    return RowPage(rows, False, version)
