"""Watches services beside batch on each worker and acts on who hurts them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ._effects import PairEffects
from ._ladder import (
    THROTTLE_STEPS_PERCENT,
    Step,
    StepPolicy,
    higher_throttle,
    lower_throttle,
)

log = get_logger()

HISTORY_LIMIT_S = 120.0
SAMPLE_PERIOD_S = 1.0
ADMIT_BELOW = 0.97
SOON_S = 5.0
HORIZON_S = 30.0
BAR_S = 120.0
SETTLE_S = 2.0


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
    acted_s : float
        On the worker's clock, when something was last done there.
    barred_until_s : dict of str to float
        On the owner's clock, until when a class is not placed there.
    """

    shares: deque[tuple[float, dict[str, float]]] = field(default_factory=deque)
    measured_s: float = 0.0
    acted_s: float = float("-inf")
    barred_until_s: dict[str, float] = field(default_factory=dict)


class InterferenceController:
    """Learns pair effects and climbs the ladder against who hurts a service.

    Parameters
    ----------
    policy : StepPolicy
        How far to go.
    clock : Clock
        The owner's clock.
    metrics : Metrics
        Where counts go.
    """

    def __init__(self, policy: StepPolicy, clock: Clock, metrics: Metrics):
        self.effects = PairEffects()
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._by_worker: dict[str, WorkerRecord] = {}

    @property
    def is_active(self) -> bool:
        """Whether anything would ever be done."""
        return self._policy.next_step(THROTTLE_STEPS_PERCENT[0]) is not Step.NONE

    def control_worker(self, worker: ColocatedWorker) -> None:
        """Take in what a worker reports, and act on it."""
        record = self._by_worker.setdefault(worker.name, WorkerRecord())
        services = [item for item in worker.services() if item.latency_ms]
        batch = list(worker.batch())
        self._remember(record, worker.worker_clock_s, batch)
        fresh = [item for item in services if item.measured_s > record.measured_s]
        for item in fresh:
            self._learn(worker, record, item)
        if not services or not batch:
            return
        if fresh:
            record.measured_s = max(item.measured_s for item in fresh)
        settled = record.measured_s > record.acted_s + SETTLE_S
        worst = max(services, key=_pressure)
        if fresh and settled and _pressure(worst) > 1.0:
            self._press(worker, record, worst, batch)
            return
        expected, threatened = self._expect(services, _shares(batch), SOON_S)
        if expected > 1.0:
            self._throttle_ahead(worker, threatened, batch)
            return
        self._relax(worker, services, threatened, batch)

    def may_place(
        self, worker: ColocatedWorker, job_class: str, extra_share: float
    ) -> bool:
        """Return whether more batch of a class would leave services on time."""
        if not self.is_active:
            return True
        record = self._by_worker.get(worker.name)
        if record is None:
            return True
        if self._clock.now() < record.barred_until_s.get(job_class, 0.0):
            return False
        shares = _shares(worker.batch())
        shares[job_class] = shares.get(job_class, 0.0) + extra_share
        services = [item for item in worker.services() if item.latency_ms]
        expected, _ = self._expect(services, shares, HORIZON_S)
        return expected <= ADMIT_BELOW

    def _expect(
        self, services: list[ServiceTask], shares: dict[str, float], ahead_s: float
    ) -> tuple[float, ServiceTask | None]:
        """Return the worst expected latency against its target, and whose it is."""
        now_s = self._clock.now()
        expected, threatened = 0.0, None
        for item in services:
            if not item.target_ms:
                continue
            latency_ms = self.effects.predict(
                item.service, shares, now_s, now_s + ahead_s
            )
            if latency_ms > expected * item.target_ms:
                expected, threatened = latency_ms / item.target_ms, item
        return expected, threatened

    @staticmethod
    def _remember(record: WorkerRecord, clock_s: float, batch: list[BatchTask]) -> None:
        if record.shares and clock_s - record.shares[-1][0] < SAMPLE_PERIOD_S:
            return
        record.shares.append((clock_s, _shares(batch)))
        while clock_s - record.shares[0][0] > HISTORY_LIMIT_S:
            record.shares.popleft()

    def _learn(
        self, worker: ColocatedWorker, record: WorkerRecord, item: ServiceTask
    ) -> None:
        shares: dict[str, float] = {}
        for moment_s, held in record.shares:
            if moment_s > item.measured_s:
                break
            shares = held
        self.effects.learn(
            item.service,
            item.latency_ms,
            item.load,
            shares,
            self._clock.now(),
            worker.worker_clock_s - item.measured_s,
        )

    def _press(
        self,
        worker: ColocatedWorker,
        record: WorkerRecord,
        service: ServiceTask,
        batch: list[BatchTask],
    ) -> None:
        """Take the next step against the likeliest neighbour."""
        culprit = self._worst_class(service, batch)
        tasks = [item for item in batch if item.job_class == culprit]
        kept_percent = max(item.throttle_percent for item in tasks)
        step = self._policy.next_step(kept_percent)
        if step is Step.NONE:
            return
        record.acted_s = worker.worker_clock_s
        if step is Step.THROTTLE:
            percent = lower_throttle(kept_percent)
            for item in tasks:
                worker.throttle(item.task, min(percent, item.throttle_percent))
            self._metrics.incr("throttles")
        else:
            cheapest = min(tasks, key=lambda item: item.ran_s)
            worker.evict(cheapest.task, service.service)
            record.barred_until_s[culprit] = self._clock.now() + BAR_S
            self._metrics.incr("evictions.interference")
        log.info(
            "neighbour_pressed",
            worker=worker.name,
            service=service.service,
            job_class=culprit,
            step=step.value,
            latency_ms=round(service.latency_ms, 2),
            target_ms=service.target_ms,
        )

    def _throttle_ahead(
        self, worker: ColocatedWorker, service: ServiceTask, batch: list[BatchTask]
    ) -> None:
        """Throttle whom a service is expected to be late for, before it is."""
        candidates = [
            item
            for item in batch
            if self._policy.next_step(item.throttle_percent) is Step.THROTTLE
        ]
        if not candidates:
            return
        culprit = self._worst_class(service, candidates)
        for item in candidates:
            if item.job_class == culprit:
                worker.throttle(item.task, lower_throttle(item.throttle_percent))
        self._metrics.incr("throttles")

    def _relax(
        self,
        worker: ColocatedWorker,
        services: list[ServiceTask],
        threatened: ServiceTask | None,
        batch: list[BatchTask],
    ) -> None:
        """Ease the throttle of the class that would hurt least, if that is safe."""
        throttled = [item for item in batch if item.throttle_percent < 100]
        if not throttled or threatened is None:
            return
        mildest = min(throttled, key=lambda item: self._blame(threatened, item))
        eased = [item for item in throttled if item.job_class == mildest.job_class]
        shares = _shares(batch)
        for item in eased:
            gain = higher_throttle(item.throttle_percent) - item.throttle_percent
            shares[item.job_class] += item.share * gain / 100
        expected, _ = self._expect(services, shares, HORIZON_S)
        if expected > ADMIT_BELOW:
            return
        for item in eased:
            worker.throttle(item.task, higher_throttle(item.throttle_percent))

    def _worst_class(self, service: ServiceTask, batch: list[BatchTask]) -> str:
        """Return the class that slows a service the most."""
        shares = _shares(batch)
        return max(
            shares,
            key=lambda name: self.effects.effect(service.service, name) * shares[name],
        )

    def _blame(self, service: ServiceTask, item: BatchTask) -> float:
        held = item.share * item.throttle_percent / 100
        return self.effects.effect(service.service, item.job_class) * held


def _pressure(item: ServiceTask) -> float:
    return item.latency_ms / item.target_ms if item.target_ms else 0.0


def _shares(batch: Iterable[BatchTask]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for item in batch:
        held = item.share * item.throttle_percent / 100
        shares[item.job_class] = shares.get(item.job_class, 0.0) + held
    return shares
