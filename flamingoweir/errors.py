"""Errors with codes, and verdicts on whether a request may have run."""

import enum


class Verdict(enum.StrEnum):
    """Whether a request was executed, as far as this is known."""

    #: No runner has executed the request, and none will.
    NOT_RUN = "not_run"
    #: The request was sent and its outcome is unknown.
    MAY_HAVE_RUN = "may_have_run"
    #: The complete response of the runner was received.
    RAN = "ran"


class ErrorCode(enum.StrEnum):
    """Codes of the errors that are reported to callers and operators."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    FORBIDDEN_BRANCH = "forbidden_branch"
    UNAUTHENTICATED = "unauthenticated"
    BODY_TOO_LARGE = "body_too_large"
    OVERLOADED = "overloaded"
    TEAM_LIMIT = "team_limit"
    CUSTOMER_LIMIT = "customer_limit"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_RUNNER = "no_runner"
    RUNNER_FAILED = "runner_failed"
    DRAINING = "draining"
    DUPLICATE_KEY = "duplicate_key"
    NEVER_FITS = "never_fits"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


HTTP_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.FORBIDDEN_BRANCH: 403,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.TEAM_LIMIT: 429,
    ErrorCode.CUSTOMER_LIMIT: 429,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.NO_RUNNER: 503,
    ErrorCode.RUNNER_FAILED: 502,
    ErrorCode.DRAINING: 503,
    ErrorCode.DUPLICATE_KEY: 409,
    ErrorCode.NEVER_FITS: 422,
    ErrorCode.STORE_UNAVAILABLE: 503,
    ErrorCode.OUTCOME_UNKNOWN: 504,
    ErrorCode.NOT_READY: 503,
    ErrorCode.INTERNAL: 500,
}


class FlamingoweirError(Exception):
    """An error with a code, reported to a caller or an operator.

    Parameters
    ----------
    code : ErrorCode
        Kind of the error.
    message : str
        One line that states what is wrong, where, and what to do.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float or None
        Seconds after which a retry is advisable; None if not known.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after_s = retry_after_s

    @property
    def http_status(self) -> int:
        """HTTP status of the error code."""
        return HTTP_STATUS_BY_CODE[self.code]


def store_rejected_error() -> FlamingoweirError:
    """Return the error for a call that the store refuses for what it contains."""
    return FlamingoweirError(
        ErrorCode.BAD_REQUEST,
        "the store does not take this; nothing was stored, and the same will not be "
        "taken later either",
    )


def store_unavailable_error() -> FlamingoweirError:
    """Return the error for a change that did not reach the store."""
    return FlamingoweirError(
        ErrorCode.STORE_UNAVAILABLE,
        "the store can't be reached; nothing was changed, try again later",
        retry_after_s=5.0,
    )


def outcome_unknown_error() -> FlamingoweirError:
    """Return the error for a change whose outcome the store did not confirm."""
    return FlamingoweirError(
        ErrorCode.OUTCOME_UNKNOWN,
        "the store did not confirm the change; repeat the request with the same id",
        Verdict.MAY_HAVE_RUN,
    )
