"""A runner in memory: a few slots, a record, and ways to answer badly."""

import enum
from dataclasses import dataclass, field

import anyio


class RunnerFault(enum.StrEnum):
    """How a runner may misbehave with one request."""

    NONE = "none"
    #: Executes the request and closes the connection without an answer.
    RESET_AFTER = "reset_after"
    #: Closes the connection before it executes anything.
    RESET_BEFORE = "reset_before"
    #: Refuses the request; it is not executed.
    REFUSE = "refuse"
    #: Answers with the id of another request.
    WRONG_REQUEST_ID = "crossed"
    #: Answers with less than the length it announced.
    TRUNCATED = "short"
    #: Executes and answers long after.
    LATE = "late"
    #: Executes and answers that it failed.
    ERROR = "error"


@dataclass(slots=True)
class StandinRunner:
    """A runner that echoes requests.

    Attributes
    ----------
    name : str
        The runner's name.
    slots : int
        Requests executed at once; others wait.
    service_s : float
        Seconds that one request takes.
    answer_delay_s : float
        Seconds that a late answer takes longer.
    faults : list of RunnerFault
        What happens with the next requests, first to last.
    executed : dict of str to int
        How often each request id was executed.
    leaving : bool
        Tells callers in a header to send nothing new.
    """

    name: str
    slots: int = 8
    service_s: float = 0.0
    answer_delay_s: float = 5.0
    faults: list[RunnerFault] = field(default_factory=list)
    executed: dict[str, int] = field(default_factory=dict)
    leaving: bool = False
    in_flight: int = 0
    received: int = 0
    _limit: anyio.CapacityLimiter | None = None

    def next_fault(self) -> RunnerFault:
        """Take the fault planned for the next request."""
        self.received += 1
        return self.faults.pop(0) if self.faults else RunnerFault.NONE

    async def execute(self, request_id: str, service_s: float | None = None) -> None:
        """Execute a request in one of the slots."""
        if self._limit is None:
            self._limit = anyio.CapacityLimiter(self.slots)
        self.in_flight += 1
        try:
            async with self._limit:
                self.executed[request_id] = self.executed.get(request_id, 0) + 1
                await anyio.sleep(self.service_s if service_s is None else service_s)
        finally:
            self.in_flight -= 1
