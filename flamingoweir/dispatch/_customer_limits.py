"""Finds the customers whose excess waits for lack of capacity, and their limits.

Not switched on: terms don't start `LimitFinder`, so that no limit is published. Its
limits apply to all submissions of a customer, so that some are refused while another
service, or room for smaller tasks, is free. In a large fleet, some excess step nearly
always fits on a runner, so that no limit takes effect.
"""

import anyio

from ..customers import CustomerLimit
from ..fleet import Runner
from ..jobs import Job, StepRun
from ..logs import get_logger
from ..policy import RateMeter, allows_task, choose_published, find_limit
from ._cap_changes import find_cap
from ._context import Permit, TermContext

log = get_logger()

#: Seconds between updates; the owner row is written at least every 0.4 s.
UPDATE_INTERVAL_S = 0.25
#: Seconds for which a step has been ready from which it waits for capacity. Passes take
#: less than that unless much waits.
WAITING_S = 0.5
#: Seconds for which capacity must be lacking. A fleet that is full for a moment has
#: room again before a refused submitter would come back.
LACKING_S = 0.5
#: Number of waiting jobs of a customer that are looked at in an update.
MAX_EXAMINED_JOBS = 50


class LimitFinder:
    """Updates the limits that the owner row publishes.

    A customer is limited only while none of its excess steps that wait would fit on a
    runner. Submissions of other sizes, or for other services, are not looked at.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    permit : Permit
        Tells which runners may be given tasks.
    """

    def __init__(self, context: TermContext, permit: Permit):
        self._context = context
        self._permit = permit
        self._owner_state = context.owner_state
        self._load = context.owner_state.customer_load
        self._drained_by_customer: dict[str, RateMeter] = {}
        #: Since when capacity has been lacking, on the owner's clock, in seconds.
        self._lacking_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Update the limits until cancelled."""
        while True:
            await anyio.sleep(UPDATE_INTERVAL_S)
            with self._owner_state.fault_log.contain("customer_limits_failed") as block:
                self.update()
            if block.failed:
                self._load.limit_by_customer = {}

    def update(self) -> None:
        """Find the limits as of now."""
        previous = self._load.limit_by_customer
        if not self._load.in_force:
            self._load.limit_by_customer = {}
            return
        now_s = self._context.clock.now()
        waiting_by_customer = self._collect_waiting(now_s)
        usable = self._find_usable() if waiting_by_customer else []
        candidates = []
        for customer, jobs in waiting_by_customer.items():
            limit = self._find_limit(customer, jobs, usable, now_s)
            if limit is not None:
                candidates.append((len(jobs), customer, limit))
        limits = choose_published(candidates)
        for customer in previous:
            if customer not in limits:
                log.info("customer_limit_ended", customer=customer)
        for customer, limit in limits.items():
            if customer not in previous:
                self._log_begin(customer, limit, len(waiting_by_customer[customer]))
        self._load.limit_by_customer = limits

    def _collect_waiting(self, now_s: float) -> dict[str, list[Job | None]]:
        """Return the excess jobs that have not begun; None for a parked one."""
        waiting_by_customer: dict[str, list[Job | None]] = {}
        parked = self._owner_state.parking.queue_by_id
        for job_id, customer in list(self._load.waiting_excess.items()):
            job = self._owner_state.job_by_id.get(job_id)
            if job_id in parked or (job is not None and job.is_waiting):
                waiting_by_customer.setdefault(customer, []).append(job)
                continue
            del self._load.waiting_excess[job_id]
            drained = self._drained_by_customer.setdefault(customer, RateMeter())
            drained.add(now_s)
        for by_customer in (self._drained_by_customer, self._lacking_since_s):
            for customer in [c for c in by_customer if c not in waiting_by_customer]:
                del by_customer[customer]
        return waiting_by_customer

    def _find_usable(self) -> list[Runner]:
        usable = []
        for runner in self._owner_state.runner_by_id.values():
            is_known = runner.incarnation is not None
            if not is_known or runner.unresponsive_since_s is not None:
                continue
            if self._permit.allows_runner(runner):
                usable.append(runner)
        return usable

    def _find_limit(
        self,
        customer: str,
        jobs: list[Job | None],
        usable: list[Runner],
        now_s: float,
    ) -> CustomerLimit | None:
        drained = self._drained_by_customer.get(customer)
        limit = find_limit(
            self._load.weight(customer),
            self._load.arrivals_per_s(customer, self._context.wall_ms() / 1000),
            len(jobs),
            drained.per_s(now_s) if drained is not None else 0.0,
        )
        if limit is None or not self._lacks_capacity(customer, jobs, usable, now_s):
            self._lacking_since_s.pop(customer, None)
            return None
        since_s = self._lacking_since_s.setdefault(customer, now_s)
        return limit if now_s - since_s >= LACKING_S else None

    def _lacks_capacity(
        self,
        customer: str,
        jobs: list[Job | None],
        usable: list[Runner],
        now_s: float,
    ) -> bool:
        """Return whether steps wait, and none of them would fit on a runner.

        A step that waits for the cap of its customer does not wait for capacity.
        """
        cap = find_cap(self._load.find_configuration(), customer)
        used = self._owner_state.customer_usage.used_by(customer)
        examined = 0
        tried = set()
        for job in jobs:
            if job is None:
                continue
            steps = _find_waiting_steps(job, now_s)
            for step in steps:
                if cap is not None and not allows_task(cap, used, step.spec.demand):
                    return False
                if step.spec.uses_spare:
                    # Only the planner can tell whether spare processors suffice.
                    if step.unplaced_since_s is None:
                        return False
                    continue
                kind = (step.job.spec.policy.service, step.spec.label)
                kind = (*kind, step.spec.reserved)
                if kind in tried:
                    continue
                tried.add(kind)
                if any(_fits(step, runner) for runner in usable):
                    return False
            examined += bool(steps)
            if examined >= MAX_EXAMINED_JOBS:
                break
        return examined > 0

    def _log_begin(self, customer: str, limit: CustomerLimit, excess: int) -> None:
        now_s = self._context.wall_ms() / 1000
        configuration = self._load.find_configuration()
        log.info(
            "customer_limited",
            customer=customer,
            admitted=limit.admitted,
            retry_after_s=limit.retry_after_s,
            weight=self._load.weight(customer),
            arrivals_per_s=round(self._load.arrivals_per_s(customer, now_s), 1),
            excess_waiting=excess,
            configuration=configuration.version if configuration else None,
        )


def _find_waiting_steps(job: Job, now_s: float) -> list[StepRun]:
    """Return the steps of a job that the planner has listed for `WAITING_S`."""
    waiting = []
    for step in job.run_by_step.values():
        if step.ready_since_s is None or not step.open_indexes:
            continue
        if now_s - step.ready_since_s >= WAITING_S:
            waiting.append(step)
    return waiting


def _fits(step: StepRun, runner: Runner) -> bool:
    """Return whether a runner suits a step and has room for one of its tasks."""
    entry, spec = runner.entry, step.spec
    if entry.service != step.job.spec.policy.service:
        return False
    if spec.label and spec.label not in entry.labels:
        return False
    return spec.reserved.fits_in(runner.free_resources)
