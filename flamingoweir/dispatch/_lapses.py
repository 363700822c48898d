"""Ends attempts on runners whose leases have lapsed."""

from typing import TYPE_CHECKING

from ..clock import Clock
from ..fleet import Allocation, Runner
from ..jobs import Attempt, Outcome
from ..logs import get_logger
from ..policy import RETURN_WINDOW_S, SUSPECT_WAIT_S

if TYPE_CHECKING:
    from ._owner_state import OwnerState

log = get_logger()

#: Number of lapsed attempts of a runner that are ended at once.
LAPSED_AT_ONCE = 500


class Lapses:
    """Ends lapsed attempts, so that their tasks can run elsewhere.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs, runners and attempts.
    clock : Clock
        The owner's clock.
    """

    def __init__(self, owner_state: "OwnerState", clock: Clock):
        self._owner_state = owner_state
        self._clock = clock
        self._started_s = clock.now()

    def end_lapsed(self, runner: Runner) -> None:
        """End attempts on a runner whose leases have certainly lapsed.

        If there are many, each call ends some of them. Those that may be given up for
        the loss of the runner wait a little longer, and those whose start order may
        reach its next incarnation until that has responded.
        """
        now_s = self._clock.now()
        self._owner_state.suspect_tasks(runner)
        attempts = []
        entry = self._owner_state.find_entry(runner.id)
        # No order has been sent to another address, and none is meanwhile.
        has_moved = entry is not None and runner.entry.address not in (
            "",
            entry.address,
        )
        for allocation in runner.allocation_by_run.values():
            if not has_moved and self._may_run_unseen(runner, allocation, now_s):
                continue
            if not self._waits_for_crash(allocation.attempt, now_s):
                attempts.append(allocation.attempt)
            if len(attempts) == LAPSED_AT_ONCE:
                # The others follow with the next call.
                break
        if not attempts:
            return
        unheard_s = runner.unheard_s(now_s)
        log.warning(
            "leases_lapsed",
            runner=runner.id,
            attempts=len(attempts),
            unheard_s=None if unheard_s is None else round(unheard_s, 2),
            term_s=round(now_s - self._started_s, 2),
            missing_s=self._owner_state.find_missing_s(runner, now_s),
            granted_by=find_granter(runner),
        )
        for attempt in attempts:
            self._owner_state.end_attempt(
                runner, attempt.task, attempt.run, Outcome.LAPSED, ""
            )

    def _may_run_unseen(
        self, runner: Runner, allocation: Allocation, now_s: float
    ) -> bool:
        """Return whether a next incarnation may have started a task."""
        if runner.may_run_unseen(allocation, now_s):
            return True
        late_runs = self._owner_state.late_runs
        return late_runs.may_run_unseen(runner, allocation, now_s)

    def _waits_for_crash(self, attempt: Attempt, now_s: float) -> bool:
        """Return whether a task is not started elsewhere yet, as it may be given up.

        Leases of a runner that is lost right after a start are short.
        """
        job = self._owner_state.job_by_id.get(attempt.task.job)
        if job is None:
            return False
        suspicion = job.crash_blame.suspicion_by_run.get((attempt.task, attempt.run))
        if suspicion is None or not job.may_be_given_up(attempt.task):
            return False
        return suspicion.until_s - now_s > RETURN_WINDOW_S - SUSPECT_WAIT_S


def find_granter(runner: Runner) -> str:
    """Return who may have granted the leases that are awaited, for the log."""
    return "former_owner" if runner.incarnation is None else "this_owner"
