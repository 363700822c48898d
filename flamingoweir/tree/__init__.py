"""Settings tree with branches that belong to teams, and versions that never fall."""

from ._paths import OPERATORS_TEAM, branch_of, check_value, owning_team
from ._services import ServiceDeclaration, services_of
from ._store import SNAPSHOT_INTERVAL_CHANGES, TreeStore
from ._tree import Change, SettingsTree, TreeSnapshot, decode_change, encode_change

__all__ = [
    "OPERATORS_TEAM",
    "SNAPSHOT_INTERVAL_CHANGES",
    "Change",
    "ServiceDeclaration",
    "SettingsTree",
    "TreeSnapshot",
    "TreeStore",
    "branch_of",
    "check_value",
    "decode_change",
    "encode_change",
    "owning_team",
    "services_of",
]
