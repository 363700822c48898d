"""Current state of what operators and runners have announced."""

from collections.abc import Callable
from typing import Protocol

from ..clock import Clock
from ..logs import get_logger
from ..storage import VersionedRow
from ._entries import Configuration, MaintenanceWave, RunnerEntry

log = get_logger()

#: Seconds after the removal of a runner's entry for which the runner counts as listed,
#: if it answers. Entries that expired during an outage of the store are written again
#: within two seconds.
UNLISTED_GRACE_S = 2.2


class UnreadableRow(Exception):
    """A row that an operator or a runner has written can't be parsed."""


class RowDecoder(Protocol):
    """Decodes rows of operators and runners; methods raise UnreadableRow."""

    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration, or None if the row holds something else."""
        ...

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row takes out of service, or None."""
        ...

    def decode_wave(self, key: str, value: bytes) -> MaintenanceWave | None:
        """Return a maintenance wave, or None if the row holds something else."""
        ...

    def decode_runner(self, key: str, value: bytes) -> RunnerEntry:
        """Return the entry of a runner."""
        ...


class OperatorView:
    """Configuration, zones out of service and maintenance waves.

    Parameters
    ----------
    row_decoder : RowDecoder
        Decoder of the rows.

    Attributes
    ----------
    configuration : Configuration or None
        Newest configuration that was read, by version; None before the first.
    evacuated_zones : set of str
        Zones in which no task may be started.
    wave_by_number : dict of int to MaintenanceWave
        Maintenance waves that operators request, by number.
    """

    def __init__(self, row_decoder: RowDecoder):
        self._reader = row_decoder
        self._zone_by_key: dict[str, str] = {}
        self._wave_by_key: dict[str, MaintenanceWave] = {}
        self.configuration: Configuration | None = None

    @property
    def evacuated_zones(self) -> set[str]:
        """Zones in which no task may be started."""
        return set(self._zone_by_key.values())

    @property
    def wave_by_number(self) -> dict[int, MaintenanceWave]:
        """Maintenance waves that operators request, by number."""
        return {wave.number: wave for wave in self._wave_by_key.values()}

    def apply_rows(self, rows: list[VersionedRow], whole: bool) -> None:
        """Update the view from rows of the operators' table.

        Parameters
        ----------
        rows : list of VersionedRow
            Rows that changed, or all rows.
        whole : bool
            Whether the rows are the whole table; what they lack is removed.
        """
        if whole:
            present = {row.id.key for row in rows}
            for key in [k for k in self._zone_by_key if k not in present]:
                self._drop(key)
            for key in [k for k in self._wave_by_key if k not in present]:
                self._drop(key)
        for row in rows:
            if row.deleted:
                self._drop(row.id.key)
                continue
            if row.value is not None:
                self._take_row(row.id.key, row.value)

    def _take_row(self, key: str, value: bytes) -> None:
        zone = self._reader.decode_evacuated_zone(key)
        if zone is not None:
            if key not in self._zone_by_key:
                log.info("zone_out", zone=zone)
            self._zone_by_key[key] = zone
            return
        try:
            configuration = self._reader.decode_configuration(key, value)
            wave = None if configuration else self._reader.decode_wave(key, value)
        except UnreadableRow as error:
            log.warning("operator_row_unreadable", key=key, detail=str(error))
            return
        if configuration is not None:
            self._take_configuration(configuration)
        if wave is not None:
            self._wave_by_key[key] = wave

    def _take_configuration(self, configuration: Configuration) -> None:
        known = self.configuration.version if self.configuration else -1
        if configuration.version <= known:
            return
        self.configuration = configuration
        log.info(
            "configuration_in_force",
            version=configuration.version,
            previous=known,
            queues=len(configuration.queues_by_name),
        )

    def _drop(self, key: str) -> None:
        zone = self._zone_by_key.pop(key, None)
        if zone is not None:
            log.info("zone_in", zone=zone)
        self._wave_by_key.pop(key, None)


class RunnerView:
    """The runners that are announced.

    Parameters
    ----------
    row_decoder : RowDecoder
        Decoder of the rows.
    changed : callable
        Called without arguments after every update.
    clock : Clock
        Clock of this instance.

    Attributes
    ----------
    entry_by_id : dict of str to RunnerEntry
        Latest valid entry of each runner. It is kept for UNLISTED_GRACE_S after the
        runner's row is removed or becomes invalid.
    """

    def __init__(
        self, row_decoder: RowDecoder, changed: Callable[[], None], clock: Clock
    ):
        self._reader = row_decoder
        self._changed = changed
        self._clock = clock
        self._unlisted_s_by_id: dict[str, float] = {}
        self.entry_by_id: dict[str, RunnerEntry] = {}

    def is_listed(self, runner: str) -> bool:
        """Return whether a runner has an entry, or had one within UNLISTED_GRACE_S."""
        if runner not in self.entry_by_id:
            return False
        gone_s = self._unlisted_s_by_id.get(runner)
        return gone_s is None or self._clock.now() - gone_s < UNLISTED_GRACE_S

    def apply_rows(self, rows: list[VersionedRow], whole: bool) -> None:
        """Update the view from rows of the runners' table.

        Parameters
        ----------
        rows : list of VersionedRow
            Rows that changed, or all rows.
        whole : bool
            Whether the rows are the whole table; runners that they lack are unlisted.
        """
        if whole:
            present = {row.id.key for row in rows}
            for runner in self.entry_by_id:
                if runner not in present:
                    self._note_gone(runner)
        for row in rows:
            if row.deleted:
                self._note_gone(row.id.key)
                continue
            self._take_row(row)
        self._forget()
        self._changed()

    def _take_row(self, row: VersionedRow) -> None:
        runner = row.id.key
        if row.value is None:
            return
        try:
            entry = self._reader.decode_runner(runner, row.value)
        except UnreadableRow as error:
            log.warning("runner_row_unreadable", runner=runner, detail=str(error))
            self._note_gone(runner)
            return
        known = self.entry_by_id.get(runner)
        if known is None or known.draining != entry.draining:
            log.info(
                "runner_listed",
                runner=runner,
                zone=entry.zone,
                draining=entry.draining,
                incarnation=entry.incarnation,
            )
        self.entry_by_id[runner] = entry
        self._unlisted_s_by_id.pop(runner, None)

    def _note_gone(self, runner: str) -> None:
        if runner in self.entry_by_id and runner not in self._unlisted_s_by_id:
            self._unlisted_s_by_id[runner] = self._clock.now()
            log.info("runner_unlisted", runner=runner)

    def _forget(self) -> None:
        now_s = self._clock.now()
        for runner, gone_s in list(self._unlisted_s_by_id.items()):
            if now_s - gone_s >= UNLISTED_GRACE_S:
                del self._unlisted_s_by_id[runner]
                del self.entry_by_id[runner]
