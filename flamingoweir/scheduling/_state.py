"""State of a shard, the result of applying its journal's events."""

import dataclasses
from dataclasses import dataclass, field

from ._events import (
    Event,
    JobCancelled,
    JobForgotten,
    TaskAssigned,
    TaskEnded,
    TasksAdded,
    TasksMovedOut,
    TasksRestored,
    TasksRetired,
)
from ._job import Job, Task, TaskState


@dataclass(slots=True)
class ShardState:
    """Jobs of a shard. Only events change them.

    Attributes
    ----------
    job_by_id : dict of str to Job
        Jobs with tasks that have not ended, and ended jobs until `JobForgotten`.
    """

    job_by_id: dict[str, Job] = field(default_factory=dict)

    def apply(self, event: Event) -> None:
        """Apply one event.

        Raises
        ------
        InvalidTransition
            If the state of the task does not allow the event.
        """
        match event:
            case TasksAdded():
                self._add(event)
            case TasksRestored():
                self._restore(event)
            case TaskAssigned():
                job = self.job_by_id[event.job]
                job.assign(event.index, event.worker, event.attempt)
            case TaskEnded():
                job = self.job_by_id[event.job]
                job.end(
                    event.index,
                    event.status,
                    event.checkpoint,
                    event.detail,
                    event.crashed,
                )
            case JobCancelled():
                if event.job in self.job_by_id:
                    self.job_by_id[event.job].cancel()
            case TasksRetired():
                self.job_by_id[event.job].cancel_tasks(event.indexes)
            case TasksMovedOut():
                for index in event.indexes:
                    self.job_by_id[event.job].move_out(index)
            case JobForgotten():
                del self.job_by_id[event.job]

    def assigned_tasks(self) -> list[tuple[Job, Task]]:
        """Return every assigned task with its job."""
        found = []
        for job in self.job_by_id.values():
            for task in job.task_by_index.values():
                if task.state is TaskState.ASSIGNED:
                    found.append((job, task))
        return found

    def snapshot(self) -> list[Event]:
        """Return events that rebuild this state from an empty one."""
        events: list[Event] = []
        for job in self.job_by_id.values():
            tasks = [dataclasses.replace(task) for task in job.task_by_index.values()]
            events.append(
                TasksRestored(
                    job.spec,
                    tasks,
                    job.cancelled,
                    sorted(job.retiring),
                    job.next_index,
                )
            )
        return events

    def _get_or_add_job(self, event: TasksAdded | TasksRestored) -> Job:
        job = self.job_by_id.get(event.spec.id)
        if job is None:
            job = Job(event.spec)
            self.job_by_id[event.spec.id] = job
        return job

    def _add(self, event: TasksAdded) -> None:
        job = self._get_or_add_job(event)
        for index in range(event.first, event.first + event.count):
            job.add(Task(index))

    def _restore(self, event: TasksRestored) -> None:
        job = self._get_or_add_job(event)
        job.cancelled = job.cancelled or event.cancelled
        job.retiring.update(event.retiring)
        job.next_index = max(job.next_index, event.next_index)
        for task in event.tasks:
            self._restore_task(job, dataclasses.replace(task, not_before_s=0.0))

    @staticmethod
    def _restore_task(job: Job, task: Task) -> None:
        if task.state is TaskState.QUEUED:
            job.add(task)
            return
        job.task_by_index[task.index] = task
        if task.state is TaskState.ASSIGNED:
            job.unfinished_count += 1
