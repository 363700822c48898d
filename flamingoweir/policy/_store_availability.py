"""Whether the store is unavailable, judged from one instance's own calls to it.

Answers a store that gives no response, or refuses every call, for seconds. Without
this decision, each call of a submitter is sent to the store, and its outcome is then
unknown: the submitter can't safely retry. A call that is refused before anything of it
was sent can be retried at once on another instance.

A store that takes up to 100 times its usual 4 ms, that refuses some calls or that loses
some responses is available: a single response to any call proves it.
"""

#: Seconds after which a call without a response counts as unanswered. A store that is
#: slow but answers takes up to 0.4 s.
RESPONSE_LIMIT_S = 0.45
#: Number of consecutive unanswered or refused calls from which the store counts as
#: unavailable. A store that loses 35% of its responses reaches it by chance in one of
#: 4,400 sequences.
MIN_FAILED_CALLS = 8
#: Seconds without a response after which pending calls count before they are
#: unanswered. An instance with few calls decides by this time, as more reads to reach
#: `MIN_FAILED_CALLS` sooner would keep a loaded store overloaded.
MIN_SILENT_S = 1.0
#: Age in seconds from which a pending call counts after `MIN_SILENT_S`; 25 times what
#: a call usually takes.
MIN_PENDING_S = 0.1


class StoreAvailability:
    """Decide whether the store is unavailable.

    Times are seconds on the instance's monotonic clock. Only calls that were sent after
    the latest response count as evidence.

    Attributes
    ----------
    unavailable : bool
        Whether the store counts as unavailable. It does so from a `review` that finds
        enough failed calls until the next response.
    last_response_s : float
        Time of the latest response, moved forward by later pauses; minus infinity if
        there is none.
    failed_calls : int
        Number of calls that count as failed since the latest response, as of the
        latest `review`.
    """

    def __init__(self) -> None:
        self.unavailable = False
        self.failed_calls = 0
        self.last_response_s = float("-inf")
        self._sent_s_by_call: dict[int, float] = {}
        self._next_call = 0
        self._failed_calls = 0
        self._first_failed_s = float("inf")

    @property
    def has_evidence(self) -> bool:
        """Whether calls are pending or have failed since the latest response."""
        return bool(self.unavailable or self._sent_s_by_call or self._failed_calls)

    def begin_call(self, now_s: float) -> int:
        """Record that a call is sent; return its number."""
        self._next_call += 1
        self._sent_s_by_call[self._next_call] = now_s
        return self._next_call

    def record_response(self, call: int, now_s: float) -> None:
        """Record a response of the store to a call."""
        self._sent_s_by_call.pop(call, None)
        self.unavailable = False
        self.last_response_s = now_s
        self._failed_calls = 0
        self._first_failed_s = float("inf")

    def record_failure(self, call: int) -> None:
        """Record that a call was refused, or that its connection failed."""
        sent_s = self._sent_s_by_call.pop(call, None)
        if sent_s is None or sent_s < self.last_response_s:
            return
        self._failed_calls += 1
        self._first_failed_s = min(self._first_failed_s, sent_s)

    def record_timeout(self, call: int, now_s: float) -> None:
        """Record that the sender of a call no longer waits for its response."""
        if self._is_unanswered(self._sent_s_by_call.get(call, now_s), now_s):
            self.record_failure(call)
        self._sent_s_by_call.pop(call, None)

    def record_pause(self, pause_s: float, now_s: float) -> None:
        """Record that this instance could not receive responses until now.

        Failures so far are discarded: the responses may have arrived in the pause.
        """
        for call, sent_s in self._sent_s_by_call.items():
            self._sent_s_by_call[call] = min(now_s, sent_s + pause_s)
        self.last_response_s = min(now_s, self.last_response_s + pause_s)
        self._failed_calls = 0
        self._first_failed_s = float("inf")

    def review(self, now_s: float) -> bool:
        """Update `unavailable`; return whether check reads are needed to decide.

        They are needed once a call is unanswered or refused for `RESPONSE_LIMIT_S`
        without a response to any other call: an instance may have only a few calls a
        second.
        """
        if self.unavailable:
            return False
        failed_calls = self._failed_calls
        first_s = self._first_failed_s
        pending_calls = 0
        for sent_s in self._sent_s_by_call.values():
            if sent_s < self.last_response_s:
                continue
            first_s = min(first_s, sent_s)
            if self._is_unanswered(sent_s, now_s):
                failed_calls += 1
            elif now_s - sent_s >= MIN_PENDING_S:
                pending_calls += 1
        silent_s = now_s - first_s
        if silent_s >= MIN_SILENT_S:
            failed_calls += pending_calls
        self.failed_calls = failed_calls
        if silent_s < RESPONSE_LIMIT_S:
            return False
        self.unavailable = failed_calls >= MIN_FAILED_CALLS
        return not self.unavailable

    def _is_unanswered(self, sent_s: float, now_s: float) -> bool:
        return sent_s >= self.last_response_s and now_s - sent_s >= RESPONSE_LIMIT_S
