"""Checks a run by the workers' own record."""

import dataclasses
from collections import defaultdict
from dataclasses import dataclass, field

from flamingoweir.resources import Resources
from flamingoweir.standins import StandinWorker, WorkerEvent


@dataclass
class History:
    """What happened in a run.

    Attributes
    ----------
    workers
        The workers, with their records.
    clock_rate_by_worker
        How fast each worker's clock runs; records are in its time.
    incidents
        (worker, from, until) during which a worker was cut off or restarted; an
        end that it recorded then may never have been told to an owner.
    closed
        (zone, from, until) between accepted decisions about a zone.
    ended
        (job, moment) at which all of a job's tasks were known to have ended.
    versions
        Settings versions in the order in which each process had them.
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
        found = []
        for worker in self.workers:
            rate = self.clock_rate_by_worker[worker.name]
            for event in worker.records:
                found.append(dataclasses.replace(event, at_s=event.at_s / rate))
        found.sort(key=lambda event: event.at_s)
        return found

    def check(self, zone_out_bound_s: float) -> None:
        self.check_one_place()
        self.check_capacity()
        self.check_after_end()
        self.check_resumes()
        self.check_closed_zones(zone_out_bound_s)
        self.check_versions()

    def check_one_place(self) -> None:
        place_by_task: dict[str, WorkerEvent] = {}
        for event in self.events():
            running = place_by_task.get(event.task)
            if event.kind == "start":
                assert running is None, f"{event} while {running}"
                place_by_task[event.task] = event
                continue
            assert running is not None, f"{event} without a start"
            assert running.worker == event.worker, f"{event} after {running}"
            del place_by_task[event.task]

    def check_capacity(self) -> None:
        for worker in self.workers:
            used = Resources()
            for event in worker.records:
                if event.kind == "start":
                    used = used + event.needs
                    assert used.fits_in(worker.capacity), f"{event} makes {used}"
                    continue
                used = used - event.needs
            for refusal in worker.refusals:
                assert refusal.detail != "capacity", (
                    f"guard of {worker.name}: {refusal}"
                )

    def check_after_end(self) -> None:
        done_by_task: dict[str, WorkerEvent] = {}
        attempts: set[tuple[str, int]] = set()
        for event in self.events():
            if event.kind == "done":
                done_by_task[event.task] = event
            if event.kind != "start":
                continue
            done = done_by_task.get(event.task)
            assert done is None or self._untold(done, event.at_s), (
                f"{event} after {done}"
            )
            identity = (event.task, event.attempt)
            assert identity not in attempts, f"attempt started twice: {event}"
            attempts.add(identity)
        for job, moment_s in self.job_ends:
            for event in self.events():
                if event.kind == "start" and event.task.startswith(f"{job}/"):
                    assert event.at_s <= moment_s, f"{event} after {job} ended"

    def check_resumes(self) -> None:
        """Each attempt resumes from the newest checkpoint that was told."""
        left_by_task: dict[str, list[WorkerEvent]] = defaultdict(list)
        for event in self.events():
            left = left_by_task[event.task]
            if event.kind == "checkpointed":
                left.append(event)
            if event.kind != "start":
                continue
            while left and left[-1].checkpoint != event.checkpoint:
                assert self._untold(left[-1], event.at_s), f"{event} forgot {left[-1]}"
                left.pop()
            names = [other.checkpoint for other in left]
            assert event.checkpoint == (names[-1] if names else ""), event

    def check_closed_zones(self, bound_s: float) -> None:
        for zone, from_s, until_s in self.zone_out_spans:
            for event in self.events():
                if event.kind != "start" or not event.worker.startswith(f"{zone}-"):
                    continue
                late = from_s + bound_s < event.at_s < until_s
                assert not late, f"{event} in {zone}, out since {from_s}"

    def check_versions(self) -> None:
        for process, versions in self.versions_by_process.items():
            assert versions == sorted(versions), f"{process} went back: {versions}"

    def _untold(self, event: WorkerEvent, until_s: float) -> bool:
        """Whether an incident may have kept the owner from hearing of an end."""
        for worker, from_s, to_s in self.incidents:
            if worker == event.worker and from_s <= until_s and to_s >= event.at_s:
                return True
        return False
