"""Loads accepted jobs and cancellations from the store."""

from collections.abc import Collection

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

    Attributes
    ----------
    begun_ids : collection of str
        Ids of jobs with a state in the store; they are never parked.
    """

    def __init__(self, owner_state: OwnerState, wall_ms):
        self._owner_state = owner_state
        self._fault_log = owner_state.fault_log
        self._may_park = True
        self.begun_ids: Collection[str] = ()
        self._wall_ms = wall_ms

    def apply_rows(self, rows: list[VersionedRow], is_complete: bool) -> None:
        """Apply rows; the whole table and changes to it are treated alike."""
        for row in rows:
            if row.deleted or row.value is None:
                continue
            key = row.id.key
            if key.endswith(CANCEL_SUFFIX):
                with self._fault_log.contain("cancel_failed", key=key):
                    self._owner_state.cancel_job(key.removesuffix(CANCEL_SUFFIX))
                continue
            with self._fault_log.contain("job_unreadable", job=key) as block:
                self._load_job(row)
            if block.failed:
                self._owner_state.exclude_job(key)

    def load_parked(self, rows: list[VersionedRow]) -> None:
        """Apply the rows of a job for which there is memory now."""
        self._may_park = False
        try:
            self.apply_rows(rows, False)
        finally:
            self._may_park = True

    def _load_job(self, row: VersionedRow) -> None:
        if self._owner_state.has_job(row.id.key):
            return
        spec = decode_spec(row.value)
        if spec.id != row.id.key:
            raise ValueError(f"the row holds job {spec.id!r}")
        parking = self._owner_state.parking
        load = self._owner_state.customer_load
        if self._may_park:
            is_excess = load.mark(spec, self._wall_ms())
        else:
            is_excess = load.is_excess(spec.id)
        if (
            self._may_park
            and spec.id not in self.begun_ids
            and not parking.has_room_for(spec, is_excess)
        ):
            parking.park(spec, is_excess)
            log.info("job_parked", job=spec.id, queue=spec.queue, excess=is_excess)
            return
        job = self._owner_state.add_job(spec)
        age_s = max(0.0, (self._wall_ms() - spec.accepted_ms) / 1000)
        job.accepted_s -= age_s
        log.info(
            "job_taken",
            job=spec.id,
            queue=spec.queue,
            steps=len(spec.steps),
            age_ms=round(1000 * age_s),
            excess=is_excess,
        )
