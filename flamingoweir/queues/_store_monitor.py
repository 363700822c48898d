"""Refuses submitters' calls at once while the store is unavailable."""

import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..faults import FaultLog
from ..jobs import QueuePolicy
from ..logs import get_logger
from ..metrics import Metrics
from ..policy import StoreAvailability
from ..storage import (
    RowId,
    RowStore,
    RowVersionConflict,
    StoreOutcomeUnknown,
    StoreRefused,
    StoreRejected,
)
from ..wakeup import Wakeup

log = get_logger()

Result = TypeVar("Result")

#: Seconds between reviews of pending calls.
REVIEW_INTERVAL_S = 0.05
#: Delay of a review in seconds from which the event loop counts as having been paused,
#: so that responses may have arrived that were not received yet.
MIN_PAUSE_S = 0.2
#: Timeout of a check read or probe in seconds; not below that of an ordinary call
#: (0.7 s). A store that is behind still works on a read that was given up.
PROBE_TIMEOUT_S = 0.75
#: Range of the delay from the first doubt until a check read, in seconds; random, as
#: all instances see the same hiccup of the store.
CHECK_DELAY_S = (0.0, 0.3)
#: Range of the time between check reads, in seconds.
CHECK_INTERVAL_S = (0.5, 0.8)
#: Time in seconds from sending the first probe of an unavailable store to sending the
#: next one; with the jitter, an instance refuses calls for up to 0.5 s after a return
#: within the first two probes.
MIN_PROBE_INTERVAL_S = 0.3
#: Longest such time in seconds. 100 instances then send 100 probes a second.
MAX_PROBE_INTERVAL_S = 1.0
#: Factor by which the time grows from probe to probe.
PROBE_INTERVAL_GROWTH = 1.4
#: Range of the random factor of the time between probes.
PROBE_JITTER = (0.8, 1.2)
#: Range of Retry-After, in seconds; random, so that submitters don't return together.
RETRY_AFTER_S = (1.0, 3.0)
#: Seconds that the watching task waits when there is nothing to watch.
IDLE_WAIT_S = 60.0


class StoreMonitor:
    """Observe calls to the store, and decide whether new ones are sent.

    Parameters
    ----------
    store : RowStore
        The store, which is probed while it is unavailable.
    probe_row : RowId
        Row that probes and checks read; it need not exist.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of jitter.
    metrics : Metrics
        Receives counters.
    """

    def __init__(
        self,
        store: RowStore,
        probe_row: RowId,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ):
        self._store = store
        self._probe_row = probe_row
        self._clock = clock
        self._generator = generator
        self._metrics = metrics
        self._fault_log = FaultLog(metrics, clock)
        self._availability = StoreAvailability()
        self._unavailable_since_s: float | None = None
        self._in_doubt = False
        self._next_read_s = float("-inf")
        self._probe_interval_s = MIN_PROBE_INTERVAL_S
        self._wakeup = Wakeup()

    def check_available(
        self, policy: QueuePolicy | None, is_repeat: bool = False
    ) -> None:
        """Refuse a submitter's call before anything of it is sent.

        Parameters
        ----------
        policy : QueuePolicy or None
            Policy of the queue that is addressed. Calls for queues without an objective
            are always sent.
        is_repeat : bool, optional
            Whether an earlier call may have stored the job. Such a call is sent, as
            "not run" may be wrong.

        Raises
        ------
        FlamingoweirError
            With code STORE_UNAVAILABLE if the store is unavailable.
        """
        if policy is None or policy.objective_s <= 0:
            return
        self._wakeup.set()
        if not self._availability.unavailable:
            return
        now_s = self._clock.now()
        log.info(
            "repeat_sent" if is_repeat else "call_not_sent",
            unavailable_s=round(now_s - self._unavailable_since_s, 3),
            response_age_s=self._response_age_s(now_s),
        )
        if is_repeat:
            return
        self._metrics.incr("store_unavailable_refused")
        raise FlamingoweirError(
            ErrorCode.STORE_UNAVAILABLE,
            "the store does not respond to this instance; nothing was sent to it, try "
            "again later or on another instance",
            retry_after_s=self._generator.uniform(*RETRY_AFTER_S),
        )

    async def call(self, send: Callable[[], Awaitable[Result]]) -> Result:
        """Make a call to the store, and record whether it is answered."""
        call = self._availability.begin_call(self._clock.now())
        try:
            result = await send()
        except RowVersionConflict:
            self._record_response(call)
            raise
        except StoreRefused as error:
            # So says a store in service: beyond the rate limit, or not acceptable.
            if error.overloaded or isinstance(error, StoreRejected):
                self._record_response(call)
            else:
                self._availability.record_failure(call)
            raise
        except StoreOutcomeUnknown:
            self._availability.record_failure(call)
            raise
        except BaseException:
            self._availability.record_timeout(call, self._clock.now())
            raise
        self._record_response(call)
        return result

    def record_feed_call(self, sent_s: float, answered: bool) -> None:
        """Record the end of a call of the operators' table's feed."""
        call = self._availability.begin_call(sent_s)
        if answered:
            self._record_response(call)
        else:
            self._availability.record_failure(call)

    async def run(self) -> None:
        """Review pending calls and probe the store until cancelled.

        This takes effect from the first call for a queue with an objective.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                if not await self._wakeup.wait(IDLE_WAIT_S):
                    continue
                while self._availability.has_evidence:
                    due_s = self._clock.now() + REVIEW_INTERVAL_S
                    await anyio.sleep(REVIEW_INTERVAL_S)
                    with self._fault_log.contain("store_review_failed"):
                        self._record_pause(due_s)
                        if self._review():
                            tasks.start_soon(self._read)

    def _review(self) -> bool:
        """Review the evidence; return whether a read is to be sent now."""
        now_s = self._clock.now()
        if self._availability.unavailable:
            return self._is_probe_due(now_s)
        in_doubt = self._availability.review(now_s)
        if self._availability.unavailable:
            self._in_doubt = False
            self._unavailable_since_s = now_s
            self._probe_interval_s = MIN_PROBE_INTERVAL_S
            self._next_read_s = now_s + self._generator.uniform(0, MIN_PROBE_INTERVAL_S)
            self._metrics.incr("store_unavailable")
            log.warning(
                "store_unavailable",
                failed_calls=self._availability.failed_calls,
                response_age_s=self._response_age_s(now_s),
            )
            return False
        if in_doubt and not self._in_doubt:
            due_s = now_s + self._generator.uniform(*CHECK_DELAY_S)
            self._next_read_s = max(self._next_read_s, due_s)
        self._in_doubt = in_doubt
        if not in_doubt or now_s < self._next_read_s:
            return False
        self._next_read_s = now_s + self._generator.uniform(*CHECK_INTERVAL_S)
        log.info(
            "store_checked",
            failed_calls=self._availability.failed_calls,
            response_age_s=self._response_age_s(now_s),
        )
        return True

    def _is_probe_due(self, now_s: float) -> bool:
        if now_s < self._next_read_s:
            return False
        jitter = self._generator.uniform(*PROBE_JITTER)
        self._next_read_s = now_s + self._probe_interval_s * jitter
        self._probe_interval_s = min(
            MAX_PROBE_INTERVAL_S, self._probe_interval_s * PROBE_INTERVAL_GROWTH
        )
        return True

    def _record_pause(self, due_s: float) -> None:
        now_s = self._clock.now()
        if now_s - due_s >= MIN_PAUSE_S:
            self._availability.record_pause(now_s - due_s, now_s)

    async def _read(self) -> None:
        """Read a row, to see whether the store responds."""
        row = self._probe_row
        with (
            self._fault_log.contain("store_read_failed"),
            # A read that is given up has been recorded, and no result is needed.
            anyio.move_on_after(PROBE_TIMEOUT_S),
            contextlib.suppress(StoreRefused, StoreOutcomeUnknown),
        ):
            await self.call(
                lambda: self._store.read(
                    row.table, row.part, row.key, row.key + "\0", 1
                )
            )

    def _record_response(self, call: int) -> None:
        now_s = self._clock.now()
        if self._availability.unavailable:
            log.info(
                "store_available",
                unavailable_s=round(now_s - self._unavailable_since_s, 3),
            )
        self._availability.record_response(call, now_s)

    def _response_age_s(self, now_s: float) -> float | None:
        last_s = self._availability.last_response_s
        return None if last_s == float("-inf") else round(now_s - last_s, 3)
