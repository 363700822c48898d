"""The ways from an instance to everything outside it."""

from collections.abc import Callable
from dataclasses import dataclass

from .dispatch import RunnerLink
from .registry import RowDecoder, RunnerEntry
from .storage import RowStore


@dataclass(frozen=True, slots=True)
class PlatformLinks:
    """The ways to everything outside, behind our own interfaces.

    Attributes
    ----------
    store : RowStore
        The store.
    row_decoder : RowDecoder
        Reads rows of operators and runners.
    operator_table, runner_table : str
        Their tables.
    connect : callable
        Makes the way to a runner.
    """

    store: RowStore
    row_decoder: RowDecoder
    operator_table: str
    runner_table: str
    connect: Callable[[RunnerEntry], RunnerLink]
