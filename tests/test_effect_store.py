"""What an owner has learnt of colocated images outlives it."""

import anyio
import pytest

from flamingoweir.dispatch._effect_store import (
    MAX_ROW_BYTES,
    WRITE_INTERVAL_S,
    encode_effects,
)
from flamingoweir.ownership import effect_row, shard_name
from flamingoweir.policy import Effect
from flamingoweir.policy._effects import (
    EFFECT_DRIFT_STD,
    PRIOR_EFFECT,
    PRIOR_EFFECT_STD,
    EffectModel,
    new_baseline,
)
from flamingoweir.standins import ContentionModel
from flamingoweir.storage import StoreRefused
from tests.utils.cluster import make_job, make_step, run_cluster
from tests.utils.virtual_time import run_virtual

ROW = effect_row(shard_name(0))


def find_effect(member) -> float:
    """Return the effect of the batch image that an owner expects."""
    colocation = member.instance.term.owner_state.colocation
    for effect in colocation.list_effects(anyio.current_time()):
        if (effect.serving_image, effect.image) == ("web", "batch"):
            return effect.mean
    return PRIOR_EFFECT


async def learn_effect(cluster):
    """Run disturbing batch beside serving tasks until the owner has learnt it."""
    web = make_step(
        3, 2.0, lasting=True, image="web", latency_target_ms=50.0, max_per_runner=1
    )
    batch = make_step(6, 1.0, uses_spare=True, image="batch", checkpoints=True)
    for number in range(3):
        for run in range(1, 40):
            cluster.plan_by_task[f"{1:016x}.0.0.{number}#{run}"] = (1e9, None)
    await cluster.submit(make_job(1, web))
    for number in range(2, 8):
        await cluster.submit(make_job(number, batch))
        await anyio.sleep(2)
    await anyio.sleep(WRITE_INTERVAL_S + 1)


def fail_reads_of_row(member, fault: str, until_s: float) -> None:
    read = member.store.read

    async def read_or_fail(table, *args, **fields):
        if table == ROW.table and anyio.current_time() < until_s:
            if fault == "refused":
                raise StoreRefused("busy")
            await anyio.sleep(60)
        return await read(table, *args, **fields)

    member.store.read = read_or_fail


def make_contention() -> ContentionModel:
    return ContentionModel(lambda job, now_s: 0.4, lambda serving, other: 1.5)


@pytest.mark.parametrize("stored", ["kept", "unreadable"])
def test_next_owner_knows_the_effects(stored):
    """Guards against an owner that fills spare processors anew with what disturbs.

    A row that can't be read leaves the next owner without effects, but with its term.
    """

    async def scenario():
        async with run_cluster(contention=make_contention()) as cluster:
            owner = await cluster.owner()
            await learn_effect(cluster)
            learnt = find_effect(owner)
            assert learnt > PRIOR_EFFECT + 0.3
            if stored == "unreadable":
                cluster.rows.put(ROW, b'{"written_ms": 1, "effects": [["web"]]}')
            cluster.kill_member(owner)
            successor = await cluster.owner(timeout_s=10)
            with anyio.fail_after(2):
                while not successor.instance.term.owner_state.runner_by_id:
                    await anyio.sleep(0.02)
            await anyio.sleep(0.1)
            found = find_effect(successor)
            if stored == "unreadable":
                assert found != pytest.approx(learnt, abs=0.1)
            else:
                assert found == pytest.approx(learnt, abs=0.3)

    run_virtual(scenario)


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_owner_that_could_not_read_the_row_leaves_it(fault):
    """Guards against an owner that overwrites what it has not read yet.

    The reads of the row are refused, or get no response, for 8 s.
    """

    async def scenario():
        async with run_cluster(members=2, contention=make_contention()) as cluster:
            owner = await cluster.owner()
            await learn_effect(cluster)
            learnt = find_effect(owner)
            for member in cluster.member_by_name.values():
                if member is not owner:
                    fail_reads_of_row(member, fault, anyio.current_time() + 8)
            cluster.kill_member(owner)
            second = await cluster.owner(timeout_s=10)
            written = cluster.rows.row_by_id[ROW].value
            await anyio.sleep(WRITE_INTERVAL_S + 0.5)
            assert cluster.rows.row_by_id[ROW].value == written
            await anyio.sleep(4)
            if fault == "refused":
                assert find_effect(second) == pytest.approx(learnt, abs=0.3)
            assert second.instance.term is not None

    run_virtual(scenario)


def test_owner_starts_without_the_row():
    """Guards against a term that waits for the row of a store that answers slowly."""

    async def scenario():
        async with run_cluster(members=1) as cluster:
            # The instance has not run yet.
            store = cluster.member_by_name["front-0"].store
            spec = make_job(1, make_step(2))
            read = store.read

            async def read_slowly(table, *args, **fields):
                if table == ROW.table:
                    await anyio.sleep(60)
                return await read(table, *args, **fields)

            store.read = read_slowly
            await cluster.owner()
            await cluster.submit(spec)
            with anyio.fail_after(4):
                while await cluster.state(spec) != "done":
                    await anyio.sleep(0.1)

    run_virtual(scenario)


@pytest.mark.parametrize("character", ["é", '"', "\x01"])
def test_row_stays_within_its_size(character):
    """Guards against a row that the store rejects together with all other changes.

    The most certain effects are kept, but for one with a name of any length.
    """
    effects = [Effect("web", character * 14_000, 1.0, 0.0)]
    for number in range(5000):
        effects.append(Effect(character * 50, f"image-{number}", 1.0, number / 5000))
    value = encode_effects(effects, 1.0)
    assert 0.9 * MAX_ROW_BYTES < len(value) <= MAX_ROW_BYTES
    assert "image-0" in value.decode()
    assert "image-4999" not in value.decode()


def test_old_effects_are_uncertain():
    """Guards against effects from long ago that outweigh new measurements."""
    model = EffectModel()
    model.restore("batch", 5.0, 0.01, 1e9)
    assert model.effect("batch") == PRIOR_EFFECT
    model.restore("batch", 5.0, 0.5, 0.0)
    model.restore("batch", 1.0, 0.5, 10.0)
    assert model.effect("batch") == 5.0
    model.restore("batch", 1.0, 0.1, 0.0)
    assert model.effect("batch") == 1.0


def test_effects_lose_certainty_while_nothing_is_measured():
    """Guards against effects of former images that crowd current ones out."""
    model = EffectModel()
    model.learn(1.0, {"batch": 0.5}, new_baseline(0.0), 0.0)
    model.restore("batch", 2.0, 0.1, 0.0)
    ((_, _, variance),) = model.list_effects(20.0)
    assert variance == pytest.approx(0.1 + 20 * EFFECT_DRIFT_STD**2)
    assert model.list_effects(PRIOR_EFFECT_STD**2 / EFFECT_DRIFT_STD**2) == []


def test_stored_effect_replaces_an_uncertain_one():
    """Guards against one early measurement that discards what is in the store."""
    model = EffectModel()
    baseline = new_baseline(0.0)
    model.learn(1.0, {"batch": 0.05, "other": 0.05}, baseline, 0.0)
    model.restore("batch", 4.6, 0.1, 1.0)
    assert model.effect("batch") == 4.6
    model.learn(1.0, {"batch": 0.5, "other": 0.5}, baseline, 1.0)
    assert 3.0 < model.effect("batch") <= 4.7
