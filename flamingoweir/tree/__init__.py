"""The settings tree: branches owned by teams, versions that only rise."""

from ._paths import OPERATORS_TEAM, branch_of, check_value, owner_of
from ._services import ServiceDeclaration, services_of
from ._store import SNAPSHOT_EVERY, TreeStore
from ._tree import Change, SettingsTree, TreeSnapshot, decode_change, encode_change

__all__ = [
    "OPERATORS_TEAM",
    "SNAPSHOT_EVERY",
    "Change",
    "ServiceDeclaration",
    "SettingsTree",
    "TreeSnapshot",
    "TreeStore",
    "branch_of",
    "check_value",
    "decode_change",
    "encode_change",
    "owner_of",
    "services_of",
]
