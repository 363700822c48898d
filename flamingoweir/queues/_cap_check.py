"""Whether a job has a gang that its customer's cap never lets start."""

from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec
from ..logs import get_logger
from ..policy import find_oversized_gang, gang_demand
from ..registry import Configuration

log = get_logger()


def find_cap_error(
    spec: JobSpec, configuration: Configuration | None
) -> FlamingoweirError | None:
    """Return the error for a job with a gang larger than the cap, or None."""
    customer = None
    if spec.customer and configuration is not None:
        customer = configuration.customer_by_name.get(spec.customer)
    if customer is None:
        return None
    number = find_oversized_gang(customer.cap, spec.steps)
    if number is None:
        return None
    demand = gang_demand(spec.steps[number])
    log.info(
        "gang_exceeds_cap",
        job=spec.id,
        customer=customer.name,
        step=number,
        demand=demand.as_text(),
        cap=customer.cap.as_text(),
        configuration=configuration.version,
    )
    return FlamingoweirError(
        ErrorCode.NEVER_FITS,
        f"job {spec.id}: the tasks of step {number} must run at the same time and use "
        f"more than the cap of customer {customer.name!r}: {demand.as_text()} of "
        f"{customer.cap.as_text()} (processors / 1000, MB, accelerators); submit a "
        "smaller step",
    )
