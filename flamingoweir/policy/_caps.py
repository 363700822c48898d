"""Whether a customer's cap lets a task or a gang start.

The sum that a customer has running may exceed its cap by one task at most, and a cap
may be lowered far below what is running. Without the second condition of
`allows_task`, a task that is larger than half of the cap would wait behind the
customer's small tasks for as long as some of them run, and a task larger than the cap
would wait forever.

Answers a customer that submits four to ten times what its cap lets run, and caps that
operators lower, raise and remove meanwhile.
"""

from collections.abc import Iterator, Sequence

from ..jobs import StepSpec
from ..resources import Resources


def allows_task(cap: Resources, used: Resources, demand: Resources) -> bool:
    """Return whether a task may start.

    In each resource with a cap, it must fit under the cap, or less than half of the cap
    must be in use.

    Parameters
    ----------
    cap : Resources
        Cap of the customer; 0: no limit.
    used : Resources
        Sum of the demands of the customer's allocations.
    demand : Resources
        Resources that the task uses.
    """
    for limit, before, after in _by_resource(cap, used, used + demand):
        if limit and after > limit and 2 * before >= limit:
            return False
    return True


def allows_gang(cap: Resources, used: Resources, spec: StepSpec) -> bool:
    """Return whether all tasks of a gang together fit under the cap.

    Parameters
    ----------
    cap, used : Resources
        As for `allows_task`.
    spec : StepSpec
        The gang.
    """
    return is_within(cap, used + gang_demand(spec))


def is_within(cap: Resources, used: Resources) -> bool:
    """Return whether no amount in use exceeds the cap of its resource."""
    for limit, in_use, _ in _by_resource(cap, used, used):
        if limit and in_use > limit:
            return False
    return True


def is_below_half(cap: Resources, used: Resources) -> bool:
    """Return whether less than half of the cap of each resource is in use."""
    for limit, in_use, _ in _by_resource(cap, used, used):
        if limit and 2 * in_use >= limit:
            return False
    return True


def find_oversized_gang(cap: Resources, steps: Sequence[StepSpec]) -> int | None:
    """Return the number of the first gang that is larger than a cap, or None.

    It could never start while that cap is in force.
    """
    for number, spec in enumerate(steps):
        if spec.gang and not is_within(cap, gang_demand(spec)):
            return number
    return None


def gang_demand(spec: StepSpec) -> Resources:
    """Return the resources that all tasks of a gang use together."""
    demand = spec.demand
    return Resources(
        spec.count * demand.processors_milli,
        spec.count * demand.memory_mb,
        spec.count * demand.accelerators,
    )


def _by_resource(*amounts: Resources) -> Iterator[tuple[int, ...]]:
    """Yield the values of all amounts, for one resource after the other."""
    yield tuple(amount.processors_milli for amount in amounts)
    yield tuple(amount.memory_mb for amount in amounts)
    yield tuple(amount.accelerators for amount in amounts)
