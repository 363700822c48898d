"""HTTP for callers and operators."""

from ._app import EntryApp
from ._callers import CallerApp
from ._operators import OperatorDesk, create_operator_app, describe_peers

__all__ = [
    "CallerApp",
    "EntryApp",
    "OperatorDesk",
    "create_operator_app",
    "describe_peers",
]
