"""Reads and changes of the settings tree in the platform's table."""

from dataclasses import dataclass

import orjson

from ..clock import Clock
from ..errors import (
    ErrorCode,
    FlamingoweirError,
    outcome_unknown_error,
    store_unavailable_error,
)
from ..storage import (
    ABSENT_VERSION,
    ObjectStore,
    Precondition,
    PreconditionFailed,
    Row,
    Table,
    TableUnavailable,
    TransactionUnknown,
    Write,
)
from ._paths import branch_of, check_value, owning_team
from ._tree import Change, SettingsTree, TreeSnapshot, decode_change, encode_change

HEAD_KEY = "settings/head"
#: Number of changes after which a snapshot of the tree is stored.
SNAPSHOT_INTERVAL_CHANGES = 200
#: Largest number of attempts to commit a proposed change.
MAX_PROPOSE_ATTEMPTS = 8
#: Largest number of rows that one scan for changes reads.
SCAN_PAGE_ROWS = 200


@dataclass(frozen=True, slots=True)
class TreeHead:
    """Content of the row that names the newest change.

    Attributes
    ----------
    version : int
        Version of the newest change; 0 before the first.
    snapshot : int
        Version of the latest tree stored as an object; 0 for none.
    """

    version: int = 0
    snapshot: int = 0


class TreeStore:
    """Settings tree of this process, read from and changed in the platform's table.

    Parameters
    ----------
    table : Table
        Table of the head, the changes and the change ids.
    objects : ObjectStore
        Store of snapshots.
    clock : Clock
        Monotonic clock of this instance.

    Attributes
    ----------
    tree : SettingsTree
        The tree at the newest version that was read here or fetched from a peer.
    confirmed_s : float
        Latest time, in seconds on this instance's clock, at which no change newer than
        the tree is known to have been accepted; ``-inf`` if there is none.
    reachable : bool
        Whether the latest read of the head and of newer changes succeeded.
    """

    def __init__(self, table: Table, objects: ObjectStore, clock: Clock):
        self.tree = SettingsTree()
        self.confirmed_s = float("-inf")
        self.reachable = False
        self._table = table
        self._objects = objects
        self._clock = clock

    @property
    def is_loaded(self) -> bool:
        """Whether a version has been confirmed, by the store or by a peer."""
        return self.confirmed_s > float("-inf")

    def confirm(self, at_s: float) -> None:
        """Record that no change newer than the tree had been accepted at ``at_s``."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    async def refresh(self) -> None:
        """Read and apply the changes that are newer than the tree.

        Raises
        ------
        TableUnavailable
            If the table can't be read, or lacks a snapshot or changes.
        """
        await self._refresh_head()

    async def propose(
        self,
        change_id: str,
        team: str,
        values: dict[str, str | None],
        expected: int | None,
        at: str,
    ) -> Change:
        """Commit a change to the table and apply it to the tree.

        Parameters
        ----------
        change_id : str
            Id of the change. A change with an id that was accepted before is not
            applied again.
        team : str
            Team that proposes the change.
        values : dict of str to str or None
            New values by path, all in one branch; None removes a value.
        expected : int or None
            Version that the branch must have; None for any.
        at : str
            Current time as ISO 8601 text, shown to operators.

        Returns
        -------
        Change
            The accepted change, now or earlier under the same id.

        Raises
        ------
        FlamingoweirError
            If the change was not accepted, or if the outcome is unknown, for which the
            error has the verdict ``MAY_HAVE_RUN``.
        """
        branch = _check_branch(team, values)
        may_be_accepted = False
        for _ in range(MAX_PROPOSE_ATTEMPTS):
            try:
                head = await self._refresh_head()
                id_row = await self._table.get(_id_key(change_id))
                if id_row is not None:
                    return await self._read_change(id_row)
                self._check_expected(branch, expected)
                return await self._commit(head, change_id, team, branch, values, at)
            except PreconditionFailed:
                continue
            except TransactionUnknown:
                may_be_accepted = True
            except TableUnavailable as error:
                raise (
                    outcome_unknown_error()
                    if may_be_accepted
                    else store_unavailable_error()
                ) from error
        raise outcome_unknown_error() if may_be_accepted else store_unavailable_error()

    async def _commit(
        self,
        head: Row | None,
        change_id: str,
        team: str,
        branch: str,
        values: dict[str, str | None],
        at: str,
    ) -> Change:
        old_head = _decode_head(head)
        change = Change(old_head.version + 1, change_id, team, branch, values, at)
        snapshot = await self._save_snapshot(old_head)
        value = orjson.dumps(TreeHead(change.version, snapshot)).decode()
        await self._table.transact(
            [
                Precondition(HEAD_KEY, head.version if head else ABSENT_VERSION),
                Precondition(_id_key(change_id), ABSENT_VERSION),
            ],
            [
                Write(HEAD_KEY, value),
                Write(_change_key(change.version), encode_change(change)),
                Write(_id_key(change_id), str(change.version)),
            ],
        )
        self.tree.apply(change)
        return change

    async def _save_snapshot(self, old_head: TreeHead) -> int:
        if old_head.version < old_head.snapshot + SNAPSHOT_INTERVAL_CHANGES:
            return old_head.snapshot
        if self.tree.version != old_head.version:
            return old_head.snapshot
        content = orjson.dumps(self.tree.snapshot())
        await self._objects.put(_snapshot_name(old_head.version), content)
        return old_head.version

    async def _refresh_head(self) -> Row | None:
        asked_s = self._clock.now()
        try:
            row = await self._table.get(HEAD_KEY)
            await self._catch_up(_decode_head(row))
        except TableUnavailable:
            self.reachable = False
            raise
        self.reachable = True
        self.confirm(asked_s)
        return row

    async def _catch_up(self, head: TreeHead) -> None:
        if self.tree.version < head.snapshot:
            content = await self._objects.get(_snapshot_name(head.snapshot))
            if content is None:
                raise TableUnavailable(
                    f"the object of settings snapshot {head.snapshot} is missing"
                )
            self.tree.replace(TreeSnapshot(**orjson.loads(content)))
        while self.tree.version < head.version:
            rows = await self._table.scan(
                "settings/change/", _change_key(self.tree.version), SCAN_PAGE_ROWS
            )
            if not rows:
                raise TableUnavailable(
                    "rows of settings changes are missing from the table"
                )
            for row in rows:
                self.tree.apply(decode_change(row.value))

    async def _read_change(self, id_row: Row) -> Change:
        row = await self._table.get(_change_key(int(id_row.value)))
        return decode_change(row.value)

    def _check_expected(self, branch: str, expected: int | None) -> None:
        if expected is None:
            return
        current = self.tree.version_by_branch.get(branch, 0)
        if current != expected:
            raise FlamingoweirError(
                ErrorCode.CONFLICT,
                f"branch {branch!r} is at version {current}, not {expected}; "
                "read it again and repeat the change if it still makes sense",
            )


def _check_branch(team: str, values: dict[str, str | None]) -> str:
    if not values:
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, "the change contains no values; give at least one"
        )
    branches = {branch_of(path) for path in values}
    if len(branches) > 1:
        names = ", ".join(sorted(branches))
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            f"a change must lie in one branch, not in {names}; split it",
        )
    for path, value in values.items():
        check_value(path, value)
    branch = branches.pop()
    owner = owning_team(branch)
    if team != owner:
        raise FlamingoweirError(
            ErrorCode.FORBIDDEN_BRANCH,
            f"branch {branch!r} belongs to team {owner!r}, not to {team!r}",
        )
    return branch


def _decode_head(row: Row | None) -> TreeHead:
    return TreeHead(**orjson.loads(row.value)) if row else TreeHead()


def _change_key(version: int) -> str:
    return f"settings/change/{version:012d}"


def _id_key(change_id: str) -> str:
    return f"settings/id/{change_id}"


def _snapshot_name(version: int) -> str:
    return f"settings/snapshot/{version}"
