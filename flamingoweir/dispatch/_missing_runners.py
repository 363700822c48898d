"""For how long runners with attempts have been missing from the list of runners."""

from collections.abc import Collection, Mapping

from ..registry import UNLISTED_GRACE_S

#: Largest total length of what the owner row says of missing runners. A row has at most
#: 64 KiB, with the ends of leases.
MAX_PUBLISHED_BYTES = 9_000
#: Largest length of what the owner row says of a runner besides its id.
ENTRY_BYTES = 10


class MissingRunners:
    """Counts for how long runners are missing, over owners that follow one another.

    An entry may be missing for a while after an outage of the store, of a runner that
    is alive and has ends to report. Only the time counts in which an owner follows the
    list: the next owner goes on from what the former one has published.

    Parameters
    ----------
    former_s_by_runner : mapping of str to float
        Seconds for which runners were missing, as the former owner published.
    """

    def __init__(self, former_s_by_runner: Mapping[str, float] | None = None):
        self._former_s_by_runner = dict(former_s_by_runner or {})
        self._since_s_by_runner: dict[str, float] = {}
        self._list_read_s = float("inf")

    def update(
        self, runners: Collection[str], listed: Collection[str], now_s: float
    ) -> None:
        """Record which runners the list has.

        Parameters
        ----------
        runners : collection of str
            Ids of the runners that the owner knows.
        listed : collection of str
            Ids of the runners that the list has.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        self._list_read_s = min(self._list_read_s, now_s)
        since_s_by_runner = {}
        for runner in runners:
            if runner in listed:
                continue
            former_s = self._former_s_by_runner.get(runner, 0.0)
            since_s = self._since_s_by_runner.get(runner, now_s - former_s)
            since_s_by_runner[runner] = since_s
        self._since_s_by_runner = since_s_by_runner
        self._former_s_by_runner = {}

    def restart(self, now_s: float) -> None:
        """Begin to count anew, as the store has not responded to each call."""
        self._former_s_by_runner = {}
        for runner in self._since_s_by_runner:
            self._since_s_by_runner[runner] = now_s

    def may_return(self, runner: str, now_s: float) -> bool:
        """Return whether the entry of a runner may still be written again.

        A runner that is not missing, but has no usable address, counts from when the
        list was first read.
        """
        since_s = self._since_s_by_runner.get(runner, self._list_read_s)
        return now_s - since_s < UNLISTED_GRACE_S

    def missing_s(self, runner: str, now_s: float) -> float | None:
        """Return for how many seconds a runner has been missing; None if it is not."""
        since_s = self._since_s_by_runner.get(runner)
        return None if since_s is None else now_s - since_s

    def list_missing_s(self, synced_s: float) -> dict[str, float]:
        """Return for how many seconds each runner has been missing, to be published.

        Parameters
        ----------
        synced_s : float
            Until when the list is known to have been current, on the owner's clock, in
            seconds.
        """
        if self._list_read_s == float("inf"):
            return self._former_s_by_runner
        missing_s_by_runner = {}
        published_bytes = 0
        for runner, since_s in self._since_s_by_runner.items():
            published_bytes += len(runner.encode()) + ENTRY_BYTES
            if published_bytes > MAX_PUBLISHED_BYTES:
                break
            missing_s_by_runner[runner] = round(max(0.0, synced_s - since_s), 3)
        return missing_s_by_runner
