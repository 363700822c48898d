"""When calls of a shard's earlier owners have no effect any more."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from ._late_runs import (
    BOUND_KEPT_S,
    BoundTask,
    decode_run_hashes,
    hash_run,
    make_bound_row,
)
from ._owner_record import UNBOUNDED_LEASES_END_IN_S, OwnerRecord
from ._store_clock import StoreClock

#: Seconds after an owner's last write until no start order of it can reach a runner, if
#: the row does not say so: it sends them for 1.4 s, and they come up to 15 s late.
UNBOUNDED_STARTS_END_IN_S = 16.4


class EarlierLeases:
    """When the leases of earlier owners have lapsed, on a new owner's clock.

    Parameters
    ----------
    end_s : float
        When all of them have lapsed, in seconds.
    end_s_by_runner : mapping of str to float
        When those on a runner have lapsed, in seconds, for runners with another end.
    starts_end_s : float
        When no start order of earlier owners can reach a runner, in seconds.
    starts_end_s_by_runner : mapping of str to float
        The same for runners with another end.
    unanswered_end_s_by_runner : mapping of str to float
        When no start order without a response can reach a runner, in seconds; an empty
        id stands for all others.
    late_run_hashes : frozenset of str or None
        Hashes of the runs whose start orders may reach their runner; None: any run.
    bound_tasks : sequence of BoundTask
        Tasks of which a start order may arrive, though a later attempt may have begun.
    """

    def __init__(
        self,
        end_s: float,
        end_s_by_runner: Mapping[str, float],
        starts_end_s: float = float("-inf"),
        starts_end_s_by_runner: Mapping[str, float] = MappingProxyType({}),
        unanswered_end_s_by_runner: Mapping[str, float] = MappingProxyType({}),
        late_run_hashes: frozenset[str] | None = None,
        bound_tasks: Sequence[BoundTask] = (),
    ):
        self.end_s = end_s
        self._end_s_by_runner = end_s_by_runner
        self._starts_end_s = starts_end_s
        self._starts_end_s_by_runner = starts_end_s_by_runner
        self._unanswered_end_s_by_runner = unanswered_end_s_by_runner
        self.late_run_hashes = late_run_hashes
        self.bound_tasks = bound_tasks

    @classmethod
    def none(cls) -> "EarlierLeases":
        """Return the leases of a shard that had no owner before: there are none."""
        return cls(float("-inf"), {})

    @classmethod
    def of(
        cls, record: OwnerRecord | None, seen_s: float, store_clock: StoreClock
    ) -> "EarlierLeases":
        """Return the leases that an owner row bounds.

        Parameters
        ----------
        record : OwnerRecord or None
            Content of the row; None if it is malformed.
        seen_s : float
            Time on the new owner's clock, in seconds, by which the row was written.
        store_clock : StoreClock
            The store's clock; it tells how long ago the row was written.
        """
        if record is None:
            return cls(
                seen_s + UNBOUNDED_LEASES_END_IN_S,
                {},
                seen_s + UNBOUNDED_STARTS_END_IN_S,
            )

        def find_end_s(end_in_s: float) -> float:
            end_s = seen_s + end_in_s
            if record.written_s is None:
                return end_s
            by_store_s = store_clock.reached_by(record.written_s + end_in_s)
            return end_s if by_store_s is None else min(end_s, by_store_s)

        end_s_by_runner = {}
        for runner, end_in_s in record.leases_end_in_s_by_runner.items():
            end_s_by_runner[runner] = find_end_s(end_in_s)
        end_s = find_end_s(record.leases_end_in_s)
        unanswered_end_s_by_runner = {}
        for runner, end_in_s in record.unanswered_starts_end_in_s_by_runner.items():
            unanswered_end_s_by_runner[runner] = find_end_s(end_in_s)
        late_run_hashes = None
        if record.late_run_hashes is not None:
            late_run_hashes = decode_run_hashes(record.late_run_hashes)
        bound_tasks = []
        for runner, rows in record.bound_tasks.items():
            for task_hash, left_s, ran_ago_s in rows:
                until_s, ran_s = find_end_s(left_s), find_end_s(-ran_ago_s)
                bound_tasks.append(BoundTask(task_hash, runner, until_s, ran_s))
        if record.late_starts_end_in_s_by_runner is None:
            starts_end_s = find_end_s(UNBOUNDED_STARTS_END_IN_S)
            return cls(
                end_s,
                end_s_by_runner,
                starts_end_s,
                unanswered_end_s_by_runner=unanswered_end_s_by_runner,
                late_run_hashes=late_run_hashes,
                bound_tasks=bound_tasks,
            )
        starts_end_s_by_runner = {}
        for runner, end_in_s in record.late_starts_end_in_s_by_runner.items():
            starts_end_s_by_runner[runner] = find_end_s(end_in_s)
        return cls(
            end_s,
            end_s_by_runner,
            starts_end_s_by_runner=starts_end_s_by_runner,
            unanswered_end_s_by_runner=unanswered_end_s_by_runner,
            late_run_hashes=late_run_hashes,
            bound_tasks=bound_tasks,
        )

    def find_end_s(self, runner: str) -> float:
        """Return when the leases on a runner have lapsed, in seconds."""
        return self._end_s_by_runner.get(runner, self.end_s)

    def find_starts_end_s(self, runner: str, run: str) -> float:
        """Return when no start order of a run can reach a runner any more, in seconds.

        Parameters
        ----------
        runner : str
            Id of the runner.
        run : str
            The run, as ``TASK#RUN``.
        """
        hashes = self.late_run_hashes
        if hashes is not None and hash_run(run) not in hashes:
            return float("-inf")
        return self._find_starts_end_s(runner)

    def _find_starts_end_s(self, runner: str) -> float:
        return self._starts_end_s_by_runner.get(runner, self._starts_end_s)

    def find_unanswered_end_s(self, runner: str) -> float:
        """Return when no order without a response can reach a runner, in seconds.

        Orders that were sent after the row was written count as without a response.
        """
        others_s = self._unanswered_end_s_by_runner.get("", float("-inf"))
        end_s = self._unanswered_end_s_by_runner.get(runner, others_s)
        return max(end_s, self._find_starts_end_s(runner))

    def list_unanswered_left_s(self, now_s: float) -> dict[str, float]:
        """Return the seconds left until then, by runner, as the row names them."""
        left_s_by_runner = {}
        for runner, end_s in self._unanswered_end_s_by_runner.items():
            if end_s > now_s:
                left_s_by_runner[runner] = end_s - now_s
        return left_s_by_runner

    def list_starts_left_s(self, now_s: float) -> dict[str, float] | None:
        """Return the seconds left until then by runner; None if it is one for all."""
        if self._starts_end_s > now_s:
            return None
        left_s_by_runner = {}
        for runner, end_s in self._starts_end_s_by_runner.items():
            if end_s > now_s:
                left_s_by_runner[runner] = end_s - now_s
        return left_s_by_runner

    def list_bound_left(
        self, now_s: float
    ) -> dict[str, list[tuple[str, float, float]]]:
        """Return the bound tasks with the seconds left, as an owner row has them."""
        bound_by_runner: dict[str, list[tuple[str, float, float]]] = {}
        for bound in self.bound_tasks:
            if bound.until_s + BOUND_KEPT_S <= now_s:
                continue
            row = make_bound_row(bound.task_hash, bound.until_s, bound.ran_s, now_s)
            bound_by_runner.setdefault(bound.runner, []).append(row)
        return bound_by_runner

    @property
    def latest_end_s(self) -> float:
        """When the last of the leases has lapsed, in seconds."""
        return max([self.end_s, *self._end_s_by_runner.values()])

    def left_s_by_runner(self, now_s: float) -> dict[str, float]:
        """Return the seconds left for each runner with an end of its own."""
        left_s_by_runner = {}
        for runner, end_s in self._end_s_by_runner.items():
            left_s_by_runner[runner] = max(0.0, end_s - now_s)
        return left_s_by_runner
