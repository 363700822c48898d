"""How long steps have waited for a runner, over owners that follow one another."""

import re
from collections.abc import Iterator, Mapping

from ..fleet import Runner
from ..jobs import Job, StepRun
from ..ownership import StepWait

#: Longest time in seconds, from the first pass on, for which a former owner's wait for
#: a runner does not count, as some runners have not responded to this owner yet.
MAX_FIRST_RESPONSES_S = 0.5
#: Largest number of steps of a pass that are kept to be published, and the number of
#: further ones of which a long-running task is away. A long pass tries some of these
#: last, as they were not there when it began.
MAX_KEPT_STEPS = 60
#: Id of the job, number of the occurrence and number of the step.
STEP_NAME = re.compile(r"(.+)\.(0|[1-9][0-9]{0,17})\.(0|[1-9][0-9]{0,17})")


class StepWaits:
    """Goes on with the waits of a former owner, and lists those to be passed on.

    What a step waits for is decided by `StepRun.ready_since_s` and
    `StepRun.unplaced_since_s`, which are set back by what former owners have counted.
    A runner that has not responded yet may have room, so that no batch is evicted and
    no serving task disturbed for an earlier wait before each had the time to respond.
    A reservation only keeps room, and is made in the first pass.

    Parameters
    ----------
    former_by_step : mapping of str to StepWait, optional
        Waits that the former owner has published; left out: none.
    written_s : float or None
        By when they were written, on the owner's clock, in seconds. The time since then
        counts for steps that still find no runner: nobody has placed any. None: it does
        not count.
    """

    def __init__(
        self,
        former_by_step: Mapping[str, StepWait] | None = None,
        written_s: float | None = None,
    ):
        self._written_s = float("inf") if written_s is None else written_s
        #: Waits of which the time without a runner does not count yet.
        self._former_by_step = dict(former_by_step or {})
        #: Those of them of which the time since they were ready counts.
        self._ready_names: set[str] = set()
        self._first_pass_s: float | None = None
        #: Time of the latest pass, as far as it has come.
        self._tried_s = 0.0
        #: Steps that were not placed, of this pass and of the one before.
        self._unplaced: dict[StepRun, None] = {}
        self._unplaced_before: dict[StepRun, None] = {}

    def record_outage(self) -> None:
        """Record that the store did not respond before the first pass.

        The time since the former owner's write doesn't count then.
        """
        self._written_s = float("inf")

    def begin_pass(self) -> None:
        """Begin to collect the unplaced steps of a pass."""
        self._unplaced_before, self._unplaced = self._unplaced, {}

    def take_over(
        self,
        job_by_id: Mapping[str, Job],
        runner_by_id: Mapping[str, Runner],
        now_s: float,
    ) -> None:
        """Count the former owner's waits, as soon as that is safe.

        Parameters
        ----------
        job_by_id : mapping of str to Job
            The jobs that the owner knows.
        runner_by_id : mapping of str to Runner
            The runners that the owner knows.
        now_s : float
            Time of the pass on the owner's clock, in seconds.
        """
        self._tried_s = now_s
        if not self._former_by_step:
            return
        if self._first_pass_s is None:
            self._first_pass_s = now_s
        is_safe = now_s - self._first_pass_s >= MAX_FIRST_RESPONSES_S
        is_safe = is_safe or not any(map(_may_respond, runner_by_id.values()))
        for name, wait in list(self._former_by_step.items()):
            job, step_key = _find_step(job_by_id, name)
            if job is None or step_key[0] in job.closed_occurrences:
                del self._former_by_step[name]
                continue
            step = job.run_by_step.get(step_key)
            if step is None:
                # Its occurrence has not been opened yet.
                continue
            if not step.open_indexes:
                del self._former_by_step[name]
                continue
            if name not in self._ready_names:
                self._ready_names.add(name)
                since_s = now_s if step.ready_since_s is None else step.ready_since_s
                step.ready_since_s = min(since_s, self._written_s) - wait.ready_s
            if is_safe and step.unplaced_since_s is not None:
                since_s = min(step.unplaced_since_s, self._written_s)
                step.unplaced_since_s = since_s - wait.unplaced_s
                del self._former_by_step[name]

    def record_unplaced(self, step: StepRun, now_s: float) -> None:
        """Record a step that was not placed; a pass tries the most urgent first.

        Parameters
        ----------
        step : StepRun
            The step.
        now_s : float
            Time of the pass on the owner's clock, in seconds.
        """
        self._tried_s = now_s
        max_steps = 2 * MAX_KEPT_STEPS if step.is_away else MAX_KEPT_STEPS
        if len(self._unplaced) < max_steps:
            self._unplaced[step] = None

    def list_waits(self) -> Iterator[tuple[str, StepWait]]:
        """Yield the names and the waits of steps, those of long-running tasks first.

        The time since the latest pass doesn't count: there is none without the store.
        """
        yield from self._former_by_step.items()
        steps = self._unplaced | self._unplaced_before
        for step in sorted(steps, key=lambda step: not step.spec.lasting):
            name = _name(step)
            if name in self._former_by_step or not step.open_indexes:
                continue
            if step.unplaced_since_s is None or step.ready_since_s is None:
                continue
            ready_s = max(0.0, self._tried_s - step.ready_since_s)
            unplaced_s = max(0.0, self._tried_s - step.unplaced_since_s)
            yield name, StepWait(round(ready_s, 3), round(unplaced_s, 3))


def _may_respond(runner: Runner) -> bool:
    """Return whether a runner has not responded yet, but its first poll may be sent."""
    if runner.incarnation is not None or not runner.entry.address:
        return False
    return runner.unresponsive_since_s is None


def _name(step: StepRun) -> str:
    return f"{step.job.spec.id}.{step.occurrence}.{step.step}"


def _find_step(
    job_by_id: Mapping[str, Job], name: str
) -> tuple[Job | None, tuple[int, int]]:
    """Return the job of a step, None if there is none, and its key within the job."""
    match = STEP_NAME.fullmatch(name)
    if match is None:
        return None, (0, 0)
    job_id, occurrence, step = match.groups()
    return job_by_id.get(job_id), (int(occurrence), int(step))
