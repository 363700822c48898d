"""Lets start orders go only to runners that have just responded."""

import anyio

from ..fleet import Runner
from ..logs import get_logger
from ._context import TermContext
from ._protocols import Fenced, RunnerLink, RunnerUnreachable

log = get_logger()

#: Seconds after a response within which a runner is not probed.
HEARD_S = 0.05
#: The same at the time at which an order is sent, which may wait for a connection.
HEARD_AT_SENDING_S = 0.3
#: Number of probes without a response after which a runner counts as silent. Calls are
#: lost one at a time, too.
MAX_PROBES = 3
#: Seconds after which a probe is followed by another one.
PROBE_TIMEOUT_S = 0.2
#: Turns of the event loop that a probe may take on the owner's side, with a connection
#: to be opened. Their time isn't the runner's.
TURNS_OF_A_PROBE = 8
#: Longest such time for a probe, in seconds.
MAX_OWN_TIME_S = 0.8


class StartGate:
    """Probes runners before start orders are sent to them.

    A runner that has restarted may carry out an order that was sent to it in vain, so
    that its task stays open for long. Orders that were never sent cost nothing.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    """

    def __init__(self, context: TermContext):
        self._clock = context.clock
        self._owner_state = context.owner_state
        #: Set when the probe of a runner has ended.
        self._probe_end_by_runner: dict[str, anyio.Event] = {}
        #: When a runner was last found silent, on the owner's clock, in seconds.
        self._silent_s_by_runner: dict[str, float] = {}

    def is_open(self, runner: Runner) -> bool:
        """Return whether a runner has responded so recently that an order may go."""
        return self._clock.now() - runner.heard_s <= HEARD_AT_SENDING_S

    async def reach(self, runner: Runner, link: RunnerLink, since_s: float) -> bool:
        """Return whether a runner responds; probe it if it hasn't just done so.

        Orders to one runner share a probe, also those that waited for others meanwhile.

        Parameters
        ----------
        runner : Runner
            The runner.
        link : RunnerLink
            Connection to it.
        since_s : float
            Since when the order has waited, on the owner's clock, in seconds. A runner
            that was found silent since then, and not heard again, isn't probed for it.
        """
        if self._clock.now() - runner.heard_s <= HEARD_S:
            return True
        silent_s = self._silent_s_by_runner.get(runner.id, float("-inf"))
        if silent_s >= max(since_s, runner.heard_s):
            return False
        probe_end = self._probe_end_by_runner.get(runner.id)
        if probe_end is not None:
            await probe_end.wait()
            return self.is_open(runner)
        probe_end = self._probe_end_by_runner[runner.id] = anyio.Event()
        try:
            await self._probe(runner, link)
        finally:
            del self._probe_end_by_runner[runner.id]
            probe_end.set()
        if self.is_open(runner):
            self._silent_s_by_runner.pop(runner.id, None)
            return True
        self._silent_s_by_runner[runner.id] = self._clock.now()
        return False

    async def _probe(self, runner: Runner, link: RunnerLink) -> None:
        for _ in range(MAX_PROBES):
            own_s = min(MAX_OWN_TIME_S, TURNS_OF_A_PROBE * await self._measure_turn_s())
            with anyio.move_on_after(PROBE_TIMEOUT_S + own_s):
                await self._probe_once(runner, link)
                return
        self._owner_state.record_lost(runner, f"{MAX_PROBES} probes got no response")
        runner.poll_wakeup.set()

    async def _measure_turn_s(self) -> float:
        """Return how long the event loop takes for a turn, in seconds."""
        began_s = self._clock.now()
        await anyio.sleep(0)
        return self._clock.now() - began_s

    async def _probe_once(self, runner: Runner, link: RunnerLink) -> None:
        sent_s = self._clock.now()
        try:
            clock_ms = await link.probe(runner.call_fence.token)
        except Fenced:
            # The order finds out whether there is a next owner.
            runner.record_heard(self._clock.now())
            return
        except RunnerUnreachable as error:
            self._owner_state.record_lost(runner, str(error))
            runner.poll_wakeup.set()
            return
        now_s = self._clock.now()
        if clock_ms is None or not runner.incarnation_clock.may_show(
            clock_ms, sent_s, now_s
        ):
            self._owner_state.record_lost(runner, "another incarnation has responded")
            runner.poll_wakeup.set()
            return
        runner.record_heard(now_s)
