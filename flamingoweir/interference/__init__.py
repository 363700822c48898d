"""Interference of batch tasks with services on the same worker.

The slowdown of each service beside each class of batch work is learnt from the
workers' delayed reports. Batch that slows a service beyond its latency target is
throttled or evicted.
"""

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
