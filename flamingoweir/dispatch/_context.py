"""What the parts of an owner's term share."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..clock import Clock
from ..fleet import Runner
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import FencedWriter, OwnershipLost
from ..registry import OperatorView, RunnerEntry, RunnerView, TableFollower
from ._owner_state import OwnerState
from ._protocols import RunnerLink

log = get_logger()

#: Seconds after which what operators and runners announced is too old to start
#: tasks by; the feeds answer more than once a second.
MAX_FEED_AGE_S = 1.3


@dataclass(frozen=True, slots=True)
class TermContext:
    """Everything a term needs.

    Attributes
    ----------
    writer : Journal
        The ownership and its writes.
    owner_state : Book
        Jobs and runners.
    operators : OperatorView
        Configuration, zones out, waves.
    operator_follower : TableFollower
        Keeps ``operators`` up to date.
    runners : RunnerView
        The runners that are announced.
    connect : callable
        Makes the way to a runner.
    clock : Clock
        This instance's clock.
    wall_ms : callable
        Milliseconds since 1970.
    metrics : Metrics
        Where counts go.
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


class Permit:
    """Says whether a task may be started now; asked right before each order.

    Parameters
    ----------
    context : TermContext
        What it is judged by.
    runner_follower : TableFollower
        Keeps the list of runners up to date.
    """

    def __init__(self, context: TermContext, runner_follower: TableFollower):
        self._context = context
        self._runner_follower = runner_follower

    def is_valid(self) -> bool:
        """Return whether this owner may start anything."""
        context = self._context
        oldest_s = min(
            context.operator_follower.last_synced_s, self._runner_follower.last_synced_s
        )
        fresh = context.clock.now() - oldest_s < MAX_FEED_AGE_S
        return fresh and context.writer.may_start()

    def allows_runner(self, runner: Runner) -> bool:
        """Return whether a runner may be given tasks, as far as others have said."""
        context = self._context
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
    """Ends a term from any of its tasks."""

    def __init__(self) -> None:
        self._event = anyio.Event()
        self.reason = ""

    def signal(self, reason: str) -> None:
        """Give up: another instance may own the shard."""
        if not self._event.is_set():
            self.reason = reason
            self._event.set()

    async def wait(self) -> None:
        """Wait for the end; raises OwnershipLost."""
        await self._event.wait()
        raise OwnershipLost(self.reason)
