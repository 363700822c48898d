"""Each safety rule is taken out once, and the history check must notice.

The plans and seeds were found by random search; docs/design/0009 lists them.
"""

import dataclasses
import math

import pytest

from flamingoweir.membership import StartPermit
from flamingoweir.scheduling import Task, WorkerSession, _keeper, _owner, _session
from flamingoweir.scheduling._assignment import Standing
from flamingoweir.scheduling._journal import Journal
from tests import test_outages
from tests.test_run_once import run_plan
from tests.utils.builders import make_timings
from tests.utils.virtual_time import run_virtual

#: Faults: (moment, kind, target, length).
SIMPLE = [
    (56.9, "worker_restart", 0, 3.4),
    (32.2, "worker_cut", 0, 36.4),
    (12.9, "pause", 6, 17.0),
]
ZONE_MOVE = [
    (56.9, "race", 6, 2.5),
    (13.3, "zone_out", 2, 11.9),
    (8.7, "pause", 4, 22.6),
    (40.9, "pause", 3, 15.2),
    (32.9, "pause", 0, 25.0),
]
LATE_MESSAGES = [
    (25.7, "worker_cut", 7, 23.6),
    (27.2, "lossy", 3, 31.9),
    (41.9, "store_cut", 1, 23.2),
    (31.5, "worker_cut", 7, 11.9),
    (58.8, "pause", 6, 7.0),
]
PAUSED_OWNER = [
    (7.8, "store_cut", 6, 15.9),
    (52.3, "pause", 2, 18.2),
    (33.0, "store_down", 6, 34.6),
]


def without_wait_for_lapse(patch):
    patch.setattr(_session, "worker_lapse_s", lambda timings: 0.0)


def without_wait_for_orphans(patch):
    patch.setattr(_keeper, "orphan_wait_s", lambda timings: 0.0)


def without_start_window(patch):
    compose = WorkerSession._compose

    def changed(self):
        return dataclasses.replace(compose(self), start_by_s=math.inf)

    patch.setattr(WorkerSession, "_compose", changed)


def without_rising_epoch(patch):
    create = WorkerSession.__init__

    def changed(self, *args, **fields):
        create(self, *args, **fields)
        self._epoch = 1

    patch.setattr(WorkerSession, "__init__", changed)


def without_ledger(patch):
    def changed(self, assignment, allowed):
        if not allowed or assignment.order is not None:
            return False
        if assignment.standing is Standing.AHEAD:
            self.ledger.force(assignment.task, assignment.spec.needs)
            assignment.standing = Standing.SENT
        return assignment.standing is Standing.SENT

    patch.setattr(WorkerSession, "_is_startable", changed)


def without_commitment_of_unknown_attempts(patch):
    def changed(self, assignment):
        assignment.standing = Standing.AHEAD
        self._hold(assignment)

    patch.setattr(WorkerSession, "adopt", changed)


def without_store_fence(patch):
    write = Journal._write

    async def changed(self, row, preconditions, writes):
        current = await self._read_row()
        if self._version and current:
            self._version = current.version
        await write(self, row, preconditions, writes)

    patch.setattr(Journal, "_write", changed)


def without_durable_assignment(patch):
    place = _owner.ShardOwner._place

    def changed(self, batch):
        place(self, batch)
        for worker, assignment in batch.assignments:
            self.sessions.by_worker[worker].assign(assignment)
        batch.assignments.clear()

    patch.setattr(_owner.ShardOwner, "_place", changed)


def without_permit(patch):
    patch.setattr(StartPermit, "is_fresh", lambda self: True)


def without_checkpoint_in_moves(patch):
    carried = Task.carried

    def changed(self):
        return dataclasses.replace(carried(self), checkpoint="")

    patch.setattr(Task, "carried", changed)


@pytest.mark.parametrize(
    ("rule", "plan", "seed"),
    [
        (without_wait_for_lapse, LATE_MESSAGES, 358671),
        (without_rising_epoch, SIMPLE, 252353),
        (without_ledger, SIMPLE, 252353),
        (without_commitment_of_unknown_attempts, PAUSED_OWNER, 291945),
        (without_store_fence, ZONE_MOVE, 520528),
        (without_checkpoint_in_moves, ZONE_MOVE, 520528),
    ],
)
def test_a_history_shows_that_a_rule_is_missing(rule, plan, seed, monkeypatch):
    bound_s = make_timings().zone_out_bound_s
    run_virtual(run_plan, plan, seed).check(bound_s)
    rule(monkeypatch)
    with pytest.raises(AssertionError):
        run_virtual(run_plan, plan, seed).check(bound_s)


@pytest.mark.parametrize(
    ("rule", "scenario"),
    [
        (
            without_wait_for_orphans,
            test_outages.test_a_worker_only_the_deposed_owner_reaches_keeps_its_tasks,
        ),
        (
            without_start_window,
            test_outages.test_a_start_that_arrives_late_is_refused,
        ),
        (
            without_durable_assignment,
            test_outages.test_an_assignment_that_is_not_durable_is_not_started,
        ),
        (
            without_permit,
            test_outages.test_zone_cut_from_both_stops_starting_and_goes_on_running,
        ),
    ],
)
def test_a_scenario_shows_that_a_rule_is_missing(rule, scenario, monkeypatch):
    rule(monkeypatch)
    with pytest.raises(BaseExceptionGroup) as raised:
        scenario()
    assert raised.group_contains(AssertionError)
