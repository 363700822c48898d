"""Objects shared within a term, the time in which an instance owns a shard."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from ..clock import Clock
from ..fleet import LEAVING_LEASE_S, Runner
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import FencedWriter, OwnershipLost
from ..registry import OperatorView, RunnerEntry, RunnerView, TableFollower
from ._owner_state import OwnerState
from ._protocols import RunnerLink
from ._report_turns import ReportTurns

log = get_logger()

#: Largest age, in seconds, of the followed tables of operators and runners with which
#: tasks may be started. The feeds respond more than once a second.
MAX_FEED_AGE_S = 1.3


@dataclass(frozen=True, slots=True)
class TermContext:
    """Shared objects of a term.

    Attributes
    ----------
    writer : FencedWriter
        Writes to the store as the shard's owner.
    owner_state : OwnerState
        Jobs, runners and attempts in memory.
    operators : OperatorView
        Configuration, evacuated zones and maintenance waves.
    operator_follower : TableFollower
        Follows the table behind ``operators``.
    runners : RunnerView
        The entries that runners announce.
    connect : callable
        Returns a link to the runner of an entry.
    clock : Clock
        Monotonic clock of this instance.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.
    metrics : Metrics
        Receives counters.
    report_turns : ReportTurns
        Turns in which long reports are applied.
    """

    writer: FencedWriter
    owner_state: OwnerState
    operators: OperatorView
    operator_follower: TableFollower
    runners: RunnerView
    connect: Callable[[RunnerEntry], RunnerLink]
    clock: Clock
    wall_ms: Callable[[], float]
    metrics: Metrics
    report_turns: ReportTurns = field(default_factory=ReportTurns)

    def renew_lease(self, runner: Runner) -> int | None:
        """Renew a lease; return its end in ms on the runner's clock.

        The result is None if the owner may not renew it now. If it may end before the
        next poll renews it, all leases are renewed after the next write, which is made
        at once.
        """
        now_s = self.clock.now()
        end_s = self.writer.limit_lease(runner.id, now_s + runner.lease_s)
        if end_s < now_s + min(runner.lease_s, LEAVING_LEASE_S):
            self.owner_state.renewal_awaits_write = True
            self.owner_state.write_wakeup.set()
        if end_s <= now_s:
            return None
        runner.renewed_s = now_s
        return runner.grant_lease(end_s, now_s)


class PermitWithdrawn(Exception):
    """Tasks may no longer be started; the pass ends."""


class Permit:
    """Checks whether tasks may be started.

    It is checked before each placement pass, and again right before each start order.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    runner_follower : TableFollower
        Follows the table of runners.
    """

    def __init__(self, context: TermContext, runner_follower: TableFollower):
        self._context = context
        self._runner_follower = runner_follower

    def is_valid(self) -> bool:
        """Return whether ownership and tables are recent enough to start tasks."""
        context = self._context
        oldest_s = min(
            context.operator_follower.last_synced_s, self._runner_follower.last_synced_s
        )
        fresh = context.clock.now() - oldest_s < MAX_FEED_AGE_S
        return fresh and context.writer.may_start()

    def allows_runner(self, runner: Runner) -> bool:
        """Return whether a runner may be given tasks.

        It must be listed, not draining, in a zone that is not evacuated, and, once it
        has responded, of the announced incarnation and reject calls to former ones.
        """
        context = self._context
        if runner.incarnation is not None and not runner.call_fence.is_established:
            return False
        entry = runner.entry
        if entry.draining or entry.zone in context.operators.evacuated_zones:
            return False
        if (
            entry.incarnation
            and runner.incarnation is not None
            and entry.incarnation != runner.incarnation
        ):
            return False
        return context.runners.is_listed(runner.id)


class TermEnd:
    """An event by which any part of a term can end it."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self.reason = ""

    def signal(self, reason: str) -> None:
        """End the term because another instance may own the shard, or for a shutdown.

        Parameters
        ----------
        reason : str
            Text of the raised `OwnershipLost`. Only the first call sets it.
        """
        if not self._event.is_set():
            self.reason = reason
            self._event.set()

    async def wait(self) -> None:
        """Wait until the end is signalled.

        Raises
        ------
        OwnershipLost
            With the signalled reason, always.
        """
        await self._event.wait()
        raise OwnershipLost(self.reason)
