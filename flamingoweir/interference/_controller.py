"""Control of batch tasks that slow services on the same worker."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ._effects import EffectModel
from ._policies import (
    THROTTLE_LEVELS_PERCENT,
    Action,
    InterferencePolicy,
    next_higher_percent,
    next_lower_percent,
)

log = get_logger()

#: Seconds for which samples of the batch classes' shares are kept.
HISTORY_LIMIT_S = 120.0
#: Least time between two samples, in seconds.
SAMPLE_INTERVAL_S = 1.0
#: Highest ratio of expected latency to target at which batch is placed and throttles
#: are eased.
MAX_PLACEMENT_LATENCY_RATIO = 0.97
#: Batch is throttled if a target will be missed within this time, in seconds.
THROTTLE_FORECAST_S = 5.0
#: Time for which targets must hold when batch is placed or eased, in seconds.
PLACEMENT_FORECAST_S = 30.0
#: Seconds for which an evicted class is not placed on the same worker again.
PLACEMENT_BLOCK_S = 120.0
#: Seconds after an action until a measurement shows the action's effect.
SETTLING_TIME_S = 2.0


@dataclass(frozen=True, slots=True)
class BatchTask:
    """A batch task that runs on a worker.

    Attributes
    ----------
    task, job_class : str
        Id and job class of the task.
    share : float
        Part of the worker's processors that the task declares, from 0 to 1.
    throttle_percent : int
        Percentage of the declared processors that the throttle leaves to the task.
    ran_s : float
        Run time in seconds; an eviction may lose this much work.
    """

    task: str
    job_class: str
    share: float
    throttle_percent: int
    ran_s: float


@dataclass(frozen=True, slots=True)
class ServiceTask:
    """A service task that runs on a worker.

    Attributes
    ----------
    service : str
        Job class of the service.
    target_ms : float
        Target for the tail latency in milliseconds; 0 for none.
    latency_ms : float
        Latest measured tail latency in milliseconds; 0 before the first measurement.
    load : float
        Processors used, relative to the processors declared.
    measured_s : float
        Time of the measurement in seconds on the worker's clock.
    """

    service: str
    target_ms: float
    latency_ms: float
    load: float
    measured_s: float


class ColocatedWorker(Protocol):
    """A worker on which services and batch run side by side."""

    @property
    def name(self) -> str:
        """Name of the worker."""
        ...

    @property
    def worker_clock_s(self) -> float:
        """Reading of the worker's clock in its latest report, in seconds."""
        ...

    def services(self) -> Iterable[ServiceTask]:
        """Return the service tasks that run on the worker."""
        ...

    def batch(self) -> Iterable[BatchTask]:
        """Return the batch tasks that run on the worker."""
        ...

    def throttle(self, task: str, percent: int) -> None:
        """Limit a batch task to ``percent`` of its declared processors."""
        ...

    def evict(self, task: str, service: str) -> None:
        """Checkpoint and end a batch task so that it continues on another worker.

        Parameters
        ----------
        task : str
            Id of the batch task.
        service : str
            Job class of the service that the task slows.
        """
        ...


@dataclass(slots=True)
class WorkerRecord:
    """State kept for one worker.

    Attributes
    ----------
    share_samples : deque of (float, dict of str to float)
        Samples in order of time: seconds on the worker's clock, and the part of the
        worker's processors that each batch class held.
    last_measured_s : float
        Time of the newest measurement used, in seconds on the worker's clock.
    last_action_s : float
        Time of the latest action, in seconds on the worker's clock.
    blocked_until_s_by_class : dict of str to float
        For each evicted class, the time in seconds on the owner's clock before which
        it is not placed on the worker.
    """

    share_samples: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    last_measured_s: float = 0.0
    last_action_s: float = float("-inf")
    blocked_until_s_by_class: dict[str, float] = field(default_factory=dict)


class InterferenceController:
    """Learns how batch slows services, and throttles or evicts batch.

    Parameters
    ----------
    policy : InterferencePolicy
        Selects the next action against a batch task.
    clock : Clock
        Clock of the shard's owner.
    metrics : Metrics
        Receives the counts of throttles and evictions.

    Attributes
    ----------
    effects : EffectModel
        Effects of batch classes on services, learnt on all workers.
    """

    def __init__(self, policy: InterferencePolicy, clock: Clock, metrics: Metrics):
        self.effects = EffectModel()
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._record_by_worker: dict[str, WorkerRecord] = {}

    @property
    def is_active(self) -> bool:
        """Whether the policy ever throttles or evicts."""
        return self._policy.next_action(THROTTLE_LEVELS_PERCENT[0]) is not Action.NONE

    def control_worker(self, worker: ColocatedWorker) -> None:
        """Learn from a worker's report, and throttle, evict or ease batch there.

        If a measurement made after the latest action took effect shows a service over
        its target, take the policy's next action. Otherwise throttle batch if a target
        will be missed within `THROTTLE_FORECAST_S`; if none will, ease throttles.
        """
        record = self._record_by_worker.setdefault(worker.name, WorkerRecord())
        services = [item for item in worker.services() if item.latency_ms]
        batch = list(worker.batch())
        self._add_sample(record, worker.worker_clock_s, batch)
        new_measurements = [
            item for item in services if item.measured_s > record.last_measured_s
        ]
        for item in new_measurements:
            self._add_measurement(worker, record, item)
        if not services or not batch:
            return
        if new_measurements:
            record.last_measured_s = max(item.measured_s for item in new_measurements)
        settled = record.last_measured_s > record.last_action_s + SETTLING_TIME_S
        worst = max(services, key=_latency_ratio)
        if new_measurements and settled and _latency_ratio(worst) > 1.0:
            self._take_next_action(worker, record, worst, batch)
            return
        worst_ratio, worst_service = self._forecast_worst(
            services, _shares(batch), THROTTLE_FORECAST_S
        )
        if worst_ratio > 1.0:
            self._throttle_early(worker, worst_service, batch)
            return
        self._ease_throttles(worker, services, worst_service, batch)

    def may_place(
        self, worker: ColocatedWorker, job_class: str, extra_share: float
    ) -> bool:
        """Return whether services keep their targets beside more batch of a class.

        Parameters
        ----------
        worker : ColocatedWorker
            Worker on which batch would be placed.
        job_class : str
            Class of the batch.
        extra_share : float
            Part of the worker's processors that the batch would hold, from 0 to 1.
        """
        if not self.is_active:
            return True
        record = self._record_by_worker.get(worker.name)
        if record is None:
            return True
        if self._clock.now() < record.blocked_until_s_by_class.get(job_class, 0.0):
            return False
        shares = _shares(worker.batch())
        shares[job_class] = shares.get(job_class, 0.0) + extra_share
        services = [item for item in worker.services() if item.latency_ms]
        worst_ratio, _ = self._forecast_worst(services, shares, PLACEMENT_FORECAST_S)
        return worst_ratio <= MAX_PLACEMENT_LATENCY_RATIO

    def _forecast_worst(
        self, services: list[ServiceTask], shares: dict[str, float], ahead_s: float
    ) -> tuple[float, ServiceTask | None]:
        """Return the highest ratio of expected latency to target, and its service."""
        now_s = self._clock.now()
        worst_ratio, worst_service = 0.0, None
        for item in services:
            if not item.target_ms:
                continue
            latency_ms = self.effects.predict(
                item.service, shares, now_s, now_s + ahead_s
            )
            if latency_ms > worst_ratio * item.target_ms:
                worst_ratio, worst_service = latency_ms / item.target_ms, item
        return worst_ratio, worst_service

    @staticmethod
    def _add_sample(
        record: WorkerRecord, clock_s: float, batch: list[BatchTask]
    ) -> None:
        if (
            record.share_samples
            and clock_s - record.share_samples[-1][0] < SAMPLE_INTERVAL_S
        ):
            return
        record.share_samples.append((clock_s, _shares(batch)))
        while clock_s - record.share_samples[0][0] > HISTORY_LIMIT_S:
            record.share_samples.popleft()

    def _add_measurement(
        self, worker: ColocatedWorker, record: WorkerRecord, item: ServiceTask
    ) -> None:
        shares: dict[str, float] = {}
        for sampled_s, sampled_shares in record.share_samples:
            if sampled_s > item.measured_s:
                break
            shares = sampled_shares
        self.effects.add_measurement(
            item.service,
            item.latency_ms,
            item.load,
            shares,
            self._clock.now(),
            worker.worker_clock_s - item.measured_s,
        )

    def _take_next_action(
        self,
        worker: ColocatedWorker,
        record: WorkerRecord,
        service: ServiceTask,
        batch: list[BatchTask],
    ) -> None:
        """Take the policy's next action against the class that slows a service most.

        A throttle applies to all tasks of the class; an eviction to the task that has
        run for the shortest time, as it loses the least work.
        """
        job_class = self._worst_class(service, batch)
        tasks = [item for item in batch if item.job_class == job_class]
        kept_percent = max(item.throttle_percent for item in tasks)
        action = self._policy.next_action(kept_percent)
        if action is Action.NONE:
            return
        record.last_action_s = worker.worker_clock_s
        if action is Action.THROTTLE:
            percent = next_lower_percent(kept_percent)
            for item in tasks:
                worker.throttle(item.task, min(percent, item.throttle_percent))
            self._metrics.incr("throttles")
        else:
            cheapest = min(tasks, key=lambda item: item.ran_s)
            worker.evict(cheapest.task, service.service)
            record.blocked_until_s_by_class[job_class] = (
                self._clock.now() + PLACEMENT_BLOCK_S
            )
            self._metrics.incr("evictions.interference")
        log.info(
            "interference_action",
            worker=worker.name,
            service=service.service,
            job_class=job_class,
            action=action.value,
            latency_ms=round(service.latency_ms, 2),
            target_ms=service.target_ms,
        )

    def _throttle_early(
        self, worker: ColocatedWorker, service: ServiceTask, batch: list[BatchTask]
    ) -> None:
        """Throttle the batch class that will make a service miss its target."""
        candidates = [
            item
            for item in batch
            if self._policy.next_action(item.throttle_percent) is Action.THROTTLE
        ]
        if not candidates:
            return
        job_class = self._worst_class(service, candidates)
        for item in candidates:
            if item.job_class == job_class:
                worker.throttle(item.task, next_lower_percent(item.throttle_percent))
        self._metrics.incr("throttles")

    def _ease_throttles(
        self,
        worker: ColocatedWorker,
        services: list[ServiceTask],
        worst_service: ServiceTask | None,
        batch: list[BatchTask],
    ) -> None:
        """Ease the throttle of the throttled class that slows services least.

        Do nothing if a target would then be missed within `PLACEMENT_FORECAST_S`.
        """
        throttled = [item for item in batch if item.throttle_percent < 100]
        if not throttled or worst_service is None:
            return
        least_harmful = min(
            throttled, key=lambda item: self._slowdown(worst_service, item)
        )
        eased = [
            item for item in throttled if item.job_class == least_harmful.job_class
        ]
        shares = _shares(batch)
        for item in eased:
            gain_percent = (
                next_higher_percent(item.throttle_percent) - item.throttle_percent
            )
            shares[item.job_class] += item.share * gain_percent / 100
        worst_ratio, _ = self._forecast_worst(services, shares, PLACEMENT_FORECAST_S)
        if worst_ratio > MAX_PLACEMENT_LATENCY_RATIO:
            return
        for item in eased:
            worker.throttle(item.task, next_higher_percent(item.throttle_percent))

    def _worst_class(self, service: ServiceTask, batch: list[BatchTask]) -> str:
        """Return the batch class that slows a service most."""
        shares = _shares(batch)
        return max(
            shares,
            key=lambda name: self.effects.effect(service.service, name) * shares[name],
        )

    def _slowdown(self, service: ServiceTask, item: BatchTask) -> float:
        share = item.share * item.throttle_percent / 100
        return self.effects.effect(service.service, item.job_class) * share


def _latency_ratio(item: ServiceTask) -> float:
    return item.latency_ms / item.target_ms if item.target_ms else 0.0


def _shares(batch: Iterable[BatchTask]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for item in batch:
        share = item.share * item.throttle_percent / 100
        shares[item.job_class] = shares.get(item.job_class, 0.0) + share
    return shares
