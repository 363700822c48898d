"""Requests of job submitters: submit a job, look up its state, cancel it."""

import contextlib
import functools
import random
import time
from collections.abc import Callable

from ..clock import Clock
from ..customers import CustomerLimit
from ..errors import (
    ErrorCode,
    FlamingoweirError,
    outcome_unknown_error,
)
from ..jobs import (
    JobSpec,
    JobState,
    QueuePolicy,
    decode_spec,
    encode_spec,
    find_invalid_dependency,
)
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import Backlog, cancel_row, early_cancel_row, job_row, shard_name
from ..registry import OperatorView, Queue
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    Transaction,
)
from ._authentication import Authentication
from ._cap_check import find_cap_error
from ._customer_gate import CustomerGate
from ._early_cancellations import EarlyCancellations, is_present
from ._job_states import JobStates, may_access_row
from ._pending_submissions import PendingSubmissions
from ._store_calls import StoreCalls
from ._store_monitor import StoreMonitor
from ._unknown_outcomes import UnknownOutcomes

log = get_logger()

#: Largest age of a reported number of waiting jobs, in seconds.
MAX_BACKLOG_AGE_S = 1.9
#: Seconds after which a client may repeat a request that came before this instance
#: had the data to serve it.
RETRY_AFTER_S = 1.0
#: Seconds after which a client may repeat a request that was refused because the owner
#: can hold no such job.
FULL_RETRY_AFTER_S = 5.0
#: Longest read of the store before a submission is refused for memory, in seconds. A
#: slow store answers within 0.4 s.
REFUSAL_READ_S = 0.45
#: Largest number of tasks of an occurrence of a job.
MAX_TASKS = 100_000
#: Largest number of steps of a job. An owner creates the state of all in one go.
MAX_STEPS = 5_000
#: Id of the job whose row is read to see whether the store responds.
PROBE_JOB_ID = 16 * "0"


class SubmissionHandler:
    """Handle the requests of job submitters.

    Every instance has a handler, and each of them can serve every request.

    Parameters
    ----------
    store : RowStore
        Store of the jobs and their states.
    operators : OperatorView
        View of the operators' configuration, which names the queues.
    backlog : callable
        Takes a largest age in seconds. Returns the `Backlog` that the shard's owner
        last published, or None if there is none or it is older.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of the jitter of retry pauses.
    metrics : Metrics
        Receives counters.
    max_job_bytes : callable, optional
        Returns the largest `JobSpec.memory_bytes` of a job that the shard's owner can
        hold; None for any.
    authentication : Authentication, optional
        Checks the keys of requests. By default, no request is served that needs a key.
    memory_mb : float, optional
        Memory of this instance in megabytes.
    wall_ms : callable, optional
        Returns the wall-clock time in milliseconds since 1970.

    Attributes
    ----------
    store_monitor : StoreMonitor
        Knows whether the store is unavailable.
    """

    def __init__(
        self,
        store: RowStore,
        operators: OperatorView,
        backlog: Callable[[float], Backlog | None],
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        max_job_bytes: Callable[[], int | None] = lambda: None,
        authentication: Authentication | None = None,
        memory_mb: float = 300.0,
        wall_ms: Callable[[], float] = lambda: 1000 * time.time(),
    ):
        self.authentication = authentication or Authentication(
            operators, lambda: float("-inf"), clock, metrics
        )
        self._max_job_bytes = max_job_bytes
        self._max_row_bytes = store.max_row_bytes
        self.store_monitor = StoreMonitor(
            store, job_row(shard_name(0), PROBE_JOB_ID), clock, generator, metrics
        )
        self._calls = StoreCalls(store, clock, generator, metrics, self.store_monitor)
        self._job_states = JobStates(self._calls)
        self._early_cancellations = EarlyCancellations(
            self._calls, clock, wall_ms, generator, metrics
        )
        self._customer_gate = CustomerGate(backlog, operators, generator, metrics)
        self._operators = operators
        self._backlog = backlog
        self._clock = clock
        self._metrics = metrics
        self._unknown_outcomes = UnknownOutcomes()
        self._pending = PendingSubmissions(memory_mb, generator, metrics)

    @property
    def max_body_bytes(self) -> int:
        """Largest accepted request body, in bytes."""
        return self._operators.configuration.max_body_bytes

    def find_queue(self, host: str, path: str) -> Queue:
        """Return the queue that a request addresses.

        Parameters
        ----------
        host : str
            Host header of the request, without the port.
        path : str
            Path of the request.

        Raises
        ------
        FlamingoweirError
            With code NOT_READY before the configuration has been read, or
            NOT_FOUND if no queue matches.
        """
        configuration = self._operators.configuration
        if configuration is None:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                "this instance has not read its configuration yet; nothing was done, "
                "try again later",
                retry_after_s=RETRY_AFTER_S,
            )
        queue = configuration.find_queue(host, path)
        if queue is None:
            raise FlamingoweirError(
                ErrorCode.NOT_FOUND,
                f"no queue is configured for path {path!r} of host {host!r}; "
                "use the host and path prefix of a queue",
            )
        return queue

    async def has_room_for(
        self, job_id: str, queue: Queue, customer: str | None, timeout_s: float
    ) -> bool:
        """Return whether a received job is to be decoded and submitted.

        Parameters
        ----------
        job_id : str
            Id of the job.
        queue : Queue
            The queue that was addressed.
        customer : str or None
            Who asks; see `Authentication.find_customer`.
        timeout_s : float
            Seconds that the submitter waits.

        Returns
        -------
        bool
            False if there is no room, and the job was accepted before.

        Raises
        ------
        FlamingoweirError
            If there is no room. The verdict is NOT_RUN only if nothing of an earlier
            request for the job was sent by this instance.
        """
        if self._pending.has_room:
            return True
        self._pending.record_not_decoded(job_id, queue.name)
        if job_id in self._unknown_outcomes:
            raise outcome_unknown_error()
        self.store_monitor.check_available(queue.policy)
        spec = JobSpec(
            job_id, queue.name, "", (), queue.policy, customer=customer or ""
        )
        until_s = self._clock.now() + min(timeout_s, REFUSAL_READ_S)
        row = job_row(shard_name(0), job_id)
        await self._refuse_unless_stored(spec, row, until_s, self._pending.refuse)
        return False

    async def submit(self, spec: JobSpec, timeout_s: float) -> None:
        """Store a job durably; the job is accepted once this returns.

        A job whose id is already stored counts as accepted and is not stored again.

        Parameters
        ----------
        spec : JobSpec
            The job.
        timeout_s : float
            Seconds that the submitter waits.

        Raises
        ------
        FlamingoweirError
            If the job is invalid or the store does not confirm it in time. The
            verdict is NOT_RUN only if the job is not stored and never will be.
        """
        self._validate(spec)
        if spec.policy.objective_s <= 0:
            await self._store(spec, timeout_s)
            return
        self.store_monitor.check_available(
            spec.policy, is_repeat=spec.id in self._unknown_outcomes
        )
        with self._unknown_outcomes.track(spec.id):
            await self._store(spec, timeout_s)

    async def _store(self, spec: JobSpec, timeout_s: float) -> None:
        """Store a valid job, or refuse it; see `submit`."""
        until_s = self._clock.now() + timeout_s
        spec, limit = self._customer_gate.check(spec)
        value = _encode_exactly(spec, self._max_row_bytes)
        if len(value) > self._max_row_bytes:
            self._metrics.incr("jobs_refused_size")
            raise FlamingoweirError(
                ErrorCode.BODY_TOO_LARGE,
                f"job {spec.id} takes {len(value)} bytes in the store when compressed; "
                f"at most {self._max_row_bytes} fit; shorten it, or submit it in parts",
            )
        with self._pending.hold(value):
            await self._store_encoded(spec, value, limit, until_s)

    async def _store_encoded(
        self, spec: JobSpec, value: bytes, limit: CustomerLimit | None, until_s: float
    ) -> None:
        row = job_row(shard_name(0), spec.id)
        max_bytes = self._max_job_bytes()
        if max_bytes is not None and spec.memory_bytes > max_bytes:
            await self._refuse_unless_stored(spec, row, until_s, self._refuse_full)
            return
        cap_error = find_cap_error(spec, self._operators.configuration)
        if cap_error is not None:
            refuse = functools.partial(self._refuse_cap, error=cap_error)
            await self._refuse_unless_stored(spec, row, until_s, refuse)
            return
        if limit is not None:
            refuse = functools.partial(self._customer_gate.refuse, limit=limit)
            await self._refuse_unless_stored(spec, row, until_s, refuse)
            return
        cancelled = early_cancel_row(shard_name(0), spec.id, spec.customer)
        transaction = Transaction([(row, 0), (cancelled, 0)], [(row, value)], ())
        try:
            timeout_s = until_s - self._clock.now()
            version = await self._calls.transact(transaction, timeout_s)
        except RowVersionConflict as conflict:
            stored = conflict.row_by_id.get(row)
            if not is_present(stored) and is_present(conflict.row_by_id.get(cancelled)):
                raise self._early_cancellations.refuse_submission(spec) from conflict
            await self._job_states.require_same_customer(spec, stored, until_s)
            log.info("job_already_accepted", job=spec.id, queue=spec.queue)
            self._metrics.incr("jobs_known")
            return
        log.info(
            "job_accepted",
            job=spec.id,
            queue=spec.queue,
            customer=spec.customer,
            version=version,
        )
        self._metrics.incr("jobs_accepted")

    async def _refuse_unless_stored(
        self,
        spec: JobSpec,
        row: RowId,
        until_s: float,
        refuse: Callable[[JobSpec], FlamingoweirError],
    ) -> None:
        """Refuse a job at once, unless an earlier request for it was accepted."""
        stored = await self._calls.read_row(row, until_s)
        if stored is not None:
            await self._job_states.require_same_customer(spec, stored, until_s)
            log.info("job_already_accepted", job=spec.id, queue=spec.queue)
            return
        raise refuse(spec)

    def _refuse_full(self, spec: JobSpec) -> FlamingoweirError:
        """Return the error for a job that its owner could not hold for now."""
        self._metrics.incr("jobs_refused_full")
        return FlamingoweirError(
            ErrorCode.OVERLOADED,
            f"job {spec.id} was not accepted: the jobs that wait leave too little "
            f"memory for it; try again in {FULL_RETRY_AFTER_S:.0f} s",
            retry_after_s=FULL_RETRY_AFTER_S,
        )

    def _refuse_cap(self, spec: JobSpec, error: FlamingoweirError) -> FlamingoweirError:
        """Count the refusal of a job that its customer's cap never lets run."""
        self._metrics.incr("jobs_refused_cap")
        self._customer_gate.refusals.record(spec.customer, "cap")
        return error

    async def find_state(
        self,
        job_id: str,
        timeout_s: float,
        customer: str | None = None,
        policy: QueuePolicy | None = None,
    ) -> JobState | None:
        """Return a job's state, or None if the customer has no such job.

        Parameters
        ----------
        job_id : str
            Id of the job.
        timeout_s : float
            Seconds that all reads of the store may take together.
        customer : str or None
            Who asks; see `Authentication.find_customer`.
        policy : QueuePolicy, optional
            Policy of the queue that was addressed.

        Raises
        ------
        FlamingoweirError
            If the store can't be read in time.
        """
        if not self._job_states.is_cached(job_id):
            self.store_monitor.check_available(policy)
        until_s = self._clock.now() + timeout_s
        stored = await self._job_states.read(job_id, until_s)
        if stored is None:
            row = await self._calls.read_row(job_row(shard_name(0), job_id), until_s)
            if row is not None:
                return JobState.PENDING if may_access_row(row, customer) else None
            # The job may have ended between the two reads.
            stored = await self._job_states.read(job_id, until_s)
        if stored is None:
            return None
        if not await self._job_states.may_access(job_id, stored, customer, until_s):
            return None
        return stored.state

    async def cancel(
        self,
        job_id: str,
        timeout_s: float,
        customer: str | None = None,
        policy: QueuePolicy | None = None,
    ) -> bool:
        """Cancel a job durably, also one that is not stored yet.

        Parameters
        ----------
        job_id : str
            Id of the job.
        timeout_s : float
            Seconds that the submitter waits.
        customer : str or None
            Who asks; see `Authentication.find_customer`.
        policy : QueuePolicy, optional
            Policy of the queue that was addressed.

        Returns
        -------
        bool
            False if the customer has no such job. True also for a job that has ended
            and whose rows are still stored.

        Raises
        ------
        FlamingoweirError
            If the store can't be read, or does not confirm the cancellation in time.
        """
        self.store_monitor.check_available(policy)
        shard = shard_name(0)
        until_s = self._clock.now() + timeout_s
        while True:
            row = await self._calls.read_row(job_row(shard, job_id), until_s)
            if row is None:
                ended = await self._job_states.has_ended(job_id, customer, until_s)
                if not await self._early_cancellations.record(
                    job_id, customer or "", until_s
                ):
                    continue
                return ended
            if not may_access_row(row, customer):
                return False
            transaction = Transaction(
                [(row.id, row.version)], [(cancel_row(shard, job_id), b"{}")], ()
            )
            try:
                await self._calls.transact(transaction, until_s - self._clock.now())
            except RowVersionConflict:
                continue
            log.info("cancel_accepted", job=job_id)
            self._metrics.incr("cancels_accepted")
            return True

    def count_waiting(self, queue: Queue) -> int:
        """Return how many accepted jobs of a queue have not started a task.

        Raises
        ------
        FlamingoweirError
            With code NOT_READY if the owner has published no recent number.
        """
        backlog = self._backlog(MAX_BACKLOG_AGE_S)
        if backlog is None:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                f"the number of jobs that wait in queue {queue.name!r} is not "
                "available; try again later",
                retry_after_s=RETRY_AFTER_S,
            )
        waiting = backlog.waiting_by_queue.get(queue.name, 0)
        log.info("waiting_reported", queue=queue.name, waiting=waiting)
        return waiting

    def _validate(self, spec: JobSpec) -> None:
        if not spec.steps:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"job {spec.id} has no steps; submit at least one",
            )
        if spec.policy.advised:
            raise FlamingoweirError(
                ErrorCode.NEVER_FITS,
                f"queue {spec.queue!r} needs placement advice, which is not supported; "
                "submit the job to another queue",
            )
        tasks = sum(step.count for step in spec.steps)
        if tasks > MAX_TASKS:
            raise FlamingoweirError(
                ErrorCode.NEVER_FITS,
                f"job {spec.id} has {tasks} tasks; submit at most {MAX_TASKS} at once",
            )
        if len(spec.steps) > MAX_STEPS:
            raise FlamingoweirError(
                ErrorCode.NEVER_FITS,
                f"job {spec.id} has {len(spec.steps)} steps; submit at most "
                f"{MAX_STEPS} at once",
            )
        invalid_step = find_invalid_dependency(spec.steps)
        if invalid_step is not None:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"job {spec.id}: step {invalid_step} depends on a step that does not "
                "come before it; list every step after the steps that it depends on",
            )


def _encode_exactly(spec: JobSpec, max_bytes: int) -> bytes:
    """Return the stored form of a job, from which an owner reads the same job.

    Raises
    ------
    FlamingoweirError
        With code BAD_REQUEST if there is no such form: infinite numbers are stored as
        null, and integers of more than 64 bits can't be stored.
    """
    value, stored = b"", None
    with contextlib.suppress(TypeError, ValueError):
        value = encode_spec(spec, max_bytes)
        stored = decode_spec(value)
    if stored != spec:
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            f"job {spec.id} has a number that can't be stored; use finite numbers, and "
            "integers of at most 64 bits",
        )
    return value
