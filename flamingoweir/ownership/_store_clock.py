"""The store's clock as an instance knows it from the store's responses."""


class StoreClock:
    """Bounds of the store's clock, by the latest response that had its time.

    The store is the only clock that all instances share. A response was written between
    the sending of its call and its arrival, which bounds the clock from both sides.
    """

    def __init__(self) -> None:
        self._store_s: float | None = None
        self._sent_s = 0.0
        self._received_s = 0.0

    def record(self, store_s: float | None, sent_s: float, received_s: float) -> None:
        """Record the time in a response.

        Parameters
        ----------
        store_s : float or None
            Time on the store's clock, in seconds; None if the response has none.
        sent_s, received_s : float
            When the call was sent and the response arrived, on the instance's clock, in
            seconds.
        """
        if store_s is None:
            return
        self._store_s = store_s
        self._sent_s = sent_s
        self._received_s = received_s

    def upper_bound_at(self, at_s: float) -> float | None:
        """Return the latest time that the store's clock may show; None if unknown.

        Parameters
        ----------
        at_s : float
            Time on the instance's clock, in seconds.
        """
        if self._store_s is None:
            return None
        return self._store_s + at_s - self._sent_s

    def reached_by(self, store_s: float) -> float | None:
        """Return when the store's clock has surely reached a time; None if unknown.

        Parameters
        ----------
        store_s : float
            Time on the store's clock, in seconds.

        Returns
        -------
        float or None
            Time on the instance's clock, in seconds.
        """
        if self._store_s is None:
            return None
        return self._received_s + store_s - self._store_s
