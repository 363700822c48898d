"""Renews the leases of runners whose next poll waits for other work."""

import anyio
from anyio.abc import TaskGroup

from ..fleet import Runner
from ..logs import get_logger
from ._context import TermContext
from ._protocols import Fenced, RunnerLink, RunnerUnreachable
from ._runner_calls import RunnerCalls

log = get_logger()

#: Seconds between checks whether a lease is to be renewed.
CHECK_INTERVAL_S = 0.1
#: Fraction of a lease after which it is renewed apart from polls. Polls that follow
#: each other renew a lease of 4 s before that, so that this costs no call.
RENEW_AFTER = 0.35
#: What the next poll of a runner may wait for, as the log names it: its report or the
#: pause after a long one, many stop orders, the write of ends, a higher token.
REPORT = "report"
PAUSE = "pause"
STOPS = "stops"
ACKNOWLEDGEMENT = "acknowledgement"
FENCE = "fence"
#: Fraction of a lease after which it is renewed during waits that may be long. A runner
#: carries out hundreds of stops before it reads another call.
RENEW_AFTER_BY_CAUSE = {PAUSE: 0.25, REPORT: 0.25, STOPS: 0.15}
#: Fraction of a lease after which its renewal counts as late.
LATE_AFTER = 0.6


class LeaseKeeper:
    """Renews leases in time, whatever polls wait for.

    A poll renews a lease as it is sent. Until the next one is sent, reports are
    applied, and the writes of ends are awaited, which may take longer than the lease on
    a machine that is short of processor time. A renewal that got no response isn't
    followed by another before a later poll has got one: a lease must lapse if its
    runner is silent.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    calls : RunnerCalls
        Finds the links.
    task_group : TaskGroup
        Runs one coroutine for each renewal.
    """

    def __init__(self, context: TermContext, calls: RunnerCalls, task_group: TaskGroup):
        self._context = context
        self._clock = context.clock
        self._owner_state = context.owner_state
        self._calls = calls
        self._task_group = task_group
        #: What the next poll of a runner waits for; without an entry, one is under way.
        self._cause_by_runner: dict[Runner, str] = {}
        #: When the latest renewal without a response was sent, on the owner's clock, in
        #: seconds.
        self._unanswered_s_by_runner: dict[Runner, float] = {}

    def begin_wait(self, runner: Runner, cause: str) -> None:
        """Record that no poll of a runner is under way, and why, for the log."""
        self._cause_by_runner[runner] = cause

    def renew_before_stops(self, runner: Runner) -> None:
        """Renew a lease before many stops, unless that was just done."""
        if runner in self._cause_by_runner:
            self._renew_if_due(runner, STOPS)

    def end_wait(self, runner: Runner) -> None:
        """Record that a runner is polled now, or is idle."""
        self._cause_by_runner.pop(runner, None)

    def forget(self, runner: Runner) -> None:
        """Forget a runner that isn't watched any more."""
        self._cause_by_runner.pop(runner, None)
        self._unanswered_s_by_runner.pop(runner, None)

    def renew_all(self) -> None:
        """Renew the leases of all runners that respond, without waiting for polls."""
        for runner in self._owner_state.runner_by_id.values():
            if runner.responds and runner.has_attempts:
                self._begin_renewal(runner)

    async def run(self) -> None:
        """Renew leases that are due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for runner, cause in list(self._cause_by_runner.items()):
                self._renew_if_due(runner, cause)

    def _renew_if_due(self, runner: Runner, cause: str) -> None:
        since_s = self._clock.now() - runner.renewed_s
        renew_after = RENEW_AFTER_BY_CAUSE.get(cause, RENEW_AFTER)
        if since_s < renew_after * runner.lease_s:
            return
        if not runner.responds or not runner.has_attempts:
            return
        if self._begin_renewal(runner):
            self._log_renewal(runner, cause, since_s)

    def _log_renewal(self, runner: Runner, cause: str, since_s: float) -> None:
        is_known = since_s < float("inf")
        log.info(
            "lease_renewed_apart",
            runner=runner.id,
            since_s=round(since_s, 2) if is_known else None,
            late=is_known and since_s > LATE_AFTER * runner.lease_s,
            waits_for=cause,
        )

    def _begin_renewal(self, runner: Runner) -> bool:
        """Renew a lease in the background; return whether that is allowed."""
        unanswered_s = self._unanswered_s_by_runner.get(runner)
        if unanswered_s is not None and runner.last_answered_s <= unanswered_s:
            return False
        link = self._calls.find_link(runner.id)
        if link is None:
            return False
        deadline_ms = self._context.renew_lease(runner)
        if deadline_ms is None:
            return False
        # Until its response.
        self._unanswered_s_by_runner[runner] = self._clock.now()
        self._task_group.start_soon(self._renew, runner, link, deadline_ms)
        return True

    async def _renew(self, runner: Runner, link: RunnerLink, deadline_ms: int) -> None:
        fence = runner.call_fence.token
        with self._calls.contain("renew", runner.id):
            try:
                await link.renew(fence, deadline_ms)
            except Fenced:
                self._calls.end_if_replaced(runner, fence)
            except RunnerUnreachable as error:
                log.info("renewal_unanswered", runner=runner.id, detail=str(error))
                if runner in self._cause_by_runner:
                    # No poll is under way that could find out.
                    self._owner_state.record_lost(runner, str(error))
                return
            self._unanswered_s_by_runner.pop(runner, None)
