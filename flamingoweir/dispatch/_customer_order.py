"""Orders ready steps by the shares of their customers."""

import functools
import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence

from ..fleet import Runner
from ..jobs import StepRun
from ..policy import ABOVE_SHARE, AWAY_PRIORITY, BELOW_SHARE, EXCESS, FairShares
from ..resources import Resources
from ._owner_state import OwnerState

#: Number of steps in excess that a list has, at most, of those that are alike. A pass
#: ends after some 40 steps without room; more would only cost time.
MAX_LISTED_EXCESS = 100


def drop_surplus_excess(
    ready: list[tuple[tuple, int, StepRun]], owner_state: OwnerState
) -> list[tuple[tuple, int, StepRun]]:
    """Return ready steps without the excess that has no prospect of being placed.

    Of jobs in excess that have not begun, the earliest `MAX_LISTED_EXCESS` steps of
    each kind are kept; see `_kind_of`. If none of these finds room, no other step of
    the kind does. Steps of scheduled and long-running jobs are all kept.

    Parameters
    ----------
    ready : list of (tuple, int, StepRun)
        Sort key, number and step of each ready step.
    owner_state : OwnerState
        Load of the customers.
    """
    load = owner_state.customer_load
    excess_ids = load.excess_ids
    if not load.in_force or not excess_ids:
        return ready
    excess_by_kind: dict[tuple, list[tuple[int, int]]] = {}
    for key, number, step in ready:
        job = step.job
        if job.spec.id not in excess_ids or not job.is_waiting:
            continue
        if not job.spec.scheduled and not job.spec.lasting:
            excess = excess_by_kind.setdefault(_kind_of(key, step), [])
            excess.append((job.spec.accepted_ms, number))
    dropped = set()
    for excess in excess_by_kind.values():
        if len(excess) > MAX_LISTED_EXCESS:
            excess.sort()
            dropped.update(number for _, number in excess[MAX_LISTED_EXCESS:])
    if not dropped:
        return ready
    return [entry for entry in ready if entry[1] not in dropped]


def _kind_of(key: tuple, step: StepRun) -> tuple:
    """Return what decides which runners have room for a step, and its priority."""
    spec, job_spec = step.spec, step.job.spec
    return (
        job_spec.customer,
        job_spec.policy.service,
        spec.label,
        key[0],
        spec.demand,
        spec.uses_spare,
        spec.image,
        spec.gang and len(step.open_indexes),
    )


class CustomerRanking:
    """Adds the ranks of customers to the sort keys of ready steps.

    Ranks and shares are those of the time when the object is made; they are looked up
    once for each customer and service, as a list may have thousands of steps.

    Parameters
    ----------
    owner_state : OwnerState
        Usage and load of the customers; their shares are stored there.
    ready : iterable of (tuple, int, StepRun)
        Sort key, number and step of each ready step.
    usable : iterable of Runner
        Runners that may be given tasks.
    """

    def __init__(
        self,
        owner_state: OwnerState,
        ready: Iterable[tuple[tuple, int, StepRun]],
        usable: Iterable[Runner],
    ):
        self._load = owner_state.customer_load
        wanting = set()
        for _, _, step in ready:
            spec = step.job.spec
            if spec.customer:
                wanting.add((spec.policy.service, spec.customer))
        shares = _find_shares(wanting, owner_state, usable)
        self._rank_by_user: dict[tuple[str, str], int] = {}
        for service, name in wanting:
            rank = BELOW_SHARE if shares[service].is_below(name) else ABOVE_SHARE
            self._rank_by_user[service, name] = rank
        self._load.shares_by_service = shares

    def add_ranks(
        self, ready: Iterable[tuple[tuple, int, StepRun]]
    ) -> list[tuple[tuple, int, StepRun]]:
        """Return ready steps with the rank after the priority in their sort keys."""
        excess_ids = self._load.excess_ids
        ranked = []
        for key, number, step in ready:
            spec = step.job.spec
            user = (spec.policy.service, spec.customer)
            rank = self._rank_by_user.get(user, BELOW_SHARE)
            if spec.id in excess_ids:
                rank = EXCESS
            if key[0] == AWAY_PRIORITY:
                rank = BELOW_SHARE
            ranked.append(((key[0], rank, *key[1:]), number, step))
        return ranked


def _find_shares(
    wanting: Iterable[tuple[str, str]],
    owner_state: OwnerState,
    usable: Iterable[Runner],
) -> dict[str, FairShares]:
    """Return the shares by service, with all customers that use or want capacity.

    Parameters
    ----------
    wanting : iterable of (str, str)
        Services and customers that want capacity of them.
    owner_state : OwnerState
        Usage and load of the customers.
    usable : iterable of Runner
        Runners that may be given tasks.
    """
    load, usage = owner_state.customer_load, owner_state.customer_usage.by_service
    names_by_service = {name: set(usage.customers_of(name)) for name in usage.services}
    for service, customer in wanting:
        names_by_service.setdefault(service, set()).add(customer)
    # Sums of processors, memory and accelerators.
    sums_by_service = {service: [0, 0, 0] for service in names_by_service}
    for runner in usable:
        sums = sums_by_service.get(runner.entry.service)
        if sums is not None:
            capacity = runner.entry.capacity
            sums[0] += capacity.processors_milli
            sums[1] += capacity.memory_mb
            sums[2] += capacity.accelerators
    shares_by_service = {}
    for service, names in names_by_service.items():
        shares_by_service[service] = FairShares(
            Resources(*sums_by_service[service]),
            {name: load.weight(name) for name in sorted(names)},
            functools.partial(usage.used_by, service),
        )
    return shares_by_service


class StepQueue:
    """Steps of a pass, the most urgent first.

    A step whose customer has exceeded its fair share since the list was made goes back
    behind those of customers that are below theirs. A customer's share is compared
    before each step, so that one with a wide step is served too.

    Parameters
    ----------
    steps : iterable of StepRun
        The steps in order.
    key_by_step : dict of StepRun to tuple
        Sort keys with ranks; empty without customers.
    shares_by_service : mapping of str to FairShares, or None
        Shares of the customers of each service; None without customers.
    """

    def __init__(
        self,
        steps: Iterable[StepRun],
        key_by_step: dict[StepRun, tuple],
        shares_by_service: Mapping[str, FairShares] | None,
    ):
        self._steps = deque(steps)
        self._key_by_step = key_by_step
        self._shares_by_service = shares_by_service
        self._demoted: list[tuple[tuple, int, StepRun]] = []
        self._demoted_count = 0

    def __bool__(self) -> bool:
        return bool(self._steps or self._demoted)

    def __iter__(self) -> Iterator[StepRun]:
        yield from self._steps
        for _, _, step in self._demoted:
            yield step

    def pop(self) -> StepRun:
        """Remove and return the most urgent step."""
        if self._shares_by_service is None:
            return self._steps.popleft()
        while self._steps:
            step = self._steps[0]
            key = self._key_by_step[step]
            if self._demoted and self._demoted[0][0] < key:
                break
            self._steps.popleft()
            if not self._has_lost_rank(step, key):
                return step
            self._demoted_count += 1
            key = (key[0], ABOVE_SHARE, *key[2:])
            heapq.heappush(self._demoted, (key, self._demoted_count, step))
        return heapq.heappop(self._demoted)[2]

    def _has_lost_rank(self, step: StepRun, key: Sequence) -> bool:
        spec = step.job.spec
        if key[1] != BELOW_SHARE or key[0] == AWAY_PRIORITY or not spec.customer:
            return False
        shares = self._shares_by_service[spec.policy.service]
        return not shares.is_below(spec.customer)
