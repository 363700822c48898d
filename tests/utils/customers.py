"""Customers in the configuration of a cluster, and recorded arrivals of their jobs."""

import anyio
import orjson

from flamingoweir.customers import Customer
from flamingoweir.errors import FlamingoweirError
from flamingoweir.jobs import Job, Outcome
from flamingoweir.policy import objective_s
from flamingoweir.storage import RowId
from tests.utils.cluster import Cluster, make_configuration, make_job, make_step


def configure_customers(cluster: Cluster, *customers: Customer, version: int = 2):
    """Write a configuration that names customers."""
    fields = orjson.loads(make_configuration(version))
    fields["Tenants"] = []
    for customer in customers:
        cap = {"Cpu": customer.cap.processors_milli, "MemMb": 0, "Gpu": 0}
        tenant = {"Name": customer.name, "Weight": customer.weight, "Cap": cap}
        fields["Tenants"].append(tenant)
    cluster.rows.put(RowId("op", "", "config"), orjson.dumps(fields))


class Arrivals:
    """Sends jobs of one task each, at given times, and records what became of them."""

    def __init__(self, cluster: Cluster, run_s: float = 1.0):
        self.cluster = cluster
        self.run_s = run_s
        self.sent_s: dict[str, float] = {}
        self.customer_by_id: dict[str, str] = {}
        self.error_by_id: dict[str, FlamingoweirError] = {}
        self._count = 0

    async def send(self, customer: str, count: int, interval_s: float) -> None:
        """Send a customer's jobs at a constant rate."""
        for _ in range(count):
            self._count += 1
            step = make_step(1, 1.0, estimate_s=self.run_s)
            accepted_ms = round(self.cluster.wall_ms())
            spec = make_job(
                self._count, step, customer=customer, accepted_ms=accepted_ms
            )
            self.cluster.plan_by_task[f"{spec.id}.0.0.0"] = (self.run_s, Outcome.DONE)
            self.sent_s[spec.id] = anyio.current_time()
            self.customer_by_id[spec.id] = customer
            members = list(self.cluster.member_by_name.values())
            try:
                await self.cluster.submit(spec, members[self._count % len(members)])
            except FlamingoweirError as error:
                self.error_by_id[spec.id] = error
            await anyio.sleep(interval_s)

    def started(self) -> dict[str, int]:
        """Return the number of tasks started, by customer."""
        count_by_customer: dict[str, int] = {}
        for record in self.cluster.records("start"):
            name = self.customer_by_id[record.task.job]
            count_by_customer[name] = count_by_customer.get(name, 0) + 1
        return count_by_customer

    def in_time(self, customer: str) -> float:
        """Return the fraction of a customer's jobs that ended within the objective."""
        ended_s = {r.task.job: r.at_s for r in self.cluster.records("done")}
        ids = [id for id, name in self.customer_by_id.items() if name == customer]
        allowed_s = objective_s(Job(self.cluster.spec_by_id[ids[0]]))
        in_time = 0
        for job_id in ids:
            in_time += ended_s.get(job_id, 1e9) - self.sent_s[job_id] <= allowed_s
        return in_time / len(ids)
