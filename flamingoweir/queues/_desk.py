"""What submitters ask of an instance: take a job, tell its state, cancel it."""

import random
from collections.abc import Callable

import anyio

from ..clock import Clock
from ..errors import (
    ErrorCode,
    FlamingoweirError,
    outcome_unknown_error,
    store_unavailable_error,
)
from ..jobs import (
    FINAL_STATES,
    JobSpec,
    JobState,
    decode_state,
    encode_spec,
    find_invalid_dependency,
)
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import Backlog, cancel_row, job_row, shard_name, state_row
from ..registry import OperatorView, Queue
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    Transaction,
    VersionedRow,
)

log = get_logger()

#: Seconds between tries while the store does not answer.
RETRY_PAUSE_S = 0.1
#: Seconds that a call to the store is given at least; a calm store takes 5 ms.
MIN_TRY_S = 0.05
#: Oldest count of waiting jobs that is told, in seconds.
MAX_COUNT_AGE_S = 1.9
#: Seconds after which a submitter whose job could not be stored may try again.
RETRY_AFTER_S = 1.0
#: Final states that are remembered.
REMEMBERED_STATES = 20_000


class SubmissionHandler:
    """Serves submitters; equal on every instance.

    Parameters
    ----------
    store : RowStore
        The store.
    operators : OperatorView
        The queues.
    backlog : callable
        What the owner last published, unless it is older than the given seconds.
    clock : Clock
        This instance's clock.
    wall_ms : callable
        Milliseconds since 1970.
    generator : random.Random
        For pauses.
    metrics : Metrics
        Where counts go.
    """

    def __init__(
        self,
        store: RowStore,
        operators: OperatorView,
        backlog: Callable[[float], Backlog | None],
        clock: Clock,
        wall_ms: Callable[[], float],
        generator: random.Random,
        metrics: Metrics,
    ):
        self._store = store
        self._operators = operators
        self._backlog = backlog
        self._clock = clock
        self._wall_ms = wall_ms
        self._generator = generator
        self._metrics = metrics
        self._final_by_job: dict[str, JobState] = {}

    @property
    def max_body_bytes(self) -> int:
        """Largest request body that is taken."""
        return self._operators.configuration.max_body_bytes

    def find_queue(self, host: str, path: str) -> Queue:
        """Return the queue that a request is for; raises FlamingoweirError."""
        configuration = self._operators.configuration
        if configuration is None:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                "this instance has not read its configuration yet; nothing was done",
                retry_after_s=RETRY_AFTER_S,
            )
        queue = configuration.find_queue(host, path)
        if queue is None:
            raise FlamingoweirError(
                ErrorCode.NOT_FOUND, f"no queue takes {path!r} of host {host!r}"
            )
        return queue

    async def submit(self, spec: JobSpec, timeout_s: float) -> None:
        """Store a job; once this returns it is accepted.

        Parameters
        ----------
        spec : JobSpec
            The job; the same id again is the same job.
        timeout_s : float
            Seconds that the submitter waits.

        Raises
        ------
        FlamingoweirError
            With verdict NOT_RUN only if the job is not stored and never will be.
        """
        self._check(spec)
        shard = shard_name(0)
        row = job_row(shard, spec.id)
        transaction = Transaction([(row, 0)], [(row, encode_spec(spec))], ())
        try:
            version = await self._transact(transaction, timeout_s)
        except RowVersionConflict:
            log.info("job_known", job=spec.id, queue=spec.queue)
            self._metrics.incr("jobs_known")
            return
        log.info("job_accepted", job=spec.id, queue=spec.queue, version=version)
        self._metrics.incr("jobs_accepted")

    async def find_state(self, job_id: str, timeout_s: float) -> JobState | None:
        """Return a job's state, or None if it was never accepted."""
        known = self._final_by_job.get(job_id)
        if known is not None:
            return known
        shard = shard_name(0)
        found = await self._read_state(shard, job_id, timeout_s)
        if found is not None:
            return found
        if await self._read_row(job_row(shard, job_id), timeout_s) is not None:
            return JobState.PENDING
        # It may have ended between the two reads.
        return await self._read_state(shard, job_id, timeout_s)

    async def cancel(self, job_id: str, timeout_s: float) -> bool:
        """Cancel a job durably; return False if it was never accepted."""
        shard = shard_name(0)
        started_s = self._clock.now()
        while True:
            left_s = timeout_s - (self._clock.now() - started_s)
            row = await self._read_row(job_row(shard, job_id), left_s)
            if row is None:
                return await self._read_state(shard, job_id, left_s) is not None
            transaction = Transaction(
                [(row.id, row.version)], [(cancel_row(shard, job_id), b"{}")], ()
            )
            try:
                await self._transact(transaction, left_s)
            except RowVersionConflict:
                continue
            log.info("cancel_accepted", job=job_id)
            self._metrics.incr("cancels_accepted")
            return True

    def count_waiting(self, queue: Queue) -> int:
        """Return how many accepted jobs of a queue have not begun."""
        backlog = self._backlog(MAX_COUNT_AGE_S)
        if backlog is None:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                f"the count of queue {queue.name!r} is not known just now",
                retry_after_s=RETRY_AFTER_S,
            )
        return backlog.waiting_by_queue.get(queue.name, 0)

    def _check(self, spec: JobSpec) -> None:
        if not spec.steps:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST, f"job {spec.id} has no steps"
            )
        if spec.policy.advised:
            raise FlamingoweirError(
                ErrorCode.NEVER_FITS,
                f"queue {spec.queue!r} needs placement advice, which is not supported",
            )
        broken = find_invalid_dependency(spec.steps)
        if broken is not None:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"job {spec.id}: step {broken} waits for a step that is not before it",
            )

    async def _transact(self, transaction: Transaction, timeout_s: float) -> int:
        """Apply a transaction; tried again until it is known what came of it."""
        started_s = self._clock.now()
        unsure = False
        while True:
            left_s = timeout_s - (self._clock.now() - started_s)
            try:
                with anyio.fail_after(max(MIN_TRY_S, left_s)):
                    return await self._store.transact(transaction)
            except TimeoutError:
                unsure = True
                detail = "no answer within the submitter's patience"
            except StoreOutcomeUnknown as error:
                unsure = True
                self._metrics.incr("store_silent")
                detail = str(error)
            except StoreRefused as error:
                self._metrics.incr("store_refused")
                detail = str(error)
            if self._clock.now() - started_s + RETRY_PAUSE_S >= timeout_s:
                log.warning("store_gave_no_answer", unsure=unsure, detail=detail)
                raise outcome_unknown_error() if unsure else store_unavailable_error()
            await anyio.sleep(RETRY_PAUSE_S * self._generator.uniform(0.5, 1.5))

    async def _read_row(self, row: RowId, timeout_s: float) -> VersionedRow | None:
        started_s = self._clock.now()
        while True:
            try:
                page = await self._store.read(
                    row.table, row.part, row.key, row.key + "\0", 1
                )
                return page.rows[0] if page.rows else None
            except (StoreRefused, StoreOutcomeUnknown) as error:
                detail = str(error)
            if self._clock.now() - started_s + RETRY_PAUSE_S >= timeout_s:
                log.warning("store_gave_no_answer", row=row.key, detail=detail)
                raise store_unavailable_error()
            await anyio.sleep(RETRY_PAUSE_S * self._generator.uniform(0.5, 1.5))

    async def _read_state(
        self, shard: str, job_id: str, timeout_s: float
    ) -> JobState | None:
        row = await self._read_row(state_row(shard, job_id), timeout_s)
        if row is None or row.value is None:
            return None
        state, _ = decode_state(row.value)
        if state in FINAL_STATES:
            self._remember(job_id, state)
        return state

    def _remember(self, job_id: str, state: JobState) -> None:
        self._final_by_job[job_id] = state
        if len(self._final_by_job) > REMEMBERED_STATES:
            del self._final_by_job[next(iter(self._final_by_job))]
