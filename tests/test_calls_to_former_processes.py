"""Calls to a runner's former process make no task run twice.

Real daemons and real runner processes: the next process of a runner, under its id and
at its address, gets what was sent to the former one, and is cut off soon after.
"""

import pathlib

import anyio

from benchmarks.recut import RecutOptions, RecutRig, RigRecord, find_broken


def test_runners_that_restart_and_are_cut_off_run_no_task_twice(tmp_path):
    options = RecutOptions(
        pathlib.Path.cwd(),
        tmp_path,
        seed=26,
        restarts=1,
        handed_on=1.0,
        runners=4,
        warm_up_s=4.0,
        cut_s=7.0,
        calm_s=0.5,
    )
    result = anyio.run(RecutRig(options).run)
    assert result.broken == []
    assert result.counts["start after restart"] > 0


def test_rig_finds_tasks_that_run_twice_or_again():
    records = [
        RigRecord(1.0, "start", "a", 1, "i-0", 1),
        RigRecord(2.0, "start", "a", 2, "i-1", 1),
        RigRecord(3.0, "lapsed", "a", 1, "i-0", 1),
        RigRecord(1.0, "start", "b", 1, "i-0", 1),
        RigRecord(2.0, "done", "b", 1, "i-0", 1),
        RigRecord(2.5, "start", "b", 2, "i-1", 1),
        RigRecord(3.0, "noted", "b", 1, "i-0", 1),
    ]
    assert len(find_broken(records, 0.0)) == 2


def test_rig_allows_runs_after_crashes_and_after_ends_that_lapsed():
    records = [
        RigRecord(1.0, "start", "a", 1, "i-0", 1),
        RigRecord(2.0, "crashed", "a", 1, "i-0", 1),
        RigRecord(2.1, "start", "a", 1, "i-0", 2),
        RigRecord(2.2, "done", "a", 1, "i-0", 2),
        RigRecord(2.3, "reopened", "a", 1, "i-0", 2),
        RigRecord(2.4, "start", "a", 2, "i-1", 1),
        RigRecord(2.5, "noted", "a", 1, "i-0", 2),
    ]
    assert find_broken(records, 0.0) == []
