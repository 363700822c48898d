"""Fencing tokens by which a runner rejects calls that a former incarnation should get.

A restarted runner has seen no token, and its id and address may be those of before. A
call to the former incarnation may reach the next one seconds later.
"""

#: Longest time in seconds after which a call without a response is carried out, with a
#: margin for the clock of its runner.
MAX_LATENESS_S = 15.0


class CallFence:
    """The token of an owner's calls to one runner.

    Parameters
    ----------
    token : int
        The owner's token.
    stale_token : int
        Highest token of this owner's calls to former incarnations; 0: there are none.

    Attributes
    ----------
    token : int
        Token of calls to the runner.
    is_established : bool
        Whether the incarnation has responded to a call with a higher token than calls
        to former ones, which it rejects since.
    """

    def __init__(self, token: int = 0, stale_token: int = 0):
        self.token = max(token, stale_token)
        self.is_established = not stale_token
        self._stale_token = stale_token
        #: Highest token of calls that acknowledged ends.
        self._acknowledging_token = 0

    def begin_incarnation(self) -> None:
        """Record a new incarnation, which calls to the former one may still reach."""
        self._stale_token = self.token
        self.is_established = False

    def raise_to(self, token: int) -> bool:
        """Raise the token if need be; return whether it is high enough."""
        if self.is_established:
            return True
        self.token = max(self.token, token)
        return self.token > self._stale_token

    def advance(self, token: int) -> None:
        """Raise the token, so that a next incarnation rejects calls made before.

        It does so from the first such call on, also if that gets no response.
        """
        self.token = max(self.token, token)

    def record_acknowledging(self) -> None:
        """Record that a call with the present token acknowledges ends."""
        self._acknowledging_token = self.token

    def raise_for_start(self, token: int) -> bool:
        """Raise the token above that of calls that acknowledge ends, if need be.

        An incarnation that carries out a start order rejects those that come later, so
        that none of them makes it forget how the run ended.

        Parameters
        ----------
        token : int
            A token of the owner's.

        Returns
        -------
        bool
            Whether the token is high enough.
        """
        if self.token <= self._acknowledging_token:
            self.token = max(self.token, token)
        return self.allows_start(self.token)

    def allows_start(self, token: int) -> bool:
        """Return whether a start order with a token may be sent now.

        A call that acknowledges ends may have been sent since the order was made, while
        the order waited for a connection.
        """
        return token > self._acknowledging_token

    def is_stale(self, token: int) -> bool:
        """Return whether a call was sent before the token was raised.

        That its runner rejects it doesn't show that there is a next owner.
        """
        return token < self.token

    def record_response(self, token: int) -> None:
        """Record that the incarnation has responded to a call with a token."""
        if token > self._stale_token:
            self.is_established = True
