"""Routing of callers' requests to runners: limits, queues, retries and verdicts."""

from ._budget import RetryBudget
from ._choice import CHOICE_BY_NAME, Random, RoundRobin, RunnerChoice, TwoChoices
from ._idempotency import IdempotencyKeys, StoredResponse
from ._request import CallerRequest, RequestBody, ResponseHead
from ._router import Router, ServedResponse
from ._runner import Runner
from ._runner_http import HttpRunnerLink, RunnerError, RunnerLink
from ._runner_table import RunnerTable

__all__ = [
    "CHOICE_BY_NAME",
    "CallerRequest",
    "HttpRunnerLink",
    "IdempotencyKeys",
    "Random",
    "RequestBody",
    "ResponseHead",
    "RetryBudget",
    "RoundRobin",
    "Router",
    "Runner",
    "RunnerChoice",
    "RunnerError",
    "RunnerLink",
    "RunnerTable",
    "ServedResponse",
    "StoredResponse",
    "TwoChoices",
]
