"""The rows of a job's tasks that are in the store."""

from ..jobs import IndexSet


class StoredRows:
    """Rows of tasks by occurrence, each with its step and number."""

    def __init__(self) -> None:
        self._rows_by_occurrence: dict[int, set[tuple[int, int]]] = {}

    def add(self, row: tuple[int, int, int]) -> None:
        """Record a row, given by occurrence, step and number."""
        occurrence, step, number = row
        self._rows_by_occurrence.setdefault(occurrence, set()).add((step, number))

    def is_latest(self, occurrence: int) -> bool:
        """Return whether no later occurrence has a row."""
        return occurrence >= max(self._rows_by_occurrence, default=0)

    def take_closed(self, closed: IndexSet) -> list[tuple[int, int, int]]:
        """Remove and return the rows of closed occurrences, except the latest.

        Former builds know no closed occurrences: they continue after the latest one
        that has a row, and would start over without any.
        """
        latest = max(self._rows_by_occurrence, default=0)
        taken = []
        for occurrence in list(self._rows_by_occurrence):
            if occurrence < latest and occurrence in closed:
                taken += self._take(occurrence)
        return taken

    def take_all(self) -> list[tuple[int, int, int]]:
        """Remove and return all rows."""
        taken = []
        for occurrence in list(self._rows_by_occurrence):
            taken += self._take(occurrence)
        return taken

    def _take(self, occurrence: int) -> list[tuple[int, int, int]]:
        rows = self._rows_by_occurrence.pop(occurrence)
        return [(occurrence, step, number) for step, number in rows]
