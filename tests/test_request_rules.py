"""Checks of the request path fail if the rule that they check is missing.

Each test disables one rule by a patch and runs a check of the request path. A check
that still passes would not detect the loss of the rule.
"""

import pytest

from flamingoweir.daemon._node import Node
from flamingoweir.errors import Verdict
from flamingoweir.routing import (
    IdempotencyKeys,
    RetryBudget,
    Runner,
    RunnerError,
    _idempotency,
    _runner_http,
)
from flamingoweir.standins import RunnerFault
from tests import test_callers_http, test_verdicts


def without_verdict(patch):
    """Report every request that failed at a runner as not run."""
    original_init = RunnerError.__init__

    def replacement(self, message, verdict, leaving=False, at_fault=True):
        original_init(self, message, Verdict.NOT_RUN, leaving, at_fault)

    patch.setattr(RunnerError, "__init__", replacement)


def without_request_id_check(patch):
    """Accept responses to other requests."""
    patch.setattr(_runner_http, "_check_head", lambda request, response, head: None)


def without_leaving(patch):
    """Send requests to leaving runners."""
    patch.setattr(Runner, "is_leaving", lambda self: False)


def without_budget(patch):
    """Allow any number of retries."""
    patch.setattr(RetryBudget, "try_spend", lambda self: True)


def without_claims(patch):
    """Give every request a claim on its key without writing a row."""

    async def replacement(self, team, key, request_id):
        return _idempotency.Claim(key, 0)

    patch.setattr(IdempotencyKeys, "claim", replacement)


def without_wait_for_requests(patch):
    """Shut down without waiting for requests in flight."""

    async def replacement(self, notice_s, grace_s):
        self.refusing = True
        return self.router.in_flight == 0

    patch.setattr(Node, "drain", replacement)


def without_trace_of_sending(patch):
    """Report failed requests as not run, even if they were sent."""
    patch.setattr(_runner_http, "_classify_error", classify_as_not_run)


def classify_as_not_run(trace, error):
    return RunnerError(str(error), Verdict.NOT_RUN)


def fails(check, *args) -> bool:
    """Return whether a check ends in an AssertionError, alone or in groups."""
    try:
        check(*args)
    except AssertionError:
        return True
    except BaseExceptionGroup as group:
        return group.subgroup(AssertionError) is not None
    return False


@pytest.mark.parametrize(
    ("rule", "check"),
    [
        (without_verdict, test_verdicts.test_what_callers_are_told_holds),
        (without_budget, test_verdicts.test_retries_stay_within_the_budget),
        (
            without_leaving,
            test_verdicts.test_leaving_runner_receives_no_requests_after_the_bound,
        ),
        (
            without_claims,
            test_callers_http.test_a_key_runs_once_and_gives_the_same_answer,
        ),
        (
            without_claims,
            test_callers_http.test_a_key_holds_when_its_first_request_was_abandoned,
        ),
        (
            without_wait_for_requests,
            test_callers_http.test_shutdown_finishes_a_hundred_requests_in_flight,
        ),
    ],
)
def test_check_fails_without_rule(rule, check, monkeypatch):
    rule(monkeypatch)
    assert fails(check)


@pytest.mark.parametrize(
    ("rule", "fault", "runs"),
    [
        (without_request_id_check, RunnerFault.WRONG_REQUEST_ID, 1),
        (without_trace_of_sending, RunnerFault.RESET_AFTER, 1),
    ],
)
def test_faulty_response_check_fails_without_rule(rule, fault, runs, monkeypatch):
    check = test_callers_http.test_a_bad_answer_reaches_nobody_and_runs_at_most_once
    rule(monkeypatch)
    assert fails(check, fault, runs)
