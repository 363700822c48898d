"""Learning of effects on services, and control of the batch beside them.

The tests guard against slowdown that is attributed to the wrong batch class, against
actions taken again before a delayed measurement shows the effect of the last one, and
against batch that is placed or kept throttled wrongly.
"""

import random

from flamingoweir.interference import (
    BatchTask,
    EffectModel,
    EvictOnly,
    InterferenceController,
    NoControl,
    ServiceTask,
    ThrottleThenEvict,
)
from flamingoweir.metrics import NoMetrics

TARGET_MS = 11.0


class ManualClock:
    def __init__(self):
        self.now_s = 1000.0

    def now(self) -> float:
        return self.now_s


class Worker:
    """A worker with one service, whose latency the test sets."""

    name = "powys-w1"

    def __init__(self, classes: list[str]):
        self.worker_clock_s = 0.0
        self.latency_ms = 10.0
        self.measured_s = 0.0
        self.percent = {f"{name}/0": 100 for name in classes}
        self.evicted: list[str] = []

    def services(self):
        return [
            ServiceTask(
                "service:quotes", TARGET_MS, self.latency_ms, 0.9, self.measured_s
            )
        ]

    def batch(self):
        found = []
        for task, percent in self.percent.items():
            if task not in self.evicted:
                found.append(BatchTask(task, task.split("/")[0], 0.3, percent, 5.0))
        return found

    def throttle(self, task, percent):
        self.percent[task] = percent

    def evict(self, task, service):
        self.evicted.append(task)


def measure(controller, clock, worker, latency_ms: float, lag_s: float = 0.0) -> None:
    clock.now_s += 1.0
    worker.worker_clock_s += 1.0
    worker.latency_ms = latency_ms
    worker.measured_s = worker.worker_clock_s - lag_s
    controller.control_worker(worker)


def test_effects_of_several_classes_are_separated():
    """Fail if slowdown is attributed to the wrong one of several batch classes.

    Each noisy sample holds all classes at once, at random shares.
    """
    generator = random.Random(1)
    true_effects = {"plan": 0.4, "sums": 0.05, "noisy": 1.2}
    effects = EffectModel()
    for second in range(400):
        shares = {name: generator.uniform(0, 0.4) for name in true_effects}
        load = generator.uniform(0.3, 0.9)
        slowdown = sum(true_effects[name] * shares[name] for name in true_effects)
        latency_ms = 10 * (1 + load * slowdown) * generator.lognormvariate(0, 0.01)
        effects.add_measurement(
            "quotes", latency_ms, load, shares, 1000.0 + second, 0.0
        )
    for name, value in true_effects.items():
        assert abs(effects.effect("quotes", name) - value) < 0.05


def test_effect_upper_bound_of_an_unknown_class():
    """Fail if an unmeasured class is predicted without allowing for the uncertainty."""
    effects = EffectModel()
    assert effects.effect_upper_bound("quotes", "new") > effects.effect("quotes", "new")


def test_throttles_before_evicting():
    """Fail if a task is evicted before each throttle level was tried.

    The service stays over its target whatever is done.
    """
    clock = ManualClock()
    controller = InterferenceController(ThrottleThenEvict(), clock, NoMetrics())
    worker = Worker(["noisy"])
    seen = []
    for _ in range(12):
        measure(controller, clock, worker, 14.0)
        seen.append((worker.percent["noisy/0"], bool(worker.evicted)))
    assert seen.index((25, False)) > seen.index((50, False))
    assert seen.index((25, True)) > seen.index((25, False))


def test_waits_for_a_measurement_after_an_action():
    """Fail if a delayed measurement causes a second eviction.

    The measurements that arrive after the eviction were made before it.
    """
    clock = ManualClock()
    controller = InterferenceController(EvictOnly(), clock, NoMetrics())
    worker = Worker(["noisy", "plan", "sums"])
    measure(controller, clock, worker, 14.0)
    assert len(worker.evicted) == 1
    for _ in range(20):
        measure(controller, clock, worker, 14.0, lag_s=30.0)
    assert len(worker.evicted) == 1


def test_evicted_class_is_not_placed_on_the_same_worker():
    """Fail if a class returns at once to the worker from which it was evicted."""
    clock = ManualClock()
    controller = InterferenceController(EvictOnly(), clock, NoMetrics())
    worker = Worker(["noisy"])
    measure(controller, clock, worker, 14.0)
    assert not controller.may_place(worker, "noisy", 0.01)


def test_throttle_is_eased_while_latency_is_low():
    """Fail if batch stays throttled although the service keeps its target."""
    clock = ManualClock()
    controller = InterferenceController(ThrottleThenEvict(), clock, NoMetrics())
    worker = Worker(["sums"])
    worker.percent["sums/0"] = 25
    for _ in range(60):
        measure(controller, clock, worker, 10.0)
    assert worker.percent["sums/0"] == 100


def test_no_control_neither_throttles_nor_evicts():
    """Fail if the ``off`` policy acts on a service that is over its target."""
    clock = ManualClock()
    controller = InterferenceController(NoControl(), clock, NoMetrics())
    worker = Worker(["noisy"])
    for _ in range(5):
        measure(controller, clock, worker, 20.0)
    assert not worker.evicted
    assert worker.percent["noisy/0"] == 100
