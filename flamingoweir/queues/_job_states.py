"""States of jobs, and the customers whose jobs they are, as the store has them."""

import contextlib
from dataclasses import dataclass

from ..errors import ErrorCode, FlamingoweirError, Verdict, outcome_unknown_error
from ..jobs import FINAL_STATES, JobSpec, JobState, decode_customer, decode_state
from ..logs import get_logger
from ..ownership import job_row, shard_name, state_row
from ..storage import VersionedRow
from ._store_calls import StoreCalls

log = get_logger()

#: Number of final job states that are cached; the oldest is dropped first.
MAX_CACHED_STATES = 20_000


@dataclass(frozen=True, slots=True)
class StoredState:
    """State of a job in the store.

    Attributes
    ----------
    state : JobState
        State of the job.
    customer : str or None
        Name of the job's customer, empty if it has none; None if the state row does
        not say, as one of an earlier build.
    """

    state: JobState
    customer: str | None


class JobStates:
    """Reads the states of jobs, and caches those that are final.

    Parameters
    ----------
    calls : StoreCalls
        Calls to the store.
    """

    def __init__(self, calls: StoreCalls):
        self._calls = calls
        self._final_state_by_job: dict[str, StoredState] = {}

    def is_cached(self, job_id: str) -> bool:
        """Return whether the final state of a job is known without the store."""
        return job_id in self._final_state_by_job

    async def read(self, job_id: str, until_s: float) -> StoredState | None:
        """Return the state of a job, or None if it has no state row."""
        final_state = self._final_state_by_job.get(job_id)
        if final_state is not None:
            return final_state
        row = await self._calls.read_row(state_row(shard_name(0), job_id), until_s)
        if row is None:
            return None
        stored = _decode(job_id, row)
        if stored.state in FINAL_STATES:
            self._cache(job_id, stored)
        return stored

    async def may_access(
        self,
        job_id: str,
        stored: StoredState,
        customer: str | None,
        until_s: float,
    ) -> bool:
        """Return whether a customer may access a job; see `may_access`.

        The job row is read if the state row does not name the job's customer. If there
        is no job row either, its retention has ended, and nobody may access the job.
        """
        owner = stored.customer
        if owner is None and customer is not None:
            row = await self._calls.read_row(job_row(shard_name(0), job_id), until_s)
            if row is None:
                return False
            owner = _read_customer(row)
            if stored.state in FINAL_STATES:
                self._cache(job_id, StoredState(stored.state, owner))
        return may_access(job_id, owner or "", customer)

    async def require_same_customer(
        self, spec: JobSpec, stored: VersionedRow | None, until_s: float
    ) -> None:
        """Check that a stored job with a submitted id is of the same customer.

        A stored job without a customer counts as the same one's: it may have been
        accepted before its queue needed keys. One that can't be read does, too: it
        never runs, under no customer.

        Parameters
        ----------
        spec : JobSpec
            The submitted job.
        stored : VersionedRow or None
            The row of the stored job; None, or a row without a value, if the store has
            only said that there is one.
        until_s : float
            Time on the instance's clock at which reads of the store end.

        Raises
        ------
        FlamingoweirError
            With code CONFLICT if the job is another customer's, or OUTCOME_UNKNOWN if
            that can't be read.
        """
        if spec.customer and (stored is None or not stored.value):
            row = job_row(shard_name(0), spec.id)
            try:
                stored = await self._calls.read_row(row, until_s)
            except FlamingoweirError as error:
                # The stored job may run, and may be this customer's.
                raise outcome_unknown_error() from error
        owner = ""
        if stored is not None and stored.value:
            with contextlib.suppress(ValueError):
                owner = decode_customer(stored.value)
        if not owner or owner == spec.customer:
            return
        log.info(
            "job_id_taken",
            job=spec.id,
            queue=spec.queue,
            customer=spec.customer,
            owner=owner,
        )
        raise FlamingoweirError(
            ErrorCode.CONFLICT,
            f"job id {spec.id} is in use; submit the job under another id",
            # The submitter of a request without a key may be that customer.
            Verdict.NOT_RUN if spec.customer else Verdict.MAY_HAVE_RUN,
        )

    async def has_ended(
        self, job_id: str, customer: str | None, until_s: float
    ) -> bool:
        """Return whether a job without a job row has ended, for one of its customer's.

        Its rows are about to be deleted.
        """
        row = await self._calls.read_row(state_row(shard_name(0), job_id), until_s)
        if row is None or customer is None:
            return row is not None
        owner = _decode(job_id, row).customer
        return owner is not None and may_access(job_id, owner, customer)

    def _cache(self, job_id: str, stored: StoredState) -> None:
        self._final_state_by_job[job_id] = stored
        if len(self._final_state_by_job) > MAX_CACHED_STATES:
            del self._final_state_by_job[next(iter(self._final_state_by_job))]


def may_access(job_id: str, owner: str, customer: str | None) -> bool:
    """Return whether a customer may read and cancel a job.

    Parameters
    ----------
    job_id : str
        Id of the job.
    owner : str
        Name of the job's customer; empty if it has none, so that anyone may access it.
    customer : str or None
        Name of the customer who asks, empty if unknown; None if customers are not in
        use.
    """
    if customer is None or not owner or owner == customer:
        return True
    log.info("job_hidden", job=job_id, customer=customer, owner=owner)
    return False


def may_access_row(row: VersionedRow, customer: str | None) -> bool:
    """Return whether a customer may access the job of a job row; see `may_access`.

    Raises
    ------
    FlamingoweirError
        With code INTERNAL if the row can't be read.
    """
    return customer is None or may_access(row.id.key, _read_customer(row), customer)


def _read_customer(row: VersionedRow) -> str:
    try:
        return decode_customer(row.value or b"")
    except ValueError as error:
        raise _unreadable_error("job", row.id.key, error) from error


def _decode(job_id: str, row: VersionedRow) -> StoredState:
    try:
        record = decode_state(job_id, row.value or b"")
    except ValueError as error:
        raise _unreadable_error("state", job_id, error) from error
    return StoredState(record.state, record.customer)


def _unreadable_error(kind: str, job_id: str, error: ValueError) -> FlamingoweirError:
    log.error(f"{kind}_unreadable", job=job_id, detail=str(error))
    return FlamingoweirError(
        ErrorCode.INTERNAL,
        f"the stored {kind} of job {job_id} can't be read; ask the operators of this "
        "instance",
    )
