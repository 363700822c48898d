"""What tasks do to each other, learnt from lagging usage, and what is done."""

from ._controller import (
    BatchTask,
    InterferenceController,
    Neighbourhood,
    ServiceTask,
)
from ._effects import PairEffects
from ._ladder import POLICY_BY_NAME, EvictOnly, Ladder, NoControl, Step, StepPolicy

__all__ = [
    "POLICY_BY_NAME",
    "BatchTask",
    "EvictOnly",
    "InterferenceController",
    "Ladder",
    "Neighbourhood",
    "NoControl",
    "PairEffects",
    "ServiceTask",
    "Step",
    "StepPolicy",
]
