"""Callers' requests: limits, queues, runner choice, retries, verdicts."""

from ._budget import RetryBudget
from ._choice import CHOICE_BY_NAME, Random, RoundRobin, RunnerChoice, TwoChoices
from ._once import IdempotencyKeys, StoredAnswer
from ._request import AnswerHead, CallerRequest, RequestBody
from ._router import Router, ServedAnswer
from ._runner import Runner
from ._runner_http import HttpRunnerLink, RunnerError, RunnerLink
from ._runner_table import RunnerTable

__all__ = [
    "CHOICE_BY_NAME",
    "AnswerHead",
    "CallerRequest",
    "HttpRunnerLink",
    "IdempotencyKeys",
    "Random",
    "RequestBody",
    "RetryBudget",
    "RoundRobin",
    "Router",
    "Runner",
    "RunnerChoice",
    "RunnerError",
    "RunnerLink",
    "RunnerTable",
    "ServedAnswer",
    "StoredAnswer",
    "TwoChoices",
]
