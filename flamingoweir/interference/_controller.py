"""Watches services beside batch on each worker and acts on who hurts them."""

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

HISTORY_LIMIT_S = 120.0
SAMPLE_PERIOD_S = 1.0
MAX_PLACEMENT_LATENCY_RATIO = 0.97
THROTTLE_FORECAST_S = 5.0
PLACEMENT_FORECAST_S = 30.0
PLACEMENT_BLOCK_S = 120.0
SETTLING_TIME_S = 2.0


@dataclass(frozen=True, slots=True)
class BatchTask:
    """A batch task that runs on a worker.

    Attributes
    ----------
    task, job_class : str
        The task and its class.
    share : float
        Its part of the worker's processors, unthrottled.
    throttle_percent : int
        What it keeps of that.
    ran_s : float
        How long it has run, which is what an eviction may lose.
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
        The service's class.
    target_ms : float
        Tail latency to keep; 0 for none.
    latency_ms : float
        As last measured; 0 if it never was.
    load : float
        Processors used as a part of what it declared.
    measured_s : float
        On the worker's clock, when that was measured.
    """

    service: str
    target_ms: float
    latency_ms: float
    load: float
    measured_s: float


class ColocatedWorker(Protocol):
    """A worker as interference sees it."""

    @property
    def name(self) -> str:
        """The worker's name."""
        ...

    @property
    def worker_clock_s(self) -> float:
        """The worker's own clock, as last reported."""
        ...

    def services(self) -> Iterable[ServiceTask]:
        """Return the service tasks that run there."""
        ...

    def batch(self) -> Iterable[BatchTask]:
        """Return the batch tasks that run there."""
        ...

    def throttle(self, task: str, percent: int) -> None:
        """Have a batch task keep ``percent`` of its processors."""
        ...

    def evict(self, task: str, service: str) -> None:
        """Have a batch task checkpointed for a service's sake, to go on elsewhere."""
        ...


@dataclass(slots=True)
class WorkerRecord:
    """What is remembered of a worker.

    Attributes
    ----------
    shares : deque of (float, dict)
        What classes held, by moments on the worker's clock.
    measured_s : float
        The newest measurement taken in.
    last_action_s : float
        On the worker's clock, when something was last done there.
    blocked_until_s_by_class : dict of str to float
        On the owner's clock, until when a class is not placed there.
    """

    share_samples: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    last_measured_s: float = 0.0
    last_action_s: float = float("-inf")
    blocked_until_s_by_class: dict[str, float] = field(default_factory=dict)


class InterferenceController:
    """Learns pair effects and climbs the ladder against who hurts a service.

    Parameters
    ----------
    policy : InterferencePolicy
        How far to go.
    clock : Clock
        The owner's clock.
    metrics : Metrics
        Where counts go.
    """

    def __init__(self, policy: InterferencePolicy, clock: Clock, metrics: Metrics):
        self.effects = EffectModel()
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._record_by_worker: dict[str, WorkerRecord] = {}

    @property
    def is_active(self) -> bool:
        """Whether anything would ever be done."""
        return self._policy.next_action(THROTTLE_LEVELS_PERCENT[0]) is not Action.NONE

    def control_worker(self, worker: ColocatedWorker) -> None:
        """Take in what a worker reports, and act on it."""
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
        """Return whether more batch of a class would leave services on time."""
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
        """Return the worst expected latency against its target, and whose it is."""
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
            and clock_s - record.share_samples[-1][0] < SAMPLE_PERIOD_S
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
        """Take the next step against the likeliest neighbour."""
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
            "neighbour_pressed",
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
        """Throttle whom a service is expected to be late for, before it is."""
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
        """Ease the throttle of the class that would hurt least, if that is safe."""
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
        """Return the class that slows a service the most."""
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
