"""HTTP applications for callers and operators."""

from ._app import EntryApp
from ._callers import CallerApp
from ._operators import OperatorHandler, create_operator_app, describe_peers

__all__ = [
    "CallerApp",
    "EntryApp",
    "OperatorHandler",
    "create_operator_app",
    "describe_peers",
]
