"""Current state of what operators and runners have announced."""

from collections.abc import Callable
from typing import Protocol

from ..clock import Clock
from ..faults import FaultLog
from ..logs import get_logger
from ..storage import VersionedRow
from ._entries import Configuration, MaintenanceWave, RunnerEntry

log = get_logger()

#: Seconds for which a runner that still responds counts as listed after its entry was
#: removed. Entries that expired during an outage of the store are written again within
#: two seconds.
UNLISTED_GRACE_S = 2.2
#: Seconds between updates without a change. An entry may have to wait until attempts at
#: a runner's former address have lapsed.
UPDATE_INTERVAL_S = 0.25


class UnreadableRow(Exception):
    """A row of the operators' or the runners' table can't be decoded."""


class RowDecoder(Protocol):
    """Decodes rows of operators and runners; methods raise UnreadableRow."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a row holds the configuration."""
        ...

    def decode_configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration, or None if the row holds something else."""
        ...

    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the evacuated zone that a row names, or None."""
        ...

    def decode_wave(self, key: str, value: bytes) -> MaintenanceWave | None:
        """Return a maintenance wave, or None if the row holds something else."""
        ...

    def decode_runner(self, key: str, value: bytes) -> RunnerEntry:
        """Return the entry of a runner."""
        ...


class OperatorView:
    """Configuration, evacuated zones and maintenance waves.

    Parameters
    ----------
    row_decoder : RowDecoder
        Decoder of the rows.
    fault_log : FaultLog, optional
        Records the rows that can't be applied.

    Attributes
    ----------
    configuration : Configuration or None
        Newest configuration that was read, by version; None before the first.
    configuration_readable : bool
        Whether this is the configuration in the newest row: False if that row is
        missing, can't be decoded, or has a lower version.
    evacuated_zones : set of str
        Zones that operators took out of service: no task may be started there.
    wave_by_number : dict of int to MaintenanceWave
        Maintenance waves that operators request, by number.
    """

    def __init__(self, row_decoder: RowDecoder, fault_log: FaultLog | None = None):
        self._row_decoder = row_decoder
        self._fault_log = fault_log or FaultLog()
        self._zone_by_key: dict[str, str] = {}
        self._wave_by_key: dict[str, MaintenanceWave] = {}
        self.configuration: Configuration | None = None
        self.configuration_readable = False
        self._on_configuration: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call back after every change of the configuration.

        Returns
        -------
        callable
            Ends the calls.
        """
        self._on_configuration.append(callback)
        return lambda: self._on_configuration.remove(callback)

    @property
    def evacuated_zones(self) -> set[str]:
        """Zones that operators took out of service: no task may be started there."""
        return set(self._zone_by_key.values())

    @property
    def wave_by_number(self) -> dict[int, MaintenanceWave]:
        """Maintenance waves that operators request, by number."""
        return {wave.number: wave for wave in self._wave_by_key.values()}

    def apply_rows(self, rows: list[VersionedRow], is_whole_table: bool) -> None:
        """Update the view from rows of the operators' table.

        Parameters
        ----------
        rows : list of VersionedRow
            Rows that changed, or all rows.
        is_whole_table : bool
            Whether the rows are the whole table; zones and waves of other rows are
            removed.
        """
        was_readable = self.configuration_readable
        if is_whole_table:
            # True again once a row of this table has been applied.
            self.configuration_readable = False
            present = {row.id.key for row in rows}
            for key in [k for k in self._zone_by_key if k not in present]:
                self._remove(key)
            for key in [k for k in self._wave_by_key if k not in present]:
                self._remove(key)
        for row in rows:
            if self._row_decoder.is_configuration(row.id.key):
                self.configuration_readable = False
            if row.deleted:
                self._remove(row.id.key)
                continue
            if row.value is None:
                continue
            with self._fault_log.contain("operator_row_unreadable", key=row.id.key):
                self._apply_row(row.id.key, row.value)
        if self.configuration_readable != was_readable:
            version = self.configuration.version if self.configuration else None
            log.info(
                "configuration_readable",
                readable=self.configuration_readable,
                version_in_force=version,
            )

    def _apply_row(self, key: str, value: bytes) -> None:
        zone = self._row_decoder.decode_evacuated_zone(key)
        if zone is not None:
            if key not in self._zone_by_key:
                log.info("zone_out", zone=zone)
            self._zone_by_key[key] = zone
            return
        configuration = self._row_decoder.decode_configuration(key, value)
        wave = None if configuration else self._row_decoder.decode_wave(key, value)
        if configuration is not None:
            self._apply_configuration(configuration)
        if wave is not None:
            self._wave_by_key[key] = wave

    def _apply_configuration(self, configuration: Configuration) -> None:
        current_version = self.configuration.version if self.configuration else -1
        if configuration.version < current_version:
            log.warning(
                "configuration_outdated",
                version=configuration.version,
                in_force=current_version,
            )
            return
        if configuration.version == current_version:
            self.configuration_readable = configuration == self.configuration
            if not self.configuration_readable:
                log.warning("configuration_changed_in_place", version=current_version)
            return
        self.configuration_readable = True
        self.configuration = configuration
        log.info(
            "configuration_in_force",
            version=configuration.version,
            previous=current_version,
            queues=len(configuration.queue_by_name),
        )
        for callback in list(self._on_configuration):
            callback()

    def _remove(self, key: str) -> None:
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
    on_update : callable
        Called without arguments after every update that changed an entry or which
        runners are listed, and otherwise at most every UPDATE_INTERVAL_S. Most rows are
        heartbeats, which change neither.
    clock : Clock
        Monotonic clock of this instance.
    fault_log : FaultLog, optional
        Records the rows that can't be applied.

    Attributes
    ----------
    entry_by_id : dict of str to RunnerEntry
        Latest valid entry of each runner. It is kept for UNLISTED_GRACE_S after the
        runner's row is removed or becomes invalid.
    """

    def __init__(
        self,
        row_decoder: RowDecoder,
        on_update: Callable[[], None],
        clock: Clock,
        fault_log: FaultLog | None = None,
    ):
        self._row_decoder = row_decoder
        self._fault_log = fault_log or FaultLog()
        self._on_update = on_update
        self._clock = clock
        self._unlisted_s_by_id: dict[str, float] = {}
        self._updated_s = float("-inf")
        self.entry_by_id: dict[str, RunnerEntry] = {}

    def is_listed(self, runner: str) -> bool:
        """Return whether a runner has an entry, or had one within UNLISTED_GRACE_S."""
        if runner not in self.entry_by_id:
            return False
        unlisted_s = self._unlisted_s_by_id.get(runner)
        return unlisted_s is None or self._clock.now() - unlisted_s < UNLISTED_GRACE_S

    @property
    def present_ids(self) -> set[str]:
        """Ids of the runners whose entry was there in the latest read."""
        return self.entry_by_id.keys() - self._unlisted_s_by_id.keys()

    def apply_rows(self, rows: list[VersionedRow], is_whole_table: bool) -> None:
        """Update the view from rows of the runners' table.

        Parameters
        ----------
        rows : list of VersionedRow
            Rows that changed, or all rows.
        is_whole_table : bool
            Whether the rows are the whole table; runners without a row are unlisted.
        """
        changed = False
        if is_whole_table:
            present = {row.id.key for row in rows}
            for runner in self.entry_by_id:
                if runner not in present:
                    changed |= self._mark_unlisted(runner)
        for row in rows:
            if row.deleted:
                changed |= self._mark_unlisted(row.id.key)
                continue
            changed |= self._apply_row(row)
        changed |= self._remove_unlisted()
        now_s = self._clock.now()
        if changed or now_s - self._updated_s >= UPDATE_INTERVAL_S:
            self._updated_s = now_s
            self._on_update()

    def _apply_row(self, row: VersionedRow) -> bool:
        """Update a runner's entry; return whether anything changed."""
        runner = row.id.key
        with self._fault_log.contain("runner_row_unreadable", runner=runner) as block:
            entry = self._row_decoder.decode_runner(runner, row.value or b"")
        if block.failed:
            return self._mark_unlisted(runner)
        previous = self.entry_by_id.get(runner)
        if entry == previous and runner not in self._unlisted_s_by_id:
            return False
        if previous is None or previous.draining != entry.draining:
            log.info(
                "runner_listed",
                runner=runner,
                zone=entry.zone,
                draining=entry.draining,
                incarnation=entry.incarnation,
            )
        self.entry_by_id[runner] = entry
        self._unlisted_s_by_id.pop(runner, None)
        return True

    def _mark_unlisted(self, runner: str) -> bool:
        """Mark a runner as unlisted; return whether it was listed."""
        if runner not in self.entry_by_id or runner in self._unlisted_s_by_id:
            return False
        self._unlisted_s_by_id[runner] = self._clock.now()
        log.info("runner_unlisted", runner=runner)
        return True

    def _remove_unlisted(self) -> bool:
        """Remove the runners whose grace has passed; return whether there were any."""
        now_s = self._clock.now()
        removed = False
        for runner, unlisted_s in list(self._unlisted_s_by_id.items()):
            if now_s - unlisted_s >= UNLISTED_GRACE_S:
                del self._unlisted_s_by_id[runner]
                del self.entry_by_id[runner]
                removed = True
        return removed
