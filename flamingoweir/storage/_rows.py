"""A store of versioned rows in tables and parts, with a feed of changes."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio


class StoreRefused(Exception):
    """The store did nothing; the call may be made again.

    Parameters
    ----------
    message : str
        What the store answered.
    overloaded : bool
        Whether it turned the call away for its rate.
    """

    def __init__(self, message: str, overloaded: bool = False):
        super().__init__(message)
        self.overloaded = overloaded


class StoreOutcomeUnknown(Exception):
    """A call was sent and not answered; it may take effect, even seconds later."""


class HistoryTruncated(Exception):
    """The feed can't be resumed from there; the table has to be read whole."""


@dataclass(frozen=True, slots=True)
class RowId:
    """Names a row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row as read.

    Attributes
    ----------
    id : RowId
        Which row.
    value : bytes or None
        Its value; None if it was deleted or can't be decoded.
    version : int
        The transaction that wrote it.
    deleted : bool
        Whether it is gone.
    """

    id: RowId
    value: bytes | None
    version: int
    deleted: bool = False


class RowVersionConflict(Exception):
    """A precondition did not hold, and nothing was written.

    Parameters
    ----------
    rows : list of VersionedRow
        The rows of the preconditions as they are.
    """

    def __init__(self, rows: list[VersionedRow]):
        super().__init__("a row of the preconditions has another version")
        self.row_by_id = {row.id: row for row in rows}


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied at once, within one part.

    Attributes
    ----------
    expected : sequence of (RowId, int)
        Versions that rows must have; 0: the row must not exist.
    puts : sequence of (RowId, bytes)
        New values.
    deletes : sequence of RowId
        Rows to drop.
    """

    expected: Sequence[tuple[RowId, int]] = ()
    puts: Sequence[tuple[RowId, bytes]] = ()
    deletes: Sequence[RowId] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment.

    Attributes
    ----------
    rows : list of VersionedRow
        In the order of keys, or of changes in a feed.
    more : bool
        Whether there are more rows behind them.
    version : int
        The store's newest version.
    """

    rows: list[VersionedRow] = field(default_factory=list)
    more: bool = False
    version: int = 0


class RowStore(Protocol):
    """The store. Calls raise StoreRefused or StoreOutcomeUnknown."""

    async def transact(self, transaction: Transaction) -> int:
        """Apply a transaction; return its version, or raise RowVersionConflict."""
        ...

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with keys from ``first`` on and before ``end``."""
        ...

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes of a table after a version; may raise HistoryTruncated."""
        ...


async def read_all(store: RowStore, table: str, parts: Sequence[str]) -> RowPage:
    """Return all rows of some parts, read at once.

    The version is one from which a feed misses none of their changes.
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
    """Return all rows of a part; the version is that of the first page."""
    page = await store.read(table, part)
    rows = list(page.rows)
    version = page.version
    while page.more:
        page = await store.read(table, part, first=rows[-1].id.key + "\0")
        rows.extend(page.rows)
    return RowPage(rows, False, version)
