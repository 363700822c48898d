"""An entry instance on a platform: equal to all others, any may own a shard."""

import random
import time
from collections.abc import Callable

import anyio

from ..clock import Clock
from ..dispatch import Term
from ..links import PlatformLinks
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import OwnershipLost, Standby, shard_name
from ..queues import SubmissionHandler
from ..registry import OperatorView, TableFollower
from ..settings import FleetSettings

log = get_logger()

#: Seconds that the feed of the operators' table waits for a change. Short enough that
#: a connection gone silent is noticed before a change is overdue.
OPERATOR_FEED_WAIT_S = 0.9
#: Seconds after which an instance that can't read the operators' table is not ready.
READY_AGE_S = 4.0


def wall_ms() -> float:
    """Return milliseconds since 1970."""
    return 1000 * time.time()


class Instance:
    """Everything of an instance but its servers.

    Parameters
    ----------
    settings : FleetSettings
        Who and where it is.
    links : PlatformLinks
        The ways out.
    clock : Clock
        Its clock.
    generator : random.Random
        For choices and jitter.
    metrics : Metrics
        Where counts go.
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
        self.operators = OperatorView(links.row_decoder)
        self._follower = TableFollower(
            links.store,
            links.operator_table,
            ("",),
            OPERATOR_FEED_WAIT_S,
            self.operators.apply_rows,
            clock,
        )
        process = f"{generator.getrandbits(64):016x}"
        self.standby = Standby(
            links.store,
            shard_name(0),
            settings.name,
            process,
            clock,
            generator,
            metrics,
        )
        self.handler = SubmissionHandler(
            links.store,
            self.operators,
            self.standby.backlog,
            clock,
            wall_ms,
            generator,
            metrics,
        )
        self._released = anyio.Event()

    @property
    def ready(self) -> bool:
        """Whether this instance should be sent new requests."""
        if self.leaving or self.operators.configuration is None:
            return False
        return self._clock.now() - self._follower.last_synced_s < READY_AGE_S

    async def run(self) -> None:
        """Follow operators and own shards until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._own)

    async def leave(self) -> None:
        """Hand a shard that is owned over, and take none any more."""
        self.leaving = True
        self.standby.eligible = False
        if self.term is None:
            return
        self.term.step_down()
        await self._released.wait()

    async def _own(self) -> None:
        while True:
            writer = await self.standby.wait_for_ownership()
            self.term = Term(
                writer,
                self._links.store,
                self.operators,
                self._follower,
                self._links.row_decoder,
                self._links.runner_table,
                self._links.connect,
                self._clock,
                self._wall_ms,
                self._metrics,
                self.settings.max_lease_s,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.standby.watch)
                await self.term.run()
                tasks.cancel_scope.cancel()
            self.term = None
            if self.leaving:
                try:
                    await writer.release()
                    log.info("shard_released", shard=writer.shard)
                except OwnershipLost as error:
                    log.info("shard_not_released", detail=str(error))
                self._released.set()
