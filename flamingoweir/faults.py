"""Containment of errors: a fault in one row, runner or job touches no other."""

import os
from types import TracebackType

from .clock import BootClock, Clock
from .logs import get_logger
from .metrics import Metrics, NoMetrics

log = get_logger()

#: Seconds between log lines on the same fault. A fault in a loop may occur many times a
#: second; the counter has all of them.
LOG_INTERVAL_S = 10.0
#: Number of faults whose latest log line is remembered; the oldest is dropped first.
MAX_REMEMBERED = 1_000
#: Longest description of an error in a log line, in characters. Errors of a decoder
#: quote their input.
MAX_DETAIL_LENGTH = 300


class FaultLog:
    """Counts and logs errors that were contained.

    Parameters
    ----------
    metrics : Metrics
        Receives a counter for each kind of fault, named after its event.
    clock : Clock
        Monotonic clock of this instance.
    """

    def __init__(self, metrics: Metrics | None = None, clock: Clock | None = None):
        self._metrics = metrics or NoMetrics()
        self._clock = clock or BootClock()
        self._logged_s_by_fault: dict[tuple[str, ...], float] = {}

    def record(self, event: str, error: BaseException, **subject: str) -> None:
        """Count a fault, and log it at most once in `LOG_INTERVAL_S`.

        Parameters
        ----------
        event : str
            What failed; names the log line and the counter.
        error : BaseException
            The error.
        **subject : str
            What the fault is limited to, such as the id of a runner.
        """
        self._metrics.incr(event)
        fault = (event, *subject.values())
        now_s = self._clock.now()
        logged_s = self._logged_s_by_fault.pop(fault, None)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            self._logged_s_by_fault[fault] = logged_s
            return
        self._logged_s_by_fault[fault] = now_s
        if len(self._logged_s_by_fault) > MAX_REMEMBERED:
            del self._logged_s_by_fault[next(iter(self._logged_s_by_fault))]
        log.error(event, **subject, detail=describe(error), raised_at=_place(error))

    def contain(self, event: str, **subject: str) -> "Containment":
        """Return a context manager that ends its block at an error, and records it."""
        return Containment(self, event, subject)


class Containment:
    """Block of code in which an error is recorded instead of raised.

    Cancellation is raised as ever.

    Attributes
    ----------
    failed : bool
        Whether the block was ended by an error.
    """

    __slots__ = ("_event", "_fault_log", "_subject", "failed")

    def __init__(self, fault_log: FaultLog, event: str, subject: dict[str, str]):
        self.failed = False
        self._fault_log = fault_log
        self._event = event
        self._subject = subject

    def __enter__(self) -> "Containment":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        self.failed = True
        self._fault_log.record(self._event, error, **self._subject)
        return True


def describe(error: BaseException) -> str:
    """Return type and message of an error, shortened to `MAX_DETAIL_LENGTH`."""
    text = f"{type(error).__name__}: {error}"
    if len(text) > MAX_DETAIL_LENGTH:
        return text[:MAX_DETAIL_LENGTH] + "..."
    return text


def _place(error: BaseException) -> str:
    """Return file and line of the call that raised an error; empty if unknown."""
    traceback = error.__traceback__
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    filename = os.path.basename(traceback.tb_frame.f_code.co_filename)
    return f"{filename}:{traceback.tb_lineno}"
