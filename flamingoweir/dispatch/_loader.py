"""Loads accepted jobs and cancellations from the store."""

from ..jobs import decode_spec
from ..logs import get_logger
from ..ownership import CANCEL_SUFFIX
from ..storage import VersionedRow
from ._owner_state import OwnerState

log = get_logger()


class JobLoader:
    """Applies rows of the job table to the owner's state.

    Parameters
    ----------
    owner_state : OwnerState
        Receives the jobs.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.
    """

    def __init__(self, owner_state: OwnerState, wall_ms):
        self._owner_state = owner_state
        self._wall_ms = wall_ms

    def apply_rows(self, rows: list[VersionedRow], is_complete: bool) -> None:
        """Apply rows; the whole table and changes to it are treated alike."""
        for row in rows:
            if row.deleted or row.value is None:
                continue
            if row.id.key.endswith(CANCEL_SUFFIX):
                self._owner_state.cancel_job(row.id.key.removesuffix(CANCEL_SUFFIX))
                continue
            self._load_job(row)

    def _load_job(self, row: VersionedRow) -> None:
        if self._owner_state.has_job(row.id.key):
            return
        try:
            spec = decode_spec(row.value)
            job = self._owner_state.add_job(spec)
        except Exception as error:
            # Each later owner reads this row too. If it ended their terms, no job at
            # all would run.
            log.error("job_unreadable", job=row.id.key, detail=repr(error))
            self._owner_state.exclude_job(row.id.key)
            return
        if job is None:
            return
        age_s = max(0.0, (self._wall_ms() - spec.accepted_ms) / 1000)
        job.accepted_s -= age_s
        log.info(
            "job_taken",
            job=spec.id,
            queue=spec.queue,
            steps=len(spec.steps),
            age_ms=round(1000 * age_s),
        )
