"""Start orders without a response that may still be carried out."""

from dataclasses import dataclass, field

from ..jobs import TaskId


@dataclass(slots=True)
class LateOrders:
    """Start orders of ended attempts that got no response, by runner.

    The run of such an order can't start on the incarnation that it was sent to: it has
    ended there. The next incarnation with the same id knows nothing of that.

    Attributes
    ----------
    until_s_by_runner : dict of str to dict
        Until when each run of a task may be started, on the owner's clock, in seconds.
    """

    until_s_by_runner: dict[str, dict[tuple[TaskId, int], float]] = field(
        default_factory=dict
    )

    def record(
        self, runner: str, task: TaskId, run: int, until_s: float, now_s: float
    ) -> None:
        """Record until when an order of an attempt that has ended may arrive."""
        self._expire(now_s)
        until_s_by_run = self.until_s_by_runner.setdefault(runner, {})
        until_s_by_run[task, run] = until_s

    def find(self, runner: str, now_s: float) -> list[tuple[TaskId, int]]:
        """Return the runs that the next incarnation of a runner must not start."""
        self._expire(now_s)
        return list(self.until_s_by_runner.get(runner, ()))

    def _expire(self, now_s: float) -> None:
        for runner, until_s_by_run in list(self.until_s_by_runner.items()):
            for key, until_s in list(until_s_by_run.items()):
                if now_s > until_s:
                    del until_s_by_run[key]
            if not until_s_by_run:
                del self.until_s_by_runner[runner]
