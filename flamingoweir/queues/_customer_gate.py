"""Refuses submissions of customers whose excess waits for capacity."""

import dataclasses
import random
from collections.abc import Callable

from ..customers import CustomerLimit, MetricLabels
from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import Backlog
from ..policy import retry_after_s
from ..registry import OperatorView

log = get_logger()

#: Largest age of a published limit, in seconds. An older one does not count: the
#: customer's excess may have drained.
MAX_LIMIT_AGE_S = 1.9
#: Number of customers with counters of their own, in the order of their first refusal.
MAX_COUNTED_CUSTOMERS = 50


class RefusalCounts:
    """Counts refusals by customer and cause, with a bounded number of counters.

    Parameters
    ----------
    metrics : Metrics
        Receives the counters.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._labels = MetricLabels(MAX_COUNTED_CUSTOMERS)

    def record(self, customer: str, cause: str) -> None:
        """Count a refusal; customers without a counter of their own share one."""
        label = self._labels.find(customer)
        suffix = "others" if label is None else f"of_{label}"
        self._metrics.incr(f"customer_refusals_{cause}_{suffix}")


class CustomerGate:
    """Admits the published fraction of each customer's submissions, at random.

    Parameters
    ----------
    backlog : callable
        Takes a largest age in seconds. Returns the `Backlog` that the shard's owner
        last published, or None if there is none or it is older.
    operators : OperatorView
        View of the operators' configuration, whose version is logged.
    generator : random.Random
        Source of random choices and jitter.
    metrics : Metrics
        Receives counters.

    Attributes
    ----------
    refusals : RefusalCounts
        Counts refusals by customer and cause, also those of other causes.
    """

    def __init__(
        self,
        backlog: Callable[[float], Backlog | None],
        operators: OperatorView,
        generator: random.Random,
        metrics: Metrics,
    ):
        self._backlog = backlog
        self._operators = operators
        self._generator = generator
        self.refusals = RefusalCounts(metrics)

    def check(self, spec: JobSpec) -> tuple[JobSpec, CustomerLimit | None]:
        """Decide whether to admit a job.

        Returns
        -------
        JobSpec
            The job, with the fraction of its customer's submissions that is admitted.
        CustomerLimit or None
            The limit by which the job is refused; None if it is admitted.
        """
        if not spec.customer:
            return spec, None
        backlog = self._backlog(MAX_LIMIT_AGE_S)
        limit = backlog.limit_by_customer.get(spec.customer) if backlog else None
        if limit is None:
            return spec, None
        if self._generator.random() >= limit.admitted:
            return spec, limit
        return dataclasses.replace(spec, admitted_fraction=limit.admitted), None

    def refuse(self, spec: JobSpec, limit: CustomerLimit) -> FlamingoweirError:
        """Log and count the refusal of a job; return the error to raise."""
        pause_s = retry_after_s(limit, self._generator.random())
        configuration = self._operators.configuration
        log.info(
            "customer_refused",
            job=spec.id,
            queue=spec.queue,
            customer=spec.customer,
            cause="limit",
            admitted=limit.admitted,
            figures_max_age_s=MAX_LIMIT_AGE_S,
            retry_after_s=round(pause_s, 1),
            configuration=configuration.version if configuration else None,
        )
        self.refusals.record(spec.customer, "limit")
        return FlamingoweirError(
            ErrorCode.CUSTOMER_LIMIT,
            f"job {spec.id} was not accepted: customer {spec.customer!r} submits more "
            f"than its share while no capacity is free; try again in {pause_s:.0f} s",
            retry_after_s=pause_s,
        )
