"""Loads parked jobs as others end."""

import anyio

from ..logs import get_logger
from ..ownership import job_row
from ..storage import RowStore, StoreOutcomeUnknown, StoreRefused
from ._context import TermContext
from ._loader import JobLoader

log = get_logger()

#: Seconds between looks for room.
LOAD_INTERVAL_S = 0.2
#: Largest number of jobs that are loaded in a row; each takes a read of the store.
MAX_LOADED = 20


class ParkedJobLoader:
    """Reads the rows of parked jobs once there is memory for them.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    store : RowStore
        Store with the rows of the jobs.
    loader : JobLoader
        Takes the rows.
    """

    def __init__(self, context: TermContext, store: RowStore, loader: JobLoader):
        self._context = context
        self._parking = context.owner_state.parking
        self._store = store
        self._loader = loader

    async def run(self) -> None:
        """Load parked jobs until cancelled."""
        while True:
            await anyio.sleep(LOAD_INTERVAL_S)
            for _ in range(MAX_LOADED):
                job_id = self._parking.take()
                if job_id is None:
                    break
                await self._load(job_id)

    async def _load(self, job_id: str) -> None:
        row = job_row(self._context.writer.shard, job_id)
        while True:
            try:
                # The key of a cancellation begins with that of its job.
                page = await self._store.read(
                    row.table, row.part, row.key, row.key + "/", 2
                )
                break
            except (StoreRefused, StoreOutcomeUnknown) as error:
                log.info("parked_job_not_read", job=job_id, detail=str(error))
                await anyio.sleep(LOAD_INTERVAL_S)
        self._loader.load_parked(page.rows)
