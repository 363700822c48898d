"""Checks of a run against the events that the workers recorded."""

import dataclasses
from collections import defaultdict
from dataclasses import dataclass, field

from flamingoweir.resources import Resources
from flamingoweir.standins import StandinWorker, WorkerEvent


@dataclass
class History:
    """Record of a run; the ``check`` methods raise `AssertionError` for violations.

    All times are in seconds of virtual time.

    Attributes
    ----------
    workers : list of StandinWorker
        The workers, with the events that they recorded.
    clock_rate_by_worker : dict of str to float
        Rate of each worker's clock. A worker records its events in its own time.
    incidents : list of tuple
        (worker, from, until): spans in which a worker was disconnected or restarted.
        An end that the worker recorded then may never have been reported to an owner.
    zone_out_spans : list of tuple
        (zone, from, until): spans from an accepted decision to take a zone out until
        before the decision to bring it back.
    job_ends : list of tuple
        (job, time) at which all tasks of a job were known to have ended.
    versions_by_process : dict of str to list of int
        Settings versions that each process had, in order.
    """

    workers: list[StandinWorker]
    clock_rate_by_worker: dict[str, float]
    incidents: list[tuple[str, float, float]] = field(default_factory=list)
    zone_out_spans: list[tuple[str, float, float]] = field(default_factory=list)
    job_ends: list[tuple[str, float]] = field(default_factory=list)
    versions_by_process: dict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def events(self) -> list[WorkerEvent]:
        """Return the events of all workers by time, converted to virtual time."""
        events = []
        for worker in self.workers:
            rate = self.clock_rate_by_worker[worker.name]
            for event in worker.records:
                events.append(dataclasses.replace(event, at_s=event.at_s / rate))
        events.sort(key=lambda event: event.at_s)
        return events

    def check(self, zone_out_bound_s: float) -> None:
        """Run all checks.

        Parameters
        ----------
        zone_out_bound_s : float
            Seconds after a decision to take a zone out within which tasks may still
            start there.
        """
        self.check_no_concurrent_attempts()
        self.check_capacity()
        self.check_no_start_after_end()
        self.check_resumed_checkpoints()
        self.check_zone_out_bound(zone_out_bound_s)
        self.check_versions()

    def check_no_concurrent_attempts(self) -> None:
        """Check that no task runs twice at the same time."""
        start_by_task: dict[str, WorkerEvent] = {}
        for event in self.events():
            start = start_by_task.get(event.task)
            if event.kind == "start":
                assert start is None, f"{event} while the task runs: {start}"
                start_by_task[event.task] = event
                continue
            assert start is not None, f"{event} without a start"
            assert start.worker == event.worker, (
                f"{event} ends an attempt of another worker: {start}"
            )
            del start_by_task[event.task]

    def check_capacity(self) -> None:
        """Check that no worker exceeds its capacity or refuses a start over it."""
        for worker in self.workers:
            used = Resources()
            for event in worker.records:
                if event.kind == "start":
                    used = used + event.needs
                    assert used.fits_in(worker.capacity), (
                        f"{event} exceeds the capacity: {used} in use"
                    )
                    continue
                used = used - event.needs
            for refusal in worker.refusals:
                assert refusal.detail != "capacity", (
                    f"{worker.name} refused a start for lack of capacity: {refusal}"
                )

    def check_no_start_after_end(self) -> None:
        """Check that no task starts after it ended, and no attempt starts twice.

        A task may start again if an incident may have kept the report of its end from
        the owner.
        """
        done_by_task: dict[str, WorkerEvent] = {}
        attempts: set[tuple[str, int]] = set()
        for event in self.events():
            if event.kind == "done":
                done_by_task[event.task] = event
            if event.kind != "start":
                continue
            done = done_by_task.get(event.task)
            assert done is None or self._may_be_unreported(done, event.at_s), (
                f"{event} after the task ended: {done}"
            )
            identity = (event.task, event.attempt)
            assert identity not in attempts, f"attempt started twice: {event}"
            attempts.add(identity)
        for job, end_s in self.job_ends:
            for event in self.events():
                if event.kind == "start" and event.task.startswith(f"{job}/"):
                    assert event.at_s <= end_s, f"{event} after {job} ended"

    def check_resumed_checkpoints(self) -> None:
        """Check that each attempt resumes from the newest reported checkpoint.

        A checkpoint may be skipped if an incident may have kept its report from the
        owner.
        """
        checkpoints_by_task: dict[str, list[WorkerEvent]] = defaultdict(list)
        for event in self.events():
            checkpoints = checkpoints_by_task[event.task]
            if event.kind == "checkpointed":
                checkpoints.append(event)
            if event.kind != "start":
                continue
            while checkpoints and checkpoints[-1].checkpoint != event.checkpoint:
                assert self._may_be_unreported(checkpoints[-1], event.at_s), (
                    f"{event} ignores the checkpoint {checkpoints[-1]}"
                )
                checkpoints.pop()
            names = [other.checkpoint for other in checkpoints]
            assert event.checkpoint == (names[-1] if names else ""), event

    def check_zone_out_bound(self, bound_s: float) -> None:
        """Check that no task starts in a zone later than `bound_s` after it is out."""
        for zone, from_s, until_s in self.zone_out_spans:
            for event in self.events():
                if event.kind != "start" or not event.worker.startswith(f"{zone}-"):
                    continue
                is_late = from_s + bound_s < event.at_s < until_s
                assert not is_late, f"{event} in zone {zone}, out since {from_s}"

    def check_versions(self) -> None:
        """Check that no process goes back to an older settings version."""
        for process, versions in self.versions_by_process.items():
            assert versions == sorted(versions), (
                f"settings version of {process} went back: {versions}"
            )

    def _may_be_unreported(self, event: WorkerEvent, until_s: float) -> bool:
        """Return whether an incident may have kept an event from the owner."""
        for worker, from_s, to_s in self.incidents:
            if worker == event.worker and from_s <= until_s and to_s >= event.at_s:
                return True
        return False
