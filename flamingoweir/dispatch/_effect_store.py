"""Keeps what an owner learns about colocated images for the next owner.

A new owner that knows no effects fills spare processors with tasks that disturb the
serving tasks, and slows all of them down until it has measured every pair of images.
"""

import anyio
import orjson
import pydantic

from ..logs import get_logger
from ..ownership import effect_row
from ..policy import Effect
from ..storage import RowId, RowStore, StoreOutcomeUnknown, StoreRefused
from ._context import TermContext

log = get_logger()

#: Seconds between two writes of the row.
WRITE_INTERVAL_S = 5.0
#: Seconds before a failed read of the row is repeated.
READ_RETRY_S = 0.1
#: Seconds from the start of a term from which the row is not read any more: the owner
#: has measured the effects itself by then.
MAX_READ_S = 10.0
#: Largest size of the row in bytes; the least certain effects are left out. The store
#: takes rows of 64 KiB, and refuses all other changes of the owner with a larger one.
MAX_ROW_BYTES = 30_000
#: Bytes of the row without its effects.
FRAME_BYTES = 100
#: Largest size of an effect in the row, in bytes; longer names are left out.
MAX_EFFECT_BYTES = 600


class EffectRecord(pydantic.BaseModel):
    """Content of the row.

    Attributes
    ----------
    written_ms : float
        Time of the write in milliseconds since 1970.
    effects : list of (str, str, float, float)
        Serving image, disturbing image, mean and variance of each effect.
    """

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    written_ms: float = pydantic.Field(ge=0, allow_inf_nan=False)
    effects: list[tuple[str, str, pydantic.FiniteFloat, pydantic.FiniteFloat]]


def encode_effects(
    effects: list[Effect], written_ms: float, max_bytes: int = MAX_ROW_BYTES
) -> bytes:
    """Return the content of the row.

    Parameters
    ----------
    effects : list of Effect
        The effects, the most certain first.
    written_ms : float
        Time of the write in milliseconds since 1970.
    max_bytes : int
        Largest size of the row.
    """
    rows = []
    size = FRAME_BYTES
    for effect in effects:
        mean, variance = round(effect.mean, 4), round(effect.variance, 4)
        row = (effect.serving_image, effect.image, mean, variance)
        # As encoded: submitters choose the names, and some characters take six bytes.
        row_size = len(orjson.dumps(row)) + 1
        if row_size > MAX_EFFECT_BYTES:
            continue
        size += row_size
        if size > max_bytes:
            break
        rows.append(row)
    return orjson.dumps({"written_ms": written_ms, "effects": rows})


class EffectStore:
    """Reads the effects that former owners have learnt, and writes those of this one.

    Nothing is written before the row was read or `MAX_READ_S` have passed, so that an
    owner that was replaced soon leaves what its predecessor knew.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    store : RowStore
        Store with the row.
    """

    def __init__(self, context: TermContext, store: RowStore):
        self._context = context
        self._store = store
        self._colocation = context.owner_state.colocation
        self._row = effect_row(context.writer.shard)
        self._may_write = False
        self._written_s = context.clock.now()

    async def restore(self) -> None:
        """Read the row and take its effects over.

        The term goes on meanwhile, and does without them if the row can't be read.
        """
        fault_log = self._context.owner_state.fault_log
        with (
            fault_log.contain("effects_not_taken"),
            anyio.move_on_after(MAX_READ_S),
        ):
            value = await self._read()
            if value is not None:
                self._apply(value)
        self._may_write = True

    def take_row(self) -> tuple[RowId, bytes] | None:
        """Return the row to be written now, or None."""
        now_s = self._context.clock.now()
        written_s = self._written_s
        if not self._may_write or now_s - written_s < WRITE_INTERVAL_S:
            return None
        self._written_s = now_s
        if self._colocation.measured_s < written_s:
            return None
        effects = self._colocation.list_effects(now_s)
        if not effects:
            return None
        max_bytes = min(MAX_ROW_BYTES, self._context.writer.max_row_bytes)
        return self._row, encode_effects(effects, self._context.wall_ms(), max_bytes)

    def record_rejected(self) -> None:
        """Record that the store rejects the row; this owner writes it no more."""
        self._may_write = False

    async def _read(self) -> bytes | None:
        row = self._row
        while True:
            try:
                page = await self._store.read(
                    row.table, row.part, first=row.key, limit=1
                )
                return page.rows[0].value if page.rows else None
            except (StoreRefused, StoreOutcomeUnknown) as error:
                log.info("effects_not_read", detail=str(error))
            await anyio.sleep(READ_RETRY_S)

    def _apply(self, value: bytes) -> None:
        try:
            record = EffectRecord.model_validate_json(value)
        except pydantic.ValidationError as error:
            log.warning("effects_unreadable", detail=str(error.errors()[0]["msg"]))
            return
        # The clock of the instance that wrote it may be ahead.
        age_s = max(0.0, (self._context.wall_ms() - record.written_ms) / 1000)
        effects = [Effect(*fields) for fields in record.effects]
        self._colocation.restore_effects(effects, age_s)
        log.info("effects_restored", effects=len(effects), age_s=round(age_s, 1))
