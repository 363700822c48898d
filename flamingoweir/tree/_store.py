"""The tree in the platform's table: proposals and reads of what is newest."""

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
SNAPSHOT_INTERVAL_CHANGES = 200
MAX_PROPOSE_ATTEMPTS = 8
SCAN_PAGE_ROWS = 200


@dataclass(frozen=True, slots=True)
class TreeHead:
    """The row that says which change is the newest.

    Attributes
    ----------
    version : int
        The newest change.
    snapshot : int
        A version whose whole tree is stored as an object; 0 for none.
    """

    version: int = 0
    snapshot: int = 0


class TreeStore:
    """The process's tree and its way to the table.

    Attributes
    ----------
    tree : SettingsTree
        The tree.
    confirmed_s : float
        On this process's clock, a moment at which no newer change than the
        tree's had been accepted.
    reachable : bool
        Whether the latest call to the store was answered.
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
        """Whether any version was ever confirmed, by the store or by a peer."""
        return self.confirmed_s > float("-inf")

    def confirm(self, at_s: float) -> None:
        """Note that the tree was the newest at ``at_s``."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    async def refresh(self) -> None:
        """Read what is newer than the tree; raises TableUnavailable."""
        await self._refresh_head()

    async def propose(
        self,
        change_id: str,
        team: str,
        values: dict[str, str | None],
        expected: int | None,
        at: str,
    ) -> Change:
        """Make a change durable.

        Parameters
        ----------
        change_id : str
            Names the change; the same id is never applied twice.
        team : str
            Who asks.
        values : dict of str to str or None
            New values by path, all in one branch.
        expected : int or None
            The branch's version that the change was made for, if it matters.
        at : str
            The time, for people.

        Returns
        -------
        Change
            The accepted change, which the tree contains.

        Raises
        ------
        FlamingoweirError
            With a verdict that says whether the change may have been accepted.
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
                raise TableUnavailable(f"settings snapshot {head.snapshot} is missing")
            self.tree.replace(TreeSnapshot(**orjson.loads(content)))
        while self.tree.version < head.version:
            rows = await self._table.scan(
                "settings/change/", _change_key(self.tree.version), SCAN_PAGE_ROWS
            )
            if not rows:
                raise TableUnavailable("the settings' changes are incomplete")
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
        raise FlamingoweirError(ErrorCode.BAD_REQUEST, "a change needs a value")
    branches = {branch_of(path) for path in values}
    if len(branches) > 1:
        names = ", ".join(sorted(branches))
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, f"a change lies in one branch, not in {names}"
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
