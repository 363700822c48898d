"""Router of callers' requests: admission, runner choice, retries and verdict."""

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
from ._request import REPLAY_LIMIT_BYTES, CallerRequest, ResponseHead
from ._runner import Runner
from ._runner_http import RunnerError, RunnerResponse
from ._runner_table import RunnerTable

log = get_logger()

#: Seconds of backoff, doubled with each try.
BACKOFF_S = 0.01
#: Largest backoff, in seconds.
BACKOFF_LIMIT_S = 0.5
#: Largest number of tries of a request; hedged second tries are not counted.
MAX_TRIES = 5
#: Largest number of those tries that may have run and ended without a response. The
#: request itself may be what crashes the runners.
MAX_BROKEN_TRIES = 2


@dataclass(slots=True)
class ServedResponse:
    """Response of a runner that is forwarded to the caller.

    Attributes
    ----------
    head : ResponseHead
        Status and headers.
    body : bytes or None
        Complete body, if it is small enough to be buffered.
    parts : AsyncIterator of bytes or None
        Parts of the body, if it is streamed.
    runner : str
        Name of the runner.
    """

    head: ResponseHead
    body: bytes | None
    parts: AsyncIterator[bytes] | None
    runner: str


@dataclass(slots=True)
class HedgedTries:
    """State of the concurrent tries of one request.

    Attributes
    ----------
    response : ServedResponse or None
        The first response.
    error : RunnerError or None
        The latest error.
    running : int
        Number of tries that have started and not failed.
    """

    response: ServedResponse | None = None
    error: RunnerError | None = None
    running: int = 0


class Router:
    """Routes requests to the runners of their service.

    Parameters
    ----------
    runners : RunnerTable
        Runners by service.
    tree : SettingsTree
        Settings tree with the limits of teams.
    settings : RequestSettings
        Limits and timeouts of requests.
    clock : Clock
        Monotonic clock of this instance.
    generator : random.Random
        Source of runner choices and jitter.
    metrics : Metrics
        Receives counters.

    Attributes
    ----------
    in_flight : int
        Number of requests that are waiting or in flight.
    in_flight_by_team : dict of str to int
        Number of waiting or in-flight requests by team.
    queue_by_service : dict of str to WaitQueue
        Waiting requests by service.
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

    async def serve(self, request: CallerRequest) -> ServedResponse:
        """Send a request to a runner and return its buffered or streamed response.

        After a return, the caller must call `finish` once the response has been
        forwarded or forwarding has failed.

        Raises
        ------
        FlamingoweirError
            If there is no response; the verdict says whether the request may have run.
        """
        self._count_request(request.team)
        try:
            self._budget.record_request()
            return await self._serve(request)
        except BaseException:
            self.finish(request)
            raise

    def finish(self, request: CallerRequest) -> None:
        """Count a request as ended."""
        self.in_flight -= 1
        remaining = self.in_flight_by_team[request.team] - 1
        self.in_flight_by_team[request.team] = remaining
        if not remaining:
            del self.in_flight_by_team[request.team]

    def admit_waiting(self) -> None:
        """Release waiting requests to runners that became free without a response.

        A runner may join, return from an ejection, or finish the request of another
        instance.
        """
        for service, queue in self.queue_by_service.items():
            if not len(queue):
                continue
            for _ in self.runners.find_free(service):
                queue.release()

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self.runners.aclose()

    def _count_request(self, team: str) -> None:
        """Count a request as in flight; raise FlamingoweirError at the limit."""
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
                f"team {team!r} has reached its limit: {used} requests are in flight",
                retry_after_s=1.0,
            )
        self.in_flight += 1
        self.in_flight_by_team[team] = used + 1

    async def _serve(self, request: CallerRequest) -> ServedResponse:
        """Try runners until one responds or no further try is allowed."""
        verdict = Verdict.NOT_RUN
        avoid: set[str] = set()
        tries = 0
        broken_tries = 0
        while True:
            tries += 1
            runner = await self._acquire_runner(request, avoid, verdict)
            try:
                if self._may_hedge(request) and not broken_tries:
                    return await self._send_hedged(request, runner)
                return await self._send(request, runner)
            except RunnerError as error:
                self._record_error(runner, error)
                avoid.add(runner.instance.name)
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                    broken_tries += 1
                may_retry = tries < MAX_TRIES and broken_tries < MAX_BROKEN_TRIES
                await self._wait_before_retry(request, error, verdict, tries, may_retry)

    async def _wait_before_retry(
        self,
        request: CallerRequest,
        error: RunnerError,
        verdict: Verdict,
        tries: int,
        may_retry: bool,
    ) -> None:
        """Wait before the next try; raise FlamingoweirError if none is allowed."""
        allowed = verdict is Verdict.NOT_RUN or request.idempotent
        deadline_passed = self._clock.now() >= request.deadline_s
        if deadline_passed:
            raise FlamingoweirError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", verdict
            ) from error
        if (
            not allowed
            or not request.body.can_replay()
            or not may_retry
            or not self._budget.try_spend()
        ):
            raise FlamingoweirError(
                ErrorCode.RUNNER_FAILED, str(error), verdict
            ) from error
        self._metrics.incr("requests.retried")
        ceiling_s = min(BACKOFF_LIMIT_S, BACKOFF_S * 2**tries)
        pause_s = self._random.uniform(0, ceiling_s)
        remaining_s = max(0.0, request.deadline_s - self._clock.now())
        await anyio.sleep(min(pause_s, remaining_s))

    async def _acquire_runner(
        self, request: CallerRequest, avoid: set[str], verdict: Verdict
    ) -> Runner:
        """Return a runner with a free slot; wait in the queue if there is none.

        An error of the queue carries ``verdict``, the verdict on the earlier tries.
        """
        queue = self._queue(request.service)
        while True:
            candidates = self.runners.find_candidates(request.service, avoid)
            free = self.runners.filter_free(candidates)
            if free and not len(queue):
                return self._choose_runner(free)
            try:
                await queue.wait(request.deadline_s)
            except FlamingoweirError as error:
                self._metrics.incr(f"requests.refused.{error.code}")
                error.verdict = verdict
                raise
            free = self.runners.filter_free(
                self.runners.find_candidates(request.service, avoid)
            )
            if free:
                return self._choose_runner(free)

    def _choose_runner(self, free: list[Runner]) -> Runner:
        """Choose a runner and count the request on it."""
        runner = self._choice.choose(free)
        runner.record_sent()
        return runner

    async def _send(self, request: CallerRequest, runner: Runner) -> ServedResponse:
        """Send a request to one runner.

        Raises
        ------
        RunnerError
            If the runner refuses the request, fails, or sends no response before the
            deadline.
        """
        started_s = self._clock.now()
        remaining_s = request.deadline_s - started_s
        response: RunnerResponse | None = None
        is_streamed = False
        try:
            with anyio.fail_after(max(0.0, remaining_s)):
                response = await runner.link.send(request)
                runner.record_head(self._clock.now() - started_s, response.head.load)
                body = await self._read_small_body(response)
            is_streamed = body is None
        except TimeoutError as error:
            raise RunnerError(
                "the runner sent no complete response before the deadline",
                Verdict.MAY_HAVE_RUN,
            ) from error
        finally:
            if response is None:
                runner.record_abandoned(self._clock.now() - started_s)
            if not is_streamed:
                await self._finish_try(request.service, runner, response)
        if body is not None:
            runner.record_success()
            return ServedResponse(response.head, body, None, runner.instance.name)
        parts = self._stream(request, runner, response)
        return ServedResponse(response.head, None, parts, runner.instance.name)

    def _may_hedge(self, request: CallerRequest) -> bool:
        return (
            self._settings.hedge_after_s > 0
            and request.idempotent
            and request.body.can_replay()
        )

    async def _send_hedged(
        self, request: CallerRequest, runner: Runner
    ) -> ServedResponse:
        """Send to a second runner if the first is slow; return the first response."""
        hedged_tries = HedgedTries()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_hedged_try, hedged_tries, request, runner, tasks)
            await anyio.sleep(self._settings.hedge_after_s)
            second = self._find_second_runner(request.service, runner)
            if second is not None and self._budget.try_spend():
                self._metrics.incr("requests.hedged")
                second.record_sent()
                tasks.start_soon(
                    self._run_hedged_try, hedged_tries, request, second, tasks
                )
        if hedged_tries.response is None:
            raise hedged_tries.error
        return hedged_tries.response

    async def _run_hedged_try(
        self,
        hedged_tries: "HedgedTries",
        request: CallerRequest,
        runner: Runner,
        tasks: TaskGroup,
    ) -> None:
        hedged_tries.running += 1
        try:
            response = await self._send(request, runner)
        except RunnerError as error:
            hedged_tries.running -= 1
            hedged_tries.error = error
            if not hedged_tries.running:
                tasks.cancel_scope.cancel()
            return
        if hedged_tries.response is not None:
            if response.parts is not None:
                await response.parts.aclose()
            return
        hedged_tries.response = response
        tasks.cancel_scope.cancel()

    def _find_second_runner(self, service: str, first: Runner) -> Runner | None:
        """Return a runner with a free slot other than ``first``, or None."""
        candidates = self.runners.find_candidates(service, {first.instance.name})
        free = [
            runner
            for runner in self.runners.filter_free(candidates)
            if runner is not first
        ]
        return self._choice.choose(free) if free else None

    @staticmethod
    async def _read_small_body(response: RunnerResponse) -> bytes | None:
        """Return the body if its stated length is small, else None."""
        length = response.head.length
        if length is None or length > REPLAY_LIMIT_BYTES:
            return None
        return b"".join([part async for part in response.parts()])

    async def _stream(
        self, request: CallerRequest, runner: Runner, response: RunnerResponse
    ) -> AsyncIterator[bytes]:
        """Yield the body and record the outcome on the runner."""
        try:
            async for part in response.parts():
                yield part
            runner.record_success()
        except RunnerError as error:
            self._record_error(runner, error)
            raise
        finally:
            await self._finish_try(request.service, runner, response)

    async def _finish_try(
        self, service: str, runner: Runner, response: RunnerResponse | None
    ) -> None:
        if response is not None:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        runner.record_end()
        self._queue(service).release()

    def _record_error(self, runner: Runner, error: RunnerError) -> None:
        self._metrics.incr("requests.runner_errors")
        if error.leaving:
            runner.record_leaving()
        if error.at_fault and runner.record_failure():
            self._metrics.incr("runners.ejected")
            log.warning(
                "runner_ejected", runner=runner.instance.name, reason=str(error)
            )

    def _queue(self, service: str) -> WaitQueue:
        queue = self.queue_by_service.get(service)
        if queue is None:
            queue = WaitQueue(self._settings.queue_limit, self._clock)
            self.queue_by_service[service] = queue
        return queue
