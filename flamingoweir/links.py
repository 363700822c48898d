"""Interfaces by which an instance reaches the platform."""

from collections.abc import Callable
from dataclasses import dataclass

from .dispatch import RunnerLink
from .registry import RowDecoder, RunnerEntry
from .storage import RowStore


@dataclass(frozen=True, slots=True)
class PlatformLinks:
    """Interfaces by which an instance reaches the platform and its runners.

    Attributes
    ----------
    store : RowStore
        Store of rows.
    owner_store : RowStore
        The same store over connections of its own, which requests of submitters don't
        use: an owner's renewals must not wait behind them.
    row_decoder : RowDecoder
        Decoder of the rows of operators and runners.
    operator_table, runner_table : str
        Names of the tables of operators and runners.
    connect : callable
        Returns a `RunnerLink` for a runner's entry.
    """

    store: RowStore
    owner_store: RowStore
    row_decoder: RowDecoder
    operator_table: str
    runner_table: str
    connect: Callable[[RunnerEntry], RunnerLink]
