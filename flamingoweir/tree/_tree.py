"""Settings tree of one process at one version."""

from collections import deque
from dataclasses import dataclass, field

import orjson

from ._paths import branch_of

#: Number of recent changes kept in memory.
HISTORY_CHANGES = 512


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of the tree.

    Attributes
    ----------
    version : int
        Version of the tree after the change.
    id : str
        Id given by the caller, so that a repeated request is applied once.
    team : str
        Team that made the change.
    branch : str
        Branch that contains all paths of the change.
    values : dict of str to str or None
        New values by path; None removes a value.
    at : str
        Time of the change as ISO 8601 text, shown to operators.
    """

    version: int
    id: str
    team: str
    branch: str
    values: dict[str, str | None]
    at: str = ""


@dataclass(frozen=True, slots=True)
class TreeSnapshot:
    """The whole tree at one version.

    Attributes
    ----------
    version : int
        Version of the newest change contained.
    by_path : dict of str to str
        Values by path.
    version_by_branch : dict of str to int
        Version of the newest change of each branch.
    """

    version: int
    by_path: dict[str, str]
    version_by_branch: dict[str, int]


@dataclass(slots=True)
class SettingsTree:
    """Values by path at one version.

    Attributes
    ----------
    version : int
        Version of the newest change contained; never falls.
    by_path : dict of str to str
        Values by path.
    version_by_branch : dict of str to int
        Version of the newest change of each branch.
    recent_changes : deque of Change
        At most `HISTORY_CHANGES` latest changes, which peers fetch and ``history``
        shows.
    """

    version: int = 0
    by_path: dict[str, str] = field(default_factory=dict)
    version_by_branch: dict[str, int] = field(default_factory=dict)
    recent_changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=HISTORY_CHANGES)
    )

    def apply(self, change: Change) -> bool:
        """Apply a change if it follows the current version; return whether it does."""
        if change.version != self.version + 1:
            return False
        for path, value in change.values.items():
            if value is None:
                self.by_path.pop(path, None)
                continue
            self.by_path[path] = value
        self.version = change.version
        self.version_by_branch[change.branch] = change.version
        self.recent_changes.append(change)
        return True

    def replace(self, snapshot: TreeSnapshot) -> bool:
        """Replace the tree by a snapshot if that is newer; return whether it is."""
        if snapshot.version <= self.version:
            return False
        self.version = snapshot.version
        self.by_path = dict(snapshot.by_path)
        self.version_by_branch = dict(snapshot.version_by_branch)
        self.recent_changes.clear()
        return True

    def snapshot(self) -> TreeSnapshot:
        """Return a copy of the whole tree."""
        return TreeSnapshot(
            self.version, dict(self.by_path), dict(self.version_by_branch)
        )

    def changes_after(self, version: int) -> list[Change] | None:
        """Return the changes after ``version``; None if some are no longer kept."""
        if version >= self.version:
            return []
        if not self.recent_changes or self.recent_changes[0].version > version + 1:
            return None
        return [change for change in self.recent_changes if change.version > version]

    def values_under(self, prefix: str) -> dict[str, str]:
        """Return the values at and under the path ``prefix``, sorted by path."""
        if not prefix:
            return dict(sorted(self.by_path.items()))
        lower_prefix = prefix.rstrip("/") + "/"
        return {
            path: value
            for path, value in sorted(self.by_path.items())
            if path.startswith(lower_prefix) or path == prefix
        }

    def is_zone_open(self, zone: str) -> bool:
        """Return whether a zone is open, so that tasks may be started there."""
        return self.by_path.get(f"zones/{zone}/state", "in") == "in"

    def branch_version(self, path: str) -> int:
        """Return the version of the newest change of a path's branch; 0 for none."""
        return self.version_by_branch.get(branch_of(path), 0)


def encode_change(change: Change) -> str:
    """Encode a change as JSON text."""
    return orjson.dumps(change).decode()


def decode_change(text: str | bytes) -> Change:
    """Decode a change from JSON text."""
    return Change(**orjson.loads(text))
