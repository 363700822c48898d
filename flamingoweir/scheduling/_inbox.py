"""Inbox of a shard: rows with jobs, cancellations and tasks from other shards."""

from dataclasses import dataclass

from ..storage import Row, Table, TableUnavailable
from ._context import OwnerContext
from ._events import (
    Event,
    JobCancelled,
    TasksAdded,
    TasksRestored,
    decode_events,
)
from ._keys import cancel_key, inbox_prefix

PAGE_ROWS = 100


@dataclass(frozen=True, slots=True)
class InboxItem:
    """A row of the inbox and the events to apply for it."""

    row: Row
    events: list[Event]


class Inbox:
    """Reads a shard's inbox once in every polling period, and after `nudge`."""

    def __init__(self, context: OwnerContext):
        self._context = context
        self._next_read_s = float("-inf")

    def nudge(self) -> None:
        """Request that the inbox be read in the next tick."""
        self._next_read_s = float("-inf")

    async def read(self) -> list[InboxItem]:
        """Return new items; none if no read is due or the store is unavailable."""
        now_s = self._context.clock.now()
        if now_s < self._next_read_s:
            return []
        self._next_read_s = now_s + self._context.timings.poll_s
        table = self._context.table
        items = []
        try:
            rows = await table.scan(inbox_prefix(self._context.shard), "", PAGE_ROWS)
            for row in rows:
                items.append(InboxItem(row, await _read_events(table, row)))
        except TableUnavailable:
            return []
        if len(rows) == PAGE_ROWS:
            self.nudge()
        return items


async def _read_events(table: Table, row: Row) -> list[Event]:
    """Return a row's events, and a cancellation for each of its cancelled jobs."""
    events = decode_events(row.value)
    cancelled = set()
    for event in events:
        if not isinstance(event, TasksAdded | TasksRestored):
            continue
        if await table.get(cancel_key(event.spec.id)) is not None:
            cancelled.add(event.spec.id)
    for name in sorted(cancelled):
        events.append(JobCancelled(name))
    return events
