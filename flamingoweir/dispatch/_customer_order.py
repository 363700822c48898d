"""Orders ready steps by the shares of their customers."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Sequence

from ..fleet import Runner
from ..jobs import Job, StepRun
from ..policy import ABOVE_SHARE, AWAY_PRIORITY, BELOW_SHARE, EXCESS, FairShares
from ..resources import Resources
from ._owner_state import OwnerState

#: Number of excess jobs of a customer that a list has, at most, of those that have not
#: begun. A pass ends after some 40 steps without room; more would only cost time.
MAX_LISTED_EXCESS = 100
_NOTHING = Resources()


def drop_surplus_excess(jobs: list[Job], owner_state: OwnerState) -> list[Job]:
    """Return the jobs without the excess that has no prospect of being placed.

    Of each customer, the latest `MAX_LISTED_EXCESS` excess jobs that have not begun are
    kept: earlier ones are late already.
    """
    load = owner_state.customer_load
    if not load.in_force or not load.has_excess:
        return jobs
    kept = []
    listed_by_customer: dict[str, int] = {}
    for job in reversed(jobs):
        spec = job.spec
        if spec.customer and job.is_waiting and load.is_excess(spec.id):
            listed = listed_by_customer.get(spec.customer, 0)
            if listed >= MAX_LISTED_EXCESS:
                continue
            listed_by_customer[spec.customer] = listed + 1
        kept.append(job)
    kept.reverse()
    return kept


def rank_by_customer(
    ready: list[tuple[tuple, int, StepRun]],
    owner_state: OwnerState,
    usable: Iterable[Runner],
) -> list[tuple[tuple, int, StepRun]]:
    """Return ready steps whose sort keys contain the rank of their customers.

    The rank follows the priority. Without customers in the configuration, the keys stay
    as they are.

    Parameters
    ----------
    ready : list of (tuple, int, StepRun)
        Sort key, number and step of each ready step.
    owner_state : OwnerState
        Usage and load of customers; the shares of this list are stored there.
    usable : iterable of Runner
        Runners that may be given tasks.
    """
    load = owner_state.customer_load
    load.shares = None
    if not load.in_force:
        return ready
    load.shares = _find_shares(ready, owner_state, usable)
    rank_by_customer: dict[str, int] = {}
    ranked = []
    for key, number, step in ready:
        rank = BELOW_SHARE
        spec = step.job.spec
        if spec.customer and key[0] != AWAY_PRIORITY:
            rank = rank_by_customer.get(spec.customer)
            if rank is None:
                is_below = load.shares.is_below(spec.customer)
                rank = BELOW_SHARE if is_below else ABOVE_SHARE
                rank_by_customer[spec.customer] = rank
            if load.is_excess(spec.id):
                rank = EXCESS
        ranked.append(((key[0], rank, *key[1:]), number, step))
    return ranked


def _find_shares(
    ready: Iterable[tuple[tuple, int, StepRun]],
    owner_state: OwnerState,
    usable: Iterable[Runner],
) -> FairShares:
    """Return the shares, with all customers that use or want capacity."""
    load = owner_state.customer_load
    find_used = owner_state.customer_usage.used_by
    capacity = Resources()
    for runner in usable:
        capacity = capacity + runner.entry.capacity
    shares = FairShares(capacity, load.weight, find_used)
    for name in load.customer_by_name:
        if find_used(name) != _NOTHING:
            shares.add_active(name)
    for _, _, step in ready:
        if step.job.spec.customer:
            shares.add_active(step.job.spec.customer)
    return shares


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
    shares : FairShares or None
        Shares of the customers; None without customers.
    """

    def __init__(
        self,
        steps: Iterable[StepRun],
        key_by_step: dict[StepRun, tuple],
        shares: FairShares | None,
    ):
        self._steps = deque(steps)
        self._key_by_step = key_by_step
        self._shares = shares
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
        if self._shares is None:
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
        return not self._shares.is_below(spec.customer)
