"""Random histories of keys that are added and removed while anything fails.

Instances pause, restart, are cut off from the store, or have clocks that are off; the
store refuses, is silent, slow, or ends waits early, and loses its history after telling
watchers nothing for a second. More histories than in CI are checked with
``KEY_HISTORIES=200 pytest tests/test_key_histories.py``.
"""

import contextvars
import os
import random
from dataclasses import dataclass, field

import anyio
import pytest

from flamingoweir.ownership import Backlog
from flamingoweir.storage import RowId
from tests.utils.cluster import Cluster, Member, run_cluster
from tests.utils.ingress import call
from tests.utils.virtual_time import current_process, run_virtual

HISTORIES = int(os.environ.get("KEY_HISTORIES", "8"))
#: `RevokeMs` and `ConfigApplyMs` of the known deployment, in seconds.
REVOKE_S = 5.0
APPLY_S = 3.0
#: Seconds for which the store tells watchers nothing before it drops its history.
WITHHELD_S = 1.0
HISTORY_S = 45.0
CALL_INTERVAL_S = 0.1
NEVER_CONFIGURED = "key-never"


@dataclass
class Call:
    member: str
    key: str | None
    sent_s: float
    answered_s: float
    status: int


@dataclass
class KeyRecord:
    """What the store confirmed, and what instances answered.

    Attributes
    ----------
    versions : list of (float, frozenset of str)
        Times at which configurations were confirmed, and the keys in each; none in a
        row that can't be read.
    calls : list of Call
        All calls that were answered.
    """

    versions: list[tuple[float, frozenset[str]]] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)

    def was_valid(self, key: str | None, from_s: float, to_s: float) -> list[bool]:
        """Return whether a key was valid in each version in force in a time span."""
        found = []
        for number, (confirmed_s, keys) in enumerate(self.versions):
            ended_s = float("inf")
            if number + 1 < len(self.versions):
                ended_s = self.versions[number + 1][0]
            if confirmed_s <= to_s and ended_s >= from_s:
                found.append(key in keys)
        return found

    def find_violations(self) -> list[str]:
        violations = []
        for made in self.calls:
            valid = self.was_valid(made.key, made.sent_s - REVOKE_S, made.answered_s)
            if made.status == 200 and not any(valid):
                violations.append(f"served with a removed or unknown key: {made}")
            valid = self.was_valid(made.key, made.sent_s - APPLY_S, made.answered_s)
            if made.status == 401 and all(valid):
                violations.append(f"refused with a valid key: {made}")
        return violations


class KeyHistory:
    """Plays one random history on a cluster."""

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.record = KeyRecord()
        self.keys = ["key-0", "key-1", "key-2"]
        self.removed = "key-removed"
        self.version = 0
        self._row = RowId("op", "", "config")

    def publish(self) -> None:
        """Write a version that removes the oldest key and adds one."""
        self.version += 1
        self.removed = self.keys.pop(0)
        self.keys.append(f"key-{self.version + 2}")
        customers = [
            {"Name": "kaje80", "ApiKeys": self.keys[:2]},
            {"Name": "lume12", "ApiKeys": self.keys[2:]},
        ]
        self.cluster.configure(self.version + 1, Tenants=customers)
        self._record_version(self.keys)

    def publish_unreadable(self) -> None:
        """Write a row that can't be read; whichever keys it has may be removed."""
        self.cluster.rows.put(self._row, b'{"Version":9,"Tenants":[{"ApiKeys":0}]}')
        self._record_version([])

    def _record_version(self, keys: list[str]) -> None:
        confirmed_s = anyio.current_time()
        self.record.versions.append((confirmed_s, frozenset(keys)))

    async def run(self) -> None:
        cluster = self.cluster
        self.publish()
        for number in range(4):
            name = f"front-{number}"
            cluster.clock_rate_by_member[name] = self.random.uniform(0.99, 1.01)
            self.add_member(name)
        events = [
            self.change,
            self.change,
            self.change_unseen,
            self.change_unseen,
            self.cut_off,
            self.lose_store,
            self.slow_store,
            self.pause,
            self.restart,
            self.break_row,
            self.end_waits_early,
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.make_calls)
            await anyio.sleep(3.0)
            end_s = anyio.current_time() + HISTORY_S
            while anyio.current_time() < end_s:
                tasks.start_soon(self.random.choice(events))
                await anyio.sleep(self.random.uniform(0.2, 2.5))
            await anyio.sleep(12.0)
            tasks.cancel_scope.cancel()

    def add_member(self, name: str) -> None:
        member = self.cluster.add_member(name)
        # The count of waiting jobs is always known, so that a call whose key is
        # accepted succeeds without the store.
        member.instance.handler._backlog = lambda max_age_s: Backlog()

    def choose_member(self) -> Member:
        return self.random.choice(list(self.cluster.member_by_name.values()))

    async def make_calls(self) -> None:
        while True:
            keys = [self.removed, self.keys[0], self.keys[-1], NEVER_CONFIGURED, None]
            for member in self.cluster.member_by_name.values():
                context = contextvars.copy_context()
                context.run(current_process.set, member.process)
                for key in keys:
                    context.run(
                        self.cluster.tasks.start_soon, self.make_call, member, key
                    )
            await anyio.sleep(CALL_INTERVAL_S)

    async def make_call(self, member: Member, key: str | None) -> None:
        sent_s = anyio.current_time()
        # The request arrives later, and not while the process is paused.
        await anyio.sleep(0.001)
        answer = await call(self.cluster, member, "GET", "", key)
        answered_s = anyio.current_time()
        self.record.calls.append(
            Call(member.name, key, sent_s, answered_s, answer.status)
        )

    async def change(self) -> None:
        self.publish()

    async def change_unseen(self) -> None:
        """Change keys while watchers are told nothing; cut an instance off after it.

        Until then, waits of that instance may be answered early, so that its last proof
        is from the end of the time in which it is told nothing.
        """
        rows = self.cluster.rows
        if rows.feeds_withheld:
            return
        rows.feeds_withheld = True
        member = self.choose_member()
        if self.random.random() < 0.7:
            member.store.longest_wait_s = self.random.uniform(0.02, 0.9)
        waited_s = self.random.choice([0.0, self.random.uniform(0.0, 0.9)])
        await anyio.sleep(waited_s)
        self.publish()
        await anyio.sleep(WITHHELD_S - waited_s - 0.001)
        if self.random.random() < 0.7:
            fail = self._fail, [member], self.random.uniform(5.0, 9.0)
            self.cluster.tasks.start_soon(*fail)
        await anyio.sleep(0.001)
        rows.discard_table_history("op")
        rows.feeds_withheld = False
        member.store.longest_wait_s = float("inf")

    async def cut_off(self) -> None:
        await self._fail([self.choose_member()], self.random.uniform(1.0, 9.0))

    async def lose_store(self) -> None:
        members = list(self.cluster.member_by_name.values())
        await self._fail(members, self.random.uniform(0.5, 7.0))

    async def _fail(self, members: list[Member], duration_s: float) -> None:
        fault = self.random.choice(["down", "silent"])
        for member in members:
            setattr(member.store, fault, True)
        await anyio.sleep(duration_s)
        for member in members:
            setattr(member.store, fault, False)

    async def slow_store(self) -> None:
        store = self.choose_member().store
        store.delay_s, store.response_delay_s = 0.2, 0.2
        await anyio.sleep(self.random.uniform(1.0, 6.0))
        store.delay_s, store.response_delay_s = 0.0, 0.0

    async def end_waits_early(self) -> None:
        store = self.choose_member().store
        store.longest_wait_s = 0.2
        await anyio.sleep(self.random.uniform(1.0, 6.0))
        store.longest_wait_s = float("inf")

    async def pause(self) -> None:
        member = self.choose_member()
        if member.process.paused:
            return
        member.process.paused = True
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self.random.uniform(0.5, 8.0))
            member.process.resume()

    async def restart(self) -> None:
        member = self.choose_member()
        if member.process.paused:
            return
        self.cluster.kill_member(member)
        await anyio.sleep(self.random.uniform(0.0, 1.0))
        self.add_member(member.name)

    async def break_row(self) -> None:
        self.publish_unreadable()
        await anyio.sleep(self.random.uniform(0.5, 8.0))
        self.publish()


def run_history(seed: int) -> KeyRecord:
    async def scenario():
        async with run_cluster(members=0, runners=0, seed=seed) as cluster:
            cluster.settings = {
                "customers": True,
                "revoke_s": REVOKE_S,
                "config_apply_s": APPLY_S,
            }
            history = KeyHistory(cluster, seed)
            await history.run()
            return history.record

    return run_virtual(scenario)


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_no_history_breaks_the_rules_on_keys(seed):
    """Guards against removed keys that work too long, and valid ones that are refused.

    No call with a key removed for longer than the time to revoke succeeds, none with a
    key that was never configured, and none with a key that has been valid for longer
    than the time to apply a configuration is refused as unauthenticated.
    """
    record = run_history(seed)
    assert not record.find_violations()
    succeeded = [made for made in record.calls if made.status == 200]
    refused = [made for made in record.calls if made.status == 401]
    assert len(succeeded) > len(record.calls) / 8, "valid keys work most of the time"
    assert len(refused) > len(record.calls) / 8, "others are refused as such"
