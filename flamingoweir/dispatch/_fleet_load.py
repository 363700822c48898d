"""Measures and logs the load of the runners."""

from collections.abc import Iterable, Sequence

from ..fleet import Runner
from ..jobs import StepRun
from ..logs import get_logger
from ..policy import ServiceLoad
from ._owner_state import OwnerState

log = get_logger()

#: Seconds between log lines on the load of the runners.
LOAD_LOG_INTERVAL_S = 2.0


def measure_load(
    usable: Sequence[Runner], runners: Iterable[Runner], steps: Sequence[StepRun]
) -> dict[str, ServiceLoad]:
    """Return the load of the usable runners, by service.

    Long-running tasks of runners that are lost or leave count as well: in a few
    seconds they need room on the others.

    Parameters
    ----------
    usable : sequence of Runner
        Runners that may be given tasks.
    runners : iterable of Runner
        All runners.
    steps : sequence of StepRun
        Steps that wait to be placed.
    """
    load_by_service: dict[str, ServiceLoad] = {}
    for runner in usable:
        if runner.incarnation is None or runner.unresponsive_since_s is not None:
            # Its entry may be all that there is of it.
            continue
        load = load_by_service.setdefault(runner.entry.service, ServiceLoad())
        lasting_milli = runner.lasting_reserved.processors_milli
        load.capacity_milli += runner.entry.capacity.processors_milli
        load.batch_milli += runner.reserved.processors_milli - lasting_milli
        if not runner.leaving:
            load.lasting_milli += lasting_milli
    for runner in runners:
        load = load_by_service.get(runner.entry.service)
        is_lost = runner.unresponsive_since_s is not None
        if load is not None and (is_lost or runner.leaving):
            load.lasting_milli += runner.lasting_reserved.processors_milli
    for step in steps:
        load = load_by_service.get(step.job.spec.policy.service)
        if load is None or step.spec.lasting:
            continue
        load.batch_milli += len(step.open_indexes) * step.spec.reserved.processors_milli
    return load_by_service


class FleetLoadLog:
    """Logs the load of the runners every `LOAD_LOG_INTERVAL_S`.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs and runners.
    """

    def __init__(self, owner_state: OwnerState):
        self._owner_state = owner_state
        self._logged_s = float("-inf")
        self._longest_pass_s = 0.0

    def record_pass(self, pass_s: float) -> None:
        """Record the duration of a placement pass, in seconds."""
        self._longest_pass_s = max(self._longest_pass_s, pass_s)

    def log(
        self, usable: Sequence[Runner], jobs: int, open_tasks: int, now_s: float
    ) -> None:
        """Log the load if the last line is old enough.

        Parameters
        ----------
        usable : sequence of Runner
            Runners that may be given tasks.
        jobs, open_tasks : int
            Numbers of jobs and of tasks to be placed.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if now_s - self._logged_s < LOAD_LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        serving = 0
        total_milli = reserved_milli = spare_demand_milli = 0
        total_mb = reserved_mb = 0
        for runner in self._owner_state.runner_by_id.values():
            capacity, reserved = runner.entry.capacity, runner.reserved
            total_milli += capacity.processors_milli
            total_mb += capacity.memory_mb
            reserved_milli += reserved.processors_milli
            reserved_mb += reserved.memory_mb
            spare_demand_milli += runner.spare_demand_milli
            serving += bool(runner.serving_count)
        log.info(
            "fleet_load",
            runners=len(self._owner_state.runner_by_id),
            usable=len(usable),
            serving=serving,
            cores=total_milli // 1000,
            cores_reserved=reserved_milli // 1000,
            cores_wanted_spare=spare_demand_milli // 1000,
            memory_share=round(reserved_mb / max(1, total_mb), 2),
            longest_pass_ms=round(1000 * self._longest_pass_s),
            jobs=jobs,
            open_tasks=open_tasks,
        )
        self._longest_pass_s = 0.0
