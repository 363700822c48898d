"""Runners that crash and are back after some seconds, also by the tasks they start."""

import anyio

#: Seconds from the start of a task to the crash that it causes.
CRASH_AFTER_S = 0.01
#: Seconds after a crash at which the entry of a runner that stays away is removed.
UNLISTED_AFTER_S = 3.3
#: Seconds for which a crashed runner is down.
DOWN_S = 3.2


class CrashingTasks:
    """Lets tasks crash each runner that starts them.

    Parameters
    ----------
    cluster : Cluster
        The system.
    tasks : set of str
        Ids of the tasks.
    down_s : float
        Seconds for which a crashed runner is down.
    silent : bool
        Whether calls to a crashed runner time out; they fail at once otherwise.
    keeps_id : bool
        Whether a runner has the same id after a crash. Otherwise it has a new one, at
        the same address.
    on_crash : callable
        Called after each crash.

    Attributes
    ----------
    crashes : int
        Number of crashes so far.
    """

    def __init__(
        self,
        cluster,
        tasks: set[str],
        down_s: float = DOWN_S,
        silent: bool = False,
        keeps_id: bool = False,
        on_crash=lambda: None,
    ):
        self.crashes = 0
        self._cluster = cluster
        self._tasks = tasks
        self._down_s = down_s
        self._silent = silent
        self._keeps_id = keeps_id
        self._on_crash = on_crash
        self._seen_by_runner: dict[str, int] = {}

    async def run(self) -> None:
        """Crash runners until cancelled."""
        while True:
            await anyio.sleep(CRASH_AFTER_S)
            for runner in list(self._cluster.runner_by_id.values()):
                if runner.up and self._has_started_one(runner):
                    self.crash(runner)

    def crash(self, runner) -> None:
        """Crash a runner; it is back later."""
        self.crashes += 1
        runner.crash(closes=not self._silent)
        self._cluster.tasks.start_soon(self._return, runner)
        self._on_crash()

    def _has_started_one(self, runner) -> bool:
        seen = self._seen_by_runner.get(runner.id, 0)
        new = runner.records[seen:]
        self._seen_by_runner[runner.id] = len(runner.records)
        return any(r.kind == "start" and str(r.task) in self._tasks for r in new)

    async def _return(self, runner) -> None:
        cluster = self._cluster
        if self._keeps_id:
            await anyio.sleep(self._down_s)
            runner.restart()
            cluster.list_runner(runner.id)
            return
        cluster.tasks.start_soon(self._unlist, runner.id)
        await anyio.sleep(self._down_s)
        address = cluster.address_by_runner[runner.id]
        processors = runner.capacity.processors_milli / 1000
        returned = cluster.add_runner(
            f"{runner.id}+", processors=processors, address=address
        )
        returned.incarnation = runner.incarnation + 1
        cluster.list_runner(returned.id)

    async def _unlist(self, runner_id: str) -> None:
        await anyio.sleep(UNLISTED_AFTER_S)
        self._cluster.unlist_runner(runner_id)
