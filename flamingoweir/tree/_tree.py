"""The tree as one process knows it."""

from collections import deque
from dataclasses import dataclass, field

import orjson

from ._paths import branch_of

HISTORY_CHANGES = 512


@dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of the tree.

    Attributes
    ----------
    version : int
        The tree's version that the change makes.
    id : str
        Given by whoever asked for the change, to ask again without harm.
    team : str
        Who made it.
    branch : str
        The branch that all its paths lie in.
    values : dict of str to str or None
        New values by path; None removes a value.
    at : str
        When it was accepted, as ISO 8601 text, for people.
    """

    version: int
    id: str
    team: str
    branch: str
    values: dict[str, str | None]
    at: str = ""


@dataclass(frozen=True, slots=True)
class TreeSnapshot:
    """The whole tree at a version."""

    version: int
    by_path: dict[str, str]
    version_by_branch: dict[str, int]


@dataclass(slots=True)
class SettingsTree:
    """Values by path, at one version.

    Attributes
    ----------
    version : int
        Number of the newest change contained; never falls.
    by_path : dict of str to str
        Values.
    version_by_branch : dict of str to int
        The newest change of each branch.
    recent_changes : deque of Change
        The latest changes, for peers and for ``history``.
    """

    version: int = 0
    by_path: dict[str, str] = field(default_factory=dict)
    version_by_branch: dict[str, int] = field(default_factory=dict)
    recent_changes: deque[Change] = field(
        default_factory=lambda: deque(maxlen=HISTORY_CHANGES)
    )

    def apply(self, change: Change) -> bool:
        """Apply the next change; return False for any other."""
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
        """Take a whole newer tree; return False for an older one."""
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
        """Return the changes that follow ``version``, or None if some are gone."""
        if version >= self.version:
            return []
        if not self.recent_changes or self.recent_changes[0].version > version + 1:
            return None
        return [change for change in self.recent_changes if change.version > version]

    def values_under(self, prefix: str) -> dict[str, str]:
        """Return all values whose path lies below ``prefix``."""
        if not prefix:
            return dict(sorted(self.by_path.items()))
        lower_prefix = prefix.rstrip("/") + "/"
        return {
            path: value
            for path, value in sorted(self.by_path.items())
            if path.startswith(lower_prefix) or path == prefix
        }

    def is_zone_open(self, zone: str) -> bool:
        """Return whether tasks may be started in a zone."""
        return self.by_path.get(f"zones/{zone}/state", "in") == "in"

    def branch_version(self, path: str) -> int:
        """Return the newest change of the branch that a path lies in."""
        return self.version_by_branch.get(branch_of(path), 0)


def encode_change(change: Change) -> str:
    """Write a change as JSON text."""
    return orjson.dumps(change).decode()


def decode_change(text: str | bytes) -> Change:
    """Read a change from JSON text."""
    return Change(**orjson.loads(text))
