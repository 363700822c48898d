"""Tests that the checks of histories detect the removal of each safety rule.

Each test disables one rule of the scheduler and expects a check to fail. Without these
tests, a check that passes could mean that it never exercises the rule. Most rules are
tested with random plans of faults from a fixed seed. Rules that such plans rarely need
have a scenario of their own. docs/design/0009 has a table of the rules.
"""

import dataclasses
import math
import random

import pytest

from flamingoweir.membership import StartPermit
from flamingoweir.scheduling import Task, WorkerSession, _manager, _owner, _session
from flamingoweir.scheduling._assignment import AssignmentState
from flamingoweir.scheduling._journal import Journal
from tests import test_outages
from tests.test_outages import ZONE_OUT_BOUND_S
from tests.test_run_once import FAULT_PERIOD_S, FAULTS, run_plan
from tests.utils.virtual_time import run_virtual

PLAN_COUNT = 80


def make_plans():
    """Yield plans of faults and their seeds; they are the same in every run."""
    generator = random.Random(7)
    for _ in range(PLAN_COUNT):
        plan = []
        for _ in range(generator.randint(1, 5)):
            at_s = round(generator.uniform(0, FAULT_PERIOD_S), 1)
            kind = generator.choice(FAULTS)
            length_s = round(generator.uniform(0.5, 40), 1)
            plan.append((at_s, kind, generator.randrange(8), length_s))
        yield plan, generator.randrange(10**6)


def find_violation():
    """Return the first plan and seed whose history violates a guarantee, or None."""
    for plan, seed in make_plans():
        history = run_virtual(run_plan, plan, seed)
        try:
            history.check(ZONE_OUT_BOUND_S)
        except AssertionError:
            return plan, seed
    return None


def without_wait_for_lapse(patch):
    """Presume that leases lapse as soon as a worker can't be reached."""
    patch.setattr(_session, "worker_lapse_s", lambda timings: 0.0)


def without_wait_for_orphans(patch):
    """Let a successor ignore leases that the earlier owner may have renewed."""
    patch.setattr(_manager, "orphan_wait_s", lambda timings: 0.0)


def without_start_window(patch):
    """Let a worker accept a START however late it arrives."""
    build_message = WorkerSession._build_message

    def changed(self):
        return dataclasses.replace(build_message(self), start_by_s=math.inf)

    patch.setattr(WorkerSession, "_build_message", changed)


def without_rising_epoch(patch):
    """Let workers accept commands of earlier owners of a shard."""
    initialize = WorkerSession.__init__

    def changed(self, *args, **fields):
        initialize(self, *args, **fields)
        self._epoch = 1

    patch.setattr(WorkerSession, "__init__", changed)


def without_ledger(patch):
    """Start tasks on a worker whose resources are taken."""

    def changed(self, assignment, allowed):
        if not allowed or assignment.end_command is not None:
            return False
        if assignment.state is AssignmentState.UNSENT:
            self.ledger.commit_unchecked(assignment.task, assignment.spec.needs)
            assignment.state = AssignmentState.SENT
        return assignment.state is AssignmentState.SENT

    patch.setattr(WorkerSession, "_prepare_start", changed)


def without_commitment_of_unknown_attempts(patch):
    """Start assignments of an earlier owner again, although they may be running."""

    def changed(self, assignment):
        assignment.state = AssignmentState.UNSENT
        self._add_assignment(assignment)

    patch.setattr(WorkerSession, "adopt", changed)


def without_store_fence(patch):
    """Let an earlier owner write to a shard that another instance has acquired."""
    write = Journal._write

    async def changed(self, row, preconditions, writes):
        current = await self._read_row()
        if self._version and current:
            self._version = current.version
        await write(self, row, preconditions, writes)

    patch.setattr(Journal, "_write", changed)


def without_durable_assignment(patch):
    """Start tasks before their assignment is committed."""
    place = _owner.ShardOwner._place

    def changed(self, pending):
        place(self, pending)
        for worker, assignment in pending.assignments:
            self.sessions.session_by_worker[worker].assign(assignment)
        pending.assignments.clear()

    patch.setattr(_owner.ShardOwner, "_place", changed)


def without_permit(patch):
    """Start tasks without recent settings, which may take the zone out."""
    patch.setattr(StartPermit, "is_fresh", lambda self: True)


def without_checkpoint_in_moves(patch):
    """Lose the checkpoint of a task that is moved to another shard."""
    copy_for_move = Task.copy_for_move

    def changed(self):
        return dataclasses.replace(copy_for_move(self), checkpoint="")

    patch.setattr(Task, "copy_for_move", changed)


@pytest.mark.parametrize(
    "rule",
    [
        without_wait_for_lapse,
        without_rising_epoch,
        without_ledger,
        without_commitment_of_unknown_attempts,
        without_store_fence,
        without_checkpoint_in_moves,
    ],
)
def test_random_histories_detect_a_disabled_rule(rule, monkeypatch):
    """The check must fail for a plan, and pass for it once the rule is restored."""
    rule(monkeypatch)
    found = find_violation()
    assert found is not None, f"{PLAN_COUNT} histories passed {rule.__name__}"
    monkeypatch.undo()
    run_virtual(run_plan, *found).check(ZONE_OUT_BOUND_S)


@pytest.mark.parametrize(
    ("rule", "scenario"),
    [
        (
            without_wait_for_orphans,
            test_outages.test_worker_reached_only_by_a_replaced_owner_keeps_tasks,
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
            test_outages.test_disconnected_zone_stops_starting_and_keeps_running,
        ),
    ],
)
def test_scenario_detects_a_disabled_rule(rule, scenario, monkeypatch):
    """The scenario, which passes with the rule, must fail an assertion without it."""
    rule(monkeypatch)
    with pytest.raises(BaseExceptionGroup) as raised:
        scenario()
    assert raised.group_contains(AssertionError)
