"""What an owner knows of the load that each customer causes."""

from collections.abc import Callable, Set

import orjson

from ..customers import Customer, CustomerLimit
from ..jobs import JobSpec
from ..policy import FairShares, RateMeter, TokenBucket
from ..registry import Configuration
from ..storage import VersionedRow

#: Weight of a customer that the configuration no longer names.
DEFAULT_WEIGHT = Customer("").weight
#: Least admitted fraction by which an arrival is counted. A smaller one in a row is not
#: of this system.
MIN_COUNTED_FRACTION = 0.001


class CustomerLoad:
    """Marks the submissions beyond a customer's rate, and measures arrivals.

    Marks are derived from the acceptance times of jobs. They are not stored: a new
    owner derives them anew from the rows of all jobs that are still in the store.

    Attributes
    ----------
    find_configuration : callable
        Returns the `Configuration` in force, or None before it is known.
    shares_by_service : dict of str to FairShares, or None
        Shares of the customers that use or want capacity of each service, as of the
        latest list of ready steps; None without customers.
    waiting_excess : dict of str to str
        Customers of excess jobs that have not begun, by job id.
    limit_by_customer : dict of str to CustomerLimit
        Limits to publish in the owner row.
    """

    def __init__(self) -> None:
        self.find_configuration: Callable[[], Configuration | None] = lambda: None
        self.shares_by_service: dict[str, FairShares] | None = None
        self.waiting_excess: dict[str, str] = {}
        self.limit_by_customer: dict[str, CustomerLimit] = {}
        self._excess_ids: set[str] = set()
        #: Acceptance time in milliseconds, id, customer and admitted fraction of jobs
        #: that are not marked yet.
        self._unmarked: list[tuple[float, str, str, float]] = []
        #: Customers of jobs that have arrived since marks were last made, by job id.
        self._undecided: dict[str, str] = {}
        self._restored_ids: set[str] = set()
        self._bucket_by_customer: dict[str, TokenBucket] = {}
        self._arrivals_by_customer: dict[str, RateMeter] = {}

    @property
    def customer_by_name(self) -> dict[str, Customer]:
        """Customers in force; empty where the configuration has no list of them."""
        configuration = self.find_configuration()
        if configuration is None or not configuration.names_customers:
            return {}
        return configuration.customer_by_name

    @property
    def in_force(self) -> bool:
        """Whether the configuration has a list of customers."""
        configuration = self.find_configuration()
        return configuration is not None and configuration.names_customers

    def weight(self, name: str) -> float:
        """Return the weight of a customer."""
        customer = self.customer_by_name.get(name)
        return DEFAULT_WEIGHT if customer is None else max(0.0, customer.weight)

    def add_restored(self, row: VersionedRow, now_ms: float) -> None:
        """Record the arrival of a job that an earlier owner may have known.

        Rows come in the order of their keys; marks are made in the order of acceptance
        once all rows have been recorded. Jobs that have ended count as well.

        Parameters
        ----------
        row : VersionedRow
            Row of the job.
        now_ms : float
            Wall-clock time in milliseconds since 1970.
        """
        value = row.value or b""
        if b'"customer":"' not in value or b'"customer":""' in value:
            return
        try:
            fields = orjson.loads(value)
            customer = str(fields["customer"])
            accepted_ms = int(fields["accepted_ms"])
            admitted = float(fields.get("admitted_fraction", 1.0))
        except (AttributeError, KeyError, TypeError, ValueError):
            # The loader reports rows that can't be read.
            return
        self._restored_ids.add(row.id.key)
        if accepted_ms > 0:
            at_ms = min(accepted_ms, now_ms)
            self._unmarked.append((at_ms, row.id.key, customer, admitted))

    def mark(self, spec: JobSpec, now_ms: float) -> bool:
        """Record the arrival of a job; return whether it is beyond its customer's rate.

        A job without a customer or an acceptance time never is.

        Parameters
        ----------
        spec : JobSpec
            The job.
        now_ms : float
            Wall-clock time in milliseconds since 1970. A job that an instance with a
            fast clock has accepted counts as accepted now; otherwise the jobs of all
            others would be beyond the rate until that time.
        """
        if not spec.customer:
            return False
        if spec.id in self._restored_ids:
            self._restored_ids.discard(spec.id)
        elif spec.accepted_ms > 0:
            at_ms = min(spec.accepted_ms, now_ms)
            self._unmarked.append(
                (at_ms, spec.id, spec.customer, spec.admitted_fraction)
            )
        self._undecided[spec.id] = spec.customer
        return self.is_excess(spec.id)

    def is_excess(self, job_id: str) -> bool:
        """Return whether a job is beyond the rate of its customer."""
        return job_id in self.excess_ids

    @property
    def excess_ids(self) -> Set[str]:
        """Ids of the jobs that are beyond the rates of their customers."""
        if (self._unmarked or self._undecided) and self.in_force:
            self._mark_all()
        return self._excess_ids

    def arrivals_per_s(self, customer: str, now_s: float) -> float:
        """Return the submissions per second, also refused ones, by the wall clock."""
        meter = self._arrivals_by_customer.get(customer)
        return meter.per_s(now_s) if meter is not None else 0.0

    def forget_ended(self, is_held: Callable[[str], bool]) -> None:
        """Drop what is known of jobs that have ended, and of customers without jobs."""
        self._excess_ids = {id for id in self._excess_ids if is_held(id)}
        self._restored_ids.clear()
        if self.find_configuration() is not None and not self.in_force:
            self._unmarked.clear()
            self._undecided.clear()
        known = self.customer_by_name
        for by_customer in (self._bucket_by_customer, self._arrivals_by_customer):
            for name in [name for name in by_customer if name not in known]:
                del by_customer[name]

    def _mark_all(self) -> None:
        """Mark the recorded arrivals, in the order of their acceptance."""
        arrivals, self._unmarked = sorted(self._unmarked), []
        for at_ms, job_id, customer, admitted in arrivals:
            at_s = at_ms / 1000
            bucket = self._bucket_by_customer.get(customer)
            if bucket is None:
                bucket = self._bucket_by_customer[customer] = TokenBucket()
                self._arrivals_by_customer[customer] = RateMeter()
            count = 1 / min(1.0, max(MIN_COUNTED_FRACTION, admitted))
            self._arrivals_by_customer[customer].add(at_s, count)
            if not bucket.take(at_s, self.weight(customer)):
                self._excess_ids.add(job_id)
        for job_id, customer in self._undecided.items():
            if job_id in self._excess_ids:
                self.waiting_excess[job_id] = customer
        self._undecided.clear()
