"""An entry instance on the platform; every instance may own the shard."""

import random
import time
from collections.abc import Callable

import anyio

from ..clock import Clock
from ..dispatch import Term
from ..faults import FaultLog
from ..links import PlatformLinks
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import FencedWriter, OwnershipLost, Standby, shard_name
from ..queues import Authentication, SubmissionHandler
from ..registry import OperatorView, TableFollower
from ..settings import FleetSettings

log = get_logger()

#: Seconds that a call to the operators' table waits for a change. The wait is short
#: so that a connection that stopped responding is detected before a change is overdue.
OPERATOR_FEED_WAIT_S = 0.9
#: Age in seconds of the operators' table from which an instance is not ready.
MAX_TABLE_AGE_S = 4.0
#: Seconds of the grace period that are kept for releasing the shard, after an owner
#: that shuts down has waited for the store.
LEAVE_MARGIN_S = 1.8
#: Seconds for which an instance leaves the shard to others after an unexpected error
#: has ended its term; longer than a standby takes.
FAILED_TERM_PAUSE_S = 3.0


def wall_ms() -> float:
    """Return the wall clock time in milliseconds since 1970."""
    return 1000 * time.time()


class Instance:
    """An instance without its servers.

    Parameters
    ----------
    settings : FleetSettings
        Identity, addresses and platform limits of the instance.
    links : PlatformLinks
        Connections to the store and the runners.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of random choices and jitter.
    metrics : Metrics
        Receives counters and gauges.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.

    Attributes
    ----------
    leaving : bool
        Whether a shutdown has begun.
    term : Term or None
        The current term as owner of the shard; None while not the owner.
    operators : OperatorView
        Configuration, evacuated zones and maintenance waves.
    standby : Standby
        Watches the owner's row and takes the shard over.
    handler : SubmissionHandler
        Handles the requests of submitters.
    """

    def __init__(
        self,
        settings: FleetSettings,
        links: PlatformLinks,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        wall_ms: Callable[[], float] = wall_ms,
    ):
        self.settings = settings
        self.leaving = False
        self.term: Term | None = None
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._wall_ms = wall_ms
        fault_log = FaultLog(metrics, clock)
        self.operators = OperatorView(links.row_decoder, fault_log)
        process = f"{generator.getrandbits(64):016x}"
        self.standby = Standby(
            links.owner_store,
            shard_name(0),
            settings.name,
            process,
            settings.processors,
            clock,
            generator,
            metrics,
        )
        self.handler = SubmissionHandler(
            links.store,
            self.operators,
            self.standby.backlog,
            clock,
            generator,
            metrics,
            self.standby.max_job_bytes,
            Authentication(
                self.operators,
                lambda: self._follower.proof_sent_s,
                clock,
                metrics,
                settings.customers,
                settings.revoke_s,
                settings.config_apply_s,
            ),
            settings.memory_mb,
            wall_ms,
        )
        self._follower = TableFollower(
            links.store,
            links.operator_table,
            ("",),
            OPERATOR_FEED_WAIT_S,
            self.operators.apply_rows,
            clock,
            fault_log,
            self.handler.store_monitor.record_feed_call,
        )
        self._owns_shard = False
        self._shard_released = anyio.Event()

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new requests to this instance."""
        if self.leaving or self.operators.configuration is None:
            return False
        return self._clock.now() - self._follower.last_synced_s < MAX_TABLE_AGE_S

    async def run(self) -> None:
        """Follow the operators' table and own the shard in turn until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self.handler.store_monitor.run)
            tasks.start_soon(self._run_terms)

    async def leave(self) -> None:
        """Release the shard if it is owned, and acquire no shard any more."""
        self.leaving = True
        await self.standby.retire()
        if not self._owns_shard:
            return
        if self.term is not None:
            await self.term.leave(max(0.0, self.settings.grace_s - LEAVE_MARGIN_S))
        await self._shard_released.wait()

    async def _run_terms(self) -> None:
        while True:
            writer = await self.standby.wait_for_ownership()
            self._owns_shard = True
            failed = False
            if not self.leaving:
                failed = await self._run_term(writer)
            if self.leaving or failed:
                try:
                    await writer.release()
                    log.info("shard_released", shard=writer.shard)
                except OwnershipLost as error:
                    log.info("shard_not_released", detail=str(error))
            if self.leaving:
                self._shard_released.set()
            self._owns_shard = False
            if failed:
                await anyio.sleep(FAILED_TERM_PAUSE_S)

    async def _run_term(self, writer: FencedWriter) -> bool:
        """Run a term; return whether an unexpected error has ended it."""
        self.term = Term(
            writer,
            self._links.owner_store,
            self.operators,
            self._follower,
            self._links.row_decoder,
            self._links.runner_table,
            self._links.connect,
            self._clock,
            self._wall_ms,
            self._metrics,
            self.settings.max_lease_s,
            self.settings.memory_mb,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.standby.watch)
            await self.term.run()
            tasks.cancel_scope.cancel()
        failed = self.term.failed
        self.term = None
        return failed
