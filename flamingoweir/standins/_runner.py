"""A request runner in memory, with a few slots and injected faults."""

import enum
from dataclasses import dataclass, field

import anyio


class RunnerFault(enum.StrEnum):
    """A fault of a runner in one request."""

    NONE = "none"
    #: Executes the request and closes the connection without a response.
    RESET_AFTER = "reset_after"
    #: Closes the connection before it executes anything.
    RESET_BEFORE = "reset_before"
    #: Refuses the request; it is not executed.
    REFUSE = "refuse"
    #: Executes the request and responds with the id of another request.
    WRONG_REQUEST_ID = "crossed"
    #: Executes the request and responds with a body shorter than its content-length.
    TRUNCATED = "short"
    #: Executes the request and responds after an extra delay.
    LATE = "late"
    #: Executes the request and responds with an error.
    ERROR = "error"


@dataclass(slots=True)
class StandinRunner:
    """A runner that responds to a request with the body of the request.

    Attributes
    ----------
    name : str
        Name of the runner.
    slots : int
        Requests executed at once; others wait.
    service_s : float
        Seconds that one request takes.
    response_delay_s : float
        Extra delay in seconds of a response with the fault ``LATE``.
    faults : list of RunnerFault
        Faults of the next requests, the first one first.
    executed : dict of str to int
        How often each request id was executed.
    leaving : bool
        Whether requests are refused with a header that asks for no new ones.
    in_flight : int
        Requests that wait for a slot or are executed.
    received : int
        Requests received, also those refused or reset.
    """

    name: str
    slots: int = 8
    service_s: float = 0.0
    response_delay_s: float = 5.0
    faults: list[RunnerFault] = field(default_factory=list)
    executed: dict[str, int] = field(default_factory=dict)
    leaving: bool = False
    in_flight: int = 0
    received: int = 0
    _slot_limiter: anyio.CapacityLimiter | None = None

    def next_fault(self) -> RunnerFault:
        """Count a request; remove and return its planned fault."""
        self.received += 1
        return self.faults.pop(0) if self.faults else RunnerFault.NONE

    async def execute(self, request_id: str, service_s: float | None = None) -> None:
        """Execute a request in one of the slots.

        Parameters
        ----------
        request_id : str
            Id of the request.
        service_s : float or None
            Seconds that the request takes; None uses the runner's default.
        """
        if self._slot_limiter is None:
            self._slot_limiter = anyio.CapacityLimiter(self.slots)
        self.in_flight += 1
        try:
            async with self._slot_limiter:
                self.executed[request_id] = self.executed.get(request_id, 0) + 1
                await anyio.sleep(self.service_s if service_s is None else service_s)
        finally:
            self.in_flight -= 1
