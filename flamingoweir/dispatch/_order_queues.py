"""Queues of orders, one for each runner, that a few senders work through."""

import heapq
import itertools
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from anyio.abc import TaskGroup

Order = TypeVar("Order")


class OrderQueue(Generic[Order]):
    """Orders that wait to be sent to one runner.

    Parameters
    ----------
    runner_id : str
        Id of the runner.

    Attributes
    ----------
    senders : int
        Number of senders that work on the queue.
    under_way : int
        Number of orders that its senders have taken and that have no result yet.
    is_answered : bool
        Whether the latest call got a response.
    """

    def __init__(self, runner_id: str):
        self.runner_id = runner_id
        self.senders = 0
        self.under_way = 0
        self.is_answered = True
        self._orders: list[tuple[int, int, Order]] = []
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._orders)

    def add(self, order: Order, rank: int = 0) -> None:
        """Add an order behind all of the same rank, and before those of higher ones."""
        heapq.heappush(self._orders, (rank, next(self._numbers), order))

    def put_back(self, order: Order, rank: int = 0) -> None:
        """Add an order that was taken, before all of the same rank."""
        heapq.heappush(self._orders, (rank, -next(self._numbers), order))

    def take(self) -> Order | None:
        """Remove and return the first order, or None."""
        return heapq.heappop(self._orders)[2] if self._orders else None


class OrderQueues(Generic[Order]):
    """Starts senders for runners with orders; they end when all are sent.

    Parameters
    ----------
    task_group : TaskGroup
        Runs the senders.
    most_senders : int
        Largest number of senders for one runner.
    send_all : callable
        Takes the orders of a queue and sends them, until none is left.

    Attributes
    ----------
    sender_count : int
        Number of senders for all runners.
    """

    def __init__(
        self,
        task_group: TaskGroup,
        most_senders: int,
        send_all: Callable[[OrderQueue[Order]], Awaitable[None]],
    ):
        self.sender_count = 0
        self._task_group = task_group
        self._most_senders = most_senders
        self._send_all = send_all
        self._queue_by_runner: dict[str, OrderQueue[Order]] = {}

    def count_answered(self) -> int:
        """Return the number of orders without a result for runners that respond."""
        count = 0
        for queue in self._queue_by_runner.values():
            if queue.is_answered:
                count += len(queue) + queue.under_way
        return count

    def add(self, runner_id: str, order: Order, rank: int = 0) -> None:
        """Add an order for a runner; see `OrderQueue.add`."""
        queue = self._queue_by_runner.get(runner_id)
        if queue is None:
            queue = self._queue_by_runner[runner_id] = OrderQueue(runner_id)
        queue.add(order, rank)
        if queue.senders < self._most_senders:
            queue.senders += 1
            self.sender_count += 1
            self._task_group.start_soon(self._run_sender, queue)

    async def _run_sender(self, queue: OrderQueue[Order]) -> None:
        try:
            await self._send_all(queue)
        finally:
            queue.senders -= 1
            self.sender_count -= 1
            if not queue.senders and not queue:
                del self._queue_by_runner[queue.runner_id]
