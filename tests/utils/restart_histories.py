"""Random restarts of all instances in turn, while runners are replaced.

A `RestartHistory` is a `LossHistory` whose owners are stopped in order, one after the
other, and are back some seconds later. Such a stop is none of the losses from which the
time counts.
"""

import random

import anyio

from tests.utils.cluster import Member
from tests.utils.loss_histories import (
    LossHistory,
    OwnerLoss,
    RunnerLoss,
    StoreOrOrderFault,
)

#: Instances of a history. One stops about every 2 s, and is back 2 to 4 s later.
MEMBERS = 6
#: How runners are lost, each with its weight.
WEIGHT_BY_RUNNER_LOSS = {
    "leave": 10,
    "vanish": 3,
    "cut": 2,
    "cut_but_owner": 3,
    "cut_until_next_owner": 4,
}


def draw_restarts(generator: random.Random) -> list[OwnerLoss]:
    """Return three to seven owners that stop, and one or two runners lost meanwhile.

    The runners are lost, or say that they leave, with one of the first two. In a fifth
    of the histories one of the owners is killed, and a fifth of them all has slow
    responses of the store or one that is lost.
    """
    count = generator.randint(3, 7)
    killed = generator.randrange(5 * count)
    restarts = []
    for number in range(count):
        kind = "kill_and_return" if number == killed else "restart_in_order"
        faults = []
        if generator.random() < 0.2:
            fault = generator.choice(("lose_answer", "delay_answers"))
            offset_s, duration_s = generator.uniform(-1, 1), generator.uniform(0.2, 4)
            faults.append(StoreOrOrderFault(offset_s, fault, duration_s))
        pause_s, back_s = generator.uniform(1.7, 2.3), generator.uniform(2, 4)
        restarts.append(OwnerLoss(pause_s, kind, back_s, [], faults))
    kinds, weights = list(WEIGHT_BY_RUNNER_LOSS), WEIGHT_BY_RUNNER_LOSS.values()
    for _ in range(generator.randint(1, 2)):
        (kind,) = generator.choices(kinds, list(weights))
        longest_s = 14.0 if kind.startswith("cut") else 6.0
        duration_s = generator.uniform(1, longest_s)
        loss = RunnerLoss(generator.uniform(-1.5, 1), kind, duration_s)
        generator.choice(restarts[:2]).runner_losses.append(loss)
    return restarts


class RestartHistory(LossHistory):
    """Stops owners in order, and loses runners as while they are replaced.

    Attributes
    ----------
    losses : list of (float, str)
        As of `LossHistory`, but without owners that stop in order. A runner is lost
        once more when it goes after it has said that it leaves, and when the only
        instance that reached it has stopped, which may have renewed leases till then.
    """

    async def _restart_in_order(self, owner: Member, duration_s: float) -> None:
        # It was recorded right before this call.
        self.losses.pop()
        renewed = owner.instance.term is not None
        with anyio.move_on_after(5):
            await owner.instance.leave()
        for runner_id, name in self._cluster.sole_member_by_runner.items():
            if renewed and name == owner.name:
                self.losses.append((anyio.current_time(), runner_id))
        await self._kill_and_return(owner, duration_s)

    async def _leave(self, runner, duration_s: float) -> None:
        self._cluster.list_runner(runner.id, state="draining")
        await anyio.sleep(duration_s)
        self.losses.append((anyio.current_time(), runner.id))
        await self._crash_unlisted(runner, duration_s)

    async def _vanish(self, runner, duration_s: float) -> None:
        await self._crash(runner, duration_s)
        await anyio.sleep(duration_s)
        self._cluster.unlist_runner(runner.id)

    async def _cut_until_next_owner(self, runner, duration_s: float) -> None:
        """Let nobody reach a runner, then only whoever is the owner by then.

        In half of the cases that owner is cut from the rest soon, as it may have just
        renewed a lease of which its row says less.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cut, runner, duration_s)
            await anyio.sleep(min(duration_s / 2, self._generator.uniform(0.5, 3.5)))
            owner = self.find_owner()
            if owner is None or owner in self._lost_members:
                return
            self._cluster.sole_member_by_runner[runner.id] = owner.name
            self._connect()
            if self._generator.random() < 0.5:
                await anyio.sleep(self._generator.uniform(0, 0.6))
                if self.find_owner() is owner:
                    await self._lose_owner(OwnerLoss(0.0, "cut_from_all", 8.0, [], []))

    async def _cut_but_for(self, name: str, runner, duration_s: float) -> None:
        if self._generator.random() < 0.3:
            self._cluster.list_runner(runner.id, state="draining")
        await super()._cut_but_for(name, runner, duration_s)
