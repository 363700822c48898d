"""Reports, by customer, what is used, what waits and what is due."""

import dataclasses
from dataclasses import dataclass

import anyio

from ..customers import Customer, MetricLabels
from ..logs import get_logger
from ..resources import Resources
from ._context import TermContext

log = get_logger()

#: Seconds between reports.
REPORT_INTERVAL_S = 10.0
#: Number of customers that a report names; the others are summed up.
MAX_REPORTED = 20
#: Number of customers that get gauges of their own in a term, in the order in which
#: they are first reported.
MAX_GAUGED = 50


@dataclass(slots=True)
class _CustomerRow:
    """Figures of one customer, or sums of those of several."""

    customer: Customer
    used: Resources = Resources()
    waiting: int = 0
    oldest_wait_s: float = 0.0
    excess: int = 0
    arrivals_per_s: float = 0.0
    refused_per_s: float = 0.0
    admitted: float = 1.0
    share_due: float = 0.0
    share_received: float = 0.0


class CustomerReporter:
    """Logs the figures of the largest customers, and sets gauges of the same values.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    """

    def __init__(self, context: TermContext):
        self._context = context
        self._load = context.owner_state.customer_load
        self._labels = MetricLabels(MAX_GAUGED)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            with self._context.owner_state.fault_log.contain("customer_report_failed"):
                self.report()

    def report(self) -> None:
        """Log one line for each of the largest customers and one for the others."""
        owner_state = self._context.owner_state
        held, parked = owner_state.job_by_id, owner_state.parking.queue_by_id
        self._load.forget_ended(lambda job_id: job_id in held or job_id in parked)
        if not self._load.in_force:
            return
        rows = sorted(self._collect().values(), key=_size, reverse=True)
        for row in rows[:MAX_REPORTED]:
            customer = row.customer
            self._log(
                row,
                customer=customer.name,
                weight=customer.weight,
                cap_milli=customer.cap.processors_milli,
                cap_mb=customer.cap.memory_mb,
                cap_accelerators=customer.cap.accelerators,
            )
            self._set_gauges(row)
        if len(rows) > MAX_REPORTED:
            others = _add_up(rows[MAX_REPORTED:])
            self._log(others, customers=len(rows) - MAX_REPORTED)

    def _collect(self) -> dict[str, _CustomerRow]:
        """Return the figures by customer, also of customers without any load."""
        owner_state = self._context.owner_state
        now_s = self._context.clock.now()
        wall_s = self._context.wall_ms() / 1000
        row_by_name = {}
        for name, customer in self._load.customer_by_name.items():
            row = row_by_name[name] = _CustomerRow(customer)
            row.used = owner_state.customer_usage.used_by(name)
            row.arrivals_per_s = self._load.arrivals_per_s(name, wall_s)
            limit = self._load.limit_by_customer.get(name)
            if limit is not None:
                row.admitted = limit.admitted
                row.refused_per_s = (1 - limit.admitted) * row.arrivals_per_s
            # Those of the service of which the customer has most.
            shares = (self._load.shares_by_service or {}).values()
            row.share_received, row.share_due = max(
                ((s.received(name), s.due(name)) for s in shares), default=(0.0, 0.0)
            )
        for job in owner_state.job_by_id.values():
            row = row_by_name.get(job.spec.customer)
            if row is None or not job.is_waiting:
                continue
            row.waiting += 1
            row.oldest_wait_s = max(row.oldest_wait_s, now_s - job.accepted_s)
        for name in self._load.waiting_excess.values():
            if name in row_by_name:
                row_by_name[name].excess += 1
        return row_by_name

    def _log(self, row: _CustomerRow, **fields) -> None:
        log.info(
            "customer_load" if "customer" in fields else "other_customers_load",
            **fields,
            used_milli=row.used.processors_milli,
            used_mb=row.used.memory_mb,
            used_accelerators=row.used.accelerators,
            waiting=row.waiting,
            oldest_wait_s=round(row.oldest_wait_s, 1),
            excess=row.excess,
            arrivals_per_s=round(row.arrivals_per_s, 1),
            refused_per_s=round(row.refused_per_s, 1),
            admitted=row.admitted,
            share_due=round(row.share_due, 4),
            share_received=round(row.share_received, 4),
        )

    def _set_gauges(self, row: _CustomerRow) -> None:
        label = self._labels.find(row.customer.name)
        if label is None:
            return
        values = {
            "weight": row.customer.weight,
            "cap_milli": row.customer.cap.processors_milli,
            "used_milli": row.used.processors_milli,
            "waiting": row.waiting,
            "oldest_wait_s": row.oldest_wait_s,
            "excess": row.excess,
            "refused_per_s": row.refused_per_s,
            "share_due": row.share_due,
            "share_received": row.share_received,
        }
        for field, value in values.items():
            self._context.metrics.gauge(f"customer_{field}_{label}", value)


def _size(row: _CustomerRow) -> tuple[float, int, float]:
    return row.share_received, row.waiting, row.arrivals_per_s


def _add_up(rows: list[_CustomerRow]) -> _CustomerRow:
    total = dataclasses.replace(rows[0])
    for row in rows[1:]:
        total.used = total.used + row.used
        total.oldest_wait_s = max(total.oldest_wait_s, row.oldest_wait_s)
        total.admitted = min(total.admitted, row.admitted)
        total.waiting += row.waiting
        total.excess += row.excess
        total.arrivals_per_s += row.arrivals_per_s
        total.refused_per_s += row.refused_per_s
        total.share_due += row.share_due
        total.share_received += row.share_received
    return total
