"""What tasks do to each other, learnt from lagging usage, and what is done."""

from ._controller import (
    BatchTask,
    ColocatedWorker,
    InterferenceController,
    ServiceTask,
)
from ._effects import EffectModel
from ._policies import (
    INTERFERENCE_POLICY_BY_NAME,
    Action,
    EvictOnly,
    InterferencePolicy,
    NoControl,
    ThrottleThenEvict,
)

__all__ = [
    "INTERFERENCE_POLICY_BY_NAME",
    "Action",
    "BatchTask",
    "ColocatedWorker",
    "EffectModel",
    "EvictOnly",
    "InterferenceController",
    "InterferencePolicy",
    "NoControl",
    "ServiceTask",
    "ThrottleThenEvict",
]
