"""Serves one caller's request: admission, runner choice, retries, verdict."""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError, Verdict
from ..logs import get_logger
from ..metrics import Metrics
from ..settings import RequestSettings
from ..tree import SettingsTree
from ._budget import RetryBudget
from ._choice import CHOICE_BY_NAME
from ._queue import WaitQueue
from ._request import REPLAY_LIMIT_BYTES, AnswerHead, CallerRequest
from ._runner import Runner
from ._runner_http import RunnerAnswer, RunnerError
from ._runner_table import RunnerTable

log = get_logger()

BACKOFF_S = 0.01
BACKOFF_LIMIT_S = 0.5
MAX_TRIES = 5


@dataclass(slots=True)
class ServedAnswer:
    """A runner's answer on its way to the caller.

    Attributes
    ----------
    head : AnswerHead
        Status and headers.
    whole : bytes or None
        The body, if it was small enough to be read before it is passed on.
    parts : AsyncIterator of bytes or None
        The body, if it is streamed.
    runner : str
        Which runner answered.
    """

    head: AnswerHead
    whole: bytes | None
    parts: AsyncIterator[bytes] | None
    runner: str


@dataclass(slots=True)
class Race:
    """Two tries at one request."""

    answer: ServedAnswer | None = None
    error: RunnerError | None = None
    running: int = 0


class Router:
    """Routes requests to the runners of their service.

    Parameters
    ----------
    runners : RunnerTable
        The runners.
    tree : SettingsTree
        The settings, for teams' limits.
    settings : Requests
        Limits.
    clock : Clock
        This instance's clock.
    generator : random.Random
        For choices and jitter.
    metrics : Metrics
        Where counts go.
    """

    def __init__(
        self,
        runners: RunnerTable,
        tree: SettingsTree,
        settings: RequestSettings,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ):
        self.runners = runners
        self.in_flight = 0
        self.in_flight_by_team: dict[str, int] = {}
        self.queue_by_service: dict[str, WaitQueue] = {}
        self._tree = tree
        self._settings = settings
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self._budget = RetryBudget(settings.retry_budget)
        self._choice = CHOICE_BY_NAME[settings.choice](generator)

    async def serve(self, request: CallerRequest) -> ServedAnswer:
        """Return a whole or streamed answer.

        The caller of this function must run `finish` when the answer is over.

        Raises
        ------
        FlamingoweirError
            With the verdict on the request.
        """
        self._enter(request.team)
        try:
            self._budget.note_request()
            return await self._serve(request)
        except BaseException:
            self.finish(request)
            raise

    def finish(self, request: CallerRequest) -> None:
        """Count a request as over."""
        self.in_flight -= 1
        left = self.in_flight_by_team[request.team] - 1
        self.in_flight_by_team[request.team] = left
        if not left:
            del self.in_flight_by_team[request.team]

    def admit_waiting(self) -> None:
        """Let waiting requests go to runners that got room by other means.

        A runner may join, come back from an ejection, or be freed by another
        instance.
        """
        for service, queue in self.queue_by_service.items():
            if not len(queue):
                continue
            for _ in self.runners.free(service):
                queue.release()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.runners.aclose()

    def _enter(self, team: str) -> None:
        limit = float(
            self._tree.by_path.get(
                f"quotas/{team}/requests_in_flight", self._settings.team_limit
            )
        )
        used = self.in_flight_by_team.get(team, 0)
        if used >= limit:
            self._metrics.incr("requests.refused.team_limit")
            raise FlamingoweirError(
                ErrorCode.TEAM_LIMIT,
                f"team {team!r} has {used} requests in flight, its limit",
                retry_after_s=1.0,
            )
        self.in_flight += 1
        self.in_flight_by_team[team] = used + 1

    async def _serve(self, request: CallerRequest) -> ServedAnswer:
        verdict = Verdict.NOT_RUN
        avoid: set[str] = set()
        tries = 0
        while True:
            tries += 1
            runner = await self._admit(request, avoid, verdict)
            try:
                if self._may_hedge(request):
                    return await self._try_hedged(request, runner)
                return await self._try(request, runner)
            except RunnerError as error:
                self._note_error(runner, error)
                avoid.add(runner.instance.name)
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                await self._prepare_retry(request, error, verdict, tries)

    async def _prepare_retry(
        self,
        request: CallerRequest,
        error: RunnerError,
        verdict: Verdict,
        tries: int,
    ) -> None:
        """Wait before the next try, or raise if there must be none."""
        allowed = verdict is Verdict.NOT_RUN or request.idempotent
        deadline_passed = self._clock.now() >= request.deadline_s
        if deadline_passed:
            raise FlamingoweirError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", verdict
            ) from error
        if (
            not allowed
            or not request.body.can_replay()
            or tries >= MAX_TRIES
            or not self._budget.take()
        ):
            raise FlamingoweirError(
                ErrorCode.RUNNER_FAILED, str(error), verdict
            ) from error
        self._metrics.incr("requests.retried")
        ceiling_s = min(BACKOFF_LIMIT_S, BACKOFF_S * 2**tries)
        pause_s = self._random.uniform(0, ceiling_s)
        left_s = max(0.0, request.deadline_s - self._clock.now())
        await anyio.sleep(min(pause_s, left_s))

    async def _admit(
        self, request: CallerRequest, avoid: set[str], verdict: Verdict
    ) -> Runner:
        queue = self._queue(request.service)
        while True:
            usable = self.runners.usable(request.service, avoid)
            free = self.runners.with_room(usable)
            if free and not len(queue):
                return self._take(free)
            try:
                await queue.wait(request.deadline_s)
            except FlamingoweirError as error:
                self._metrics.incr(f"requests.refused.{error.code}")
                error.verdict = verdict
                raise
            free = self.runners.with_room(self.runners.usable(request.service, avoid))
            if free:
                return self._take(free)

    def _take(self, free: list[Runner]) -> Runner:
        runner = self._choice.choose(free)
        runner.note_sent()
        return runner

    async def _try(self, request: CallerRequest, runner: Runner) -> ServedAnswer:
        started_s = self._clock.now()
        left_s = request.deadline_s - started_s
        answer: RunnerAnswer | None = None
        handed_over = False
        try:
            with anyio.fail_after(max(0.0, left_s)):
                answer = await runner.link.send(request)
                runner.note_head(self._clock.now() - started_s, answer.head.load)
                whole = await self._read_small(answer)
            handed_over = whole is None
        except TimeoutError as error:
            raise RunnerError(
                "no answer within the deadline", Verdict.MAY_HAVE_RUN
            ) from error
        finally:
            if answer is None:
                runner.note_given_up(self._clock.now() - started_s)
            if not handed_over:
                await self._end_try(request.service, runner, answer)
        if whole is not None:
            runner.note_success()
            return ServedAnswer(answer.head, whole, None, runner.instance.name)
        parts = self._stream(request, runner, answer)
        return ServedAnswer(answer.head, None, parts, runner.instance.name)

    def _may_hedge(self, request: CallerRequest) -> bool:
        return (
            self._settings.hedge_after_s > 0
            and request.idempotent
            and request.body.can_replay()
        )

    async def _try_hedged(self, request: CallerRequest, runner: Runner) -> ServedAnswer:
        """Try a second runner when the first is slow; the first answer wins."""
        race = Race()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_race, race, request, runner, tasks)
            await anyio.sleep(self._settings.hedge_after_s)
            spare = self._find_spare(request.service, runner)
            if spare is not None and self._budget.take():
                self._metrics.incr("requests.hedged")
                spare.note_sent()
                tasks.start_soon(self._run_race, race, request, spare, tasks)
        if race.answer is None:
            raise race.error
        return race.answer

    async def _run_race(
        self, race: "Race", request: CallerRequest, runner: Runner, tasks: TaskGroup
    ) -> None:
        race.running += 1
        try:
            answer = await self._try(request, runner)
        except RunnerError as error:
            race.running -= 1
            race.error = error
            if not race.running:
                tasks.cancel_scope.cancel()
            return
        if race.answer is not None:
            if answer.parts is not None:
                await answer.parts.aclose()
            return
        race.answer = answer
        tasks.cancel_scope.cancel()

    def _find_spare(self, service: str, busy: Runner) -> Runner | None:
        """Return another runner that has room now."""
        usable = self.runners.usable(service, {busy.instance.name})
        free = [
            runner for runner in self.runners.with_room(usable) if runner is not busy
        ]
        return self._choice.choose(free) if free else None

    @staticmethod
    async def _read_small(answer: RunnerAnswer) -> bytes | None:
        length = answer.head.length
        if length is None or length > REPLAY_LIMIT_BYTES:
            return None
        return b"".join([part async for part in answer.parts()])

    async def _stream(
        self, request: CallerRequest, runner: Runner, answer: RunnerAnswer
    ) -> AsyncIterator[bytes]:
        try:
            async for part in answer.parts():
                yield part
            runner.note_success()
        except RunnerError as error:
            self._note_error(runner, error)
            raise
        finally:
            await self._end_try(request.service, runner, answer)

    async def _end_try(
        self, service: str, runner: Runner, answer: RunnerAnswer | None
    ) -> None:
        if answer is not None:
            with anyio.CancelScope(shield=True):
                await answer.aclose()
        runner.note_over()
        self._queue(service).release()

    def _note_error(self, runner: Runner, error: RunnerError) -> None:
        self._metrics.incr("requests.runner_errors")
        if error.leaving:
            runner.note_leaving()
        if error.blame and runner.note_failure():
            self._metrics.incr("runners.ejected")
            log.warning("runner_ejected", runner=runner.instance.name, why=str(error))

    def _queue(self, service: str) -> WaitQueue:
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = WaitQueue(self._settings.queue_limit, self._clock)
            self.queue_by_service[service] = queue
        return queue
