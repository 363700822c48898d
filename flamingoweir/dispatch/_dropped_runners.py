"""Runners that the owner has dropped, to which its calls may still be under way."""

from ..fleet import MAX_LATENESS_S, Runner


class DroppedRunners:
    """Remembers the calls to runners that are listed no more.

    Such a runner may come back under its id, at another address as well.

    Parameters
    ----------
    started_s : float
        Start of the owner's term on its clock, in seconds.

    Attributes
    ----------
    highest_token : int
        Highest token of calls to any of them, however long ago; 0: there are none.
    """

    def __init__(self, started_s: float):
        self._earlier_until_s = started_s + MAX_LATENESS_S
        self.highest_token = 0
        #: Highest token, until when start orders may arrive, and until when both count.
        self._calls_by_id: dict[str, tuple[int, float, float]] = {}

    def record(self, runner: Runner, now_s: float) -> None:
        """Record that a runner is dropped."""
        self._expire(now_s)
        until_s = now_s + MAX_LATENESS_S
        self.highest_token = max(self.highest_token, runner.call_fence.token)
        starts_end_s = runner.unanswered_starts.find_end_s(now_s)
        self._calls_by_id[runner.id] = runner.call_fence.token, starts_end_s, until_s

    def find_token(self, runner: str, now_s: float) -> int:
        """Return the highest token of calls to a runner that may be under way, or 0."""
        self._expire(now_s)
        token, _, _ = self._calls_by_id.get(runner, (0, 0.0, 0.0))
        return token

    def find_starts_end_s(self, runner: str) -> float:
        """Return until when start orders to a runner may arrive late, in seconds."""
        _, end_s, _ = self._calls_by_id.get(runner, (0, float("-inf"), 0.0))
        return end_s

    def may_get_late_calls(self, runner: str, now_s: float) -> bool:
        """Return whether calls of this or an earlier owner may reach a new entry's id.

        An earlier owner's calls have arrived some time after the start of the term.
        """
        return now_s < self._earlier_until_s or bool(self.find_token(runner, now_s))

    def _expire(self, now_s: float) -> None:
        for runner, (_, _, until_s) in list(self._calls_by_id.items()):
            if now_s > until_s:
                del self._calls_by_id[runner]
