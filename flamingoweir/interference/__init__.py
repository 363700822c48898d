"""What tasks do to each other, learnt from lagging usage, and what is done."""

from ._controller import (
    BatchTask,
    ColocatedWorker,
    InterferenceController,
    ServiceTask,
)
from ._effects import PairEffects
from ._ladder import (
    INTERFERENCE_POLICY_BY_NAME,
    EvictOnly,
    Ladder,
    NoControl,
    Step,
    StepPolicy,
)

__all__ = [
    "INTERFERENCE_POLICY_BY_NAME",
    "BatchTask",
    "ColocatedWorker",
    "EvictOnly",
    "InterferenceController",
    "Ladder",
    "NoControl",
    "PairEffects",
    "ServiceTask",
    "Step",
    "StepPolicy",
]
