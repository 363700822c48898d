"""Transactions whose answer may be lost."""

from collections.abc import Sequence

import anyio

from ._protocols import (
    Precondition,
    PreconditionFailed,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)

RETRY_PAUSE_S = 0.1


async def commit_once(
    table: Table,
    preconditions: Sequence[Precondition],
    writes: Sequence[Write],
    marker: Write,
    tries: int,
) -> int:
    """Apply a transaction and find out whether it took effect.

    A lost answer is settled by trying the same transaction again: if the first
    try took effect, the second fails its preconditions and the marker row shows
    who wrote it. The preconditions must therefore include one that the
    transaction itself breaks.

    Parameters
    ----------
    table : Table
        The table service.
    preconditions, writes : sequence
        The transaction.
    marker : Write
        One of ``writes`` whose value no other transaction writes.
    tries : int
        How often the transaction is sent at the most.

    Returns
    -------
    int
        The version of the rows written.

    Raises
    ------
    PreconditionFailed
        If it did not take effect and never will.
    TableUnavailable
        If it was never sent.
    TransactionUnknown
        If all tries were used up and it may have taken effect.
    """
    sent = False
    for _ in range(tries):
        try:
            return await table.transact(preconditions, writes)
        except TransactionUnknown:
            sent = True
        except TableUnavailable:
            pass
        except PreconditionFailed:
            if not sent:
                raise
            try:
                row = await table.get(marker.key)
            except TableUnavailable:
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if row is not None and row.value == marker.value:
                return row.version
            raise
        await anyio.sleep(RETRY_PAUSE_S)
    if sent:
        raise TransactionUnknown
    raise TableUnavailable
