"""Each rule of the request path is taken out once, and a test must notice."""

import pytest

from flamingoweir.daemon._node import Node
from flamingoweir.errors import Verdict
from flamingoweir.routing import (
    IdempotencyKeys,
    RetryBudget,
    Runner,
    RunnerError,
    _once,
    _runner_http,
)
from flamingoweir.standins import RunnerFault
from tests import test_callers_http, test_verdicts


def without_verdict(patch):
    create = RunnerError.__init__

    def changed(self, message, verdict, leaving=False, blame=True):
        create(self, message, Verdict.NOT_RUN, leaving, blame)

    patch.setattr(RunnerError, "__init__", changed)


def without_request_id_check(patch):
    patch.setattr(_runner_http, "_check_head", lambda request, response, head: None)


def without_leaving(patch):
    patch.setattr(Runner, "is_leaving", lambda self: False)


def without_budget(patch):
    patch.setattr(RetryBudget, "take", lambda self: True)


def without_claims(patch):
    async def changed(self, team, key, request_id):
        return _once.Claim(key, 0)

    patch.setattr(IdempotencyKeys, "claim", changed)


def without_wait_for_requests(patch):
    async def changed(self, notice_s, grace_s):
        self.refusing = True
        return self.router.in_flight == 0

    patch.setattr(Node, "drain", changed)


def without_trace_of_sending(patch):
    patch.setattr(_runner_http, "_describe", describe_as_not_run)


def describe_as_not_run(trace, error):
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
            test_verdicts.test_a_leaving_runner_gets_nothing_after_the_bound,
        ),
        (
            without_claims,
            test_callers_http.test_a_key_runs_once_and_gives_the_same_answer,
        ),
        (
            without_claims,
            test_callers_http.test_key_stays_claimed_when_its_caller_disconnects,
        ),
        (
            without_wait_for_requests,
            test_callers_http.test_shutdown_finishes_a_hundred_requests_in_flight,
        ),
    ],
)
def test_a_check_notices_that_a_rule_is_missing(rule, check, monkeypatch):
    rule(monkeypatch)
    assert fails(check)


@pytest.mark.parametrize(
    ("rule", "fault", "runs"),
    [
        (without_request_id_check, RunnerFault.WRONG_REQUEST_ID, 1),
        (without_trace_of_sending, RunnerFault.RESET_AFTER, 1),
    ],
)
def test_a_bad_answer_shows_that_a_rule_is_missing(rule, fault, runs, monkeypatch):
    check = test_callers_http.test_invalid_answer_is_not_forwarded_and_runs_at_most_once
    rule(monkeypatch)
    assert fails(check, fault, runs)
