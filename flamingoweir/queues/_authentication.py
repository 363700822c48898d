"""Checks the keys of requests against the operators' configuration."""

import hmac
from collections.abc import Callable

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..logs import get_logger
from ..metrics import Metrics
from ..policy import KeyDecision, decide_key
from ..registry import Configuration, OperatorView, Queue

log = get_logger()

#: Seconds after which a client may repeat a request whose key could not be checked.
#: Another instance may be able to check it, and the operators' table is read again
#: within a second once the store responds.
RETRY_AFTER_S = 1.0
#: Seconds after which a new key must not be refused, unless the settings say otherwise.
DEFAULT_APPLY_S = 3.0


class Authentication:
    """Determine the customer on whose behalf a request is made.

    Parameters
    ----------
    operators : OperatorView
        View of the operators' configuration, which has the customers and their keys.
    proof_sent_s : callable
        Returns the clock time, in seconds, at which the latest read was sent that
        proved the view to be current; see `TableFollower.proof_sent_s`.
    clock : Clock
        Monotonic clock of this instance.
    metrics : Metrics
        Receives counters.
    always_required : bool
        Whether keys are required even if the configuration lists no customers.
    revoke_s : float or None
        Seconds after the confirmation of a configuration without a key from which no
        request with that key may succeed; None: no limit.
    apply_s : float
        Seconds after the confirmation of a configuration with a new key from which no
        request with that key may be refused as unauthenticated.
    """

    def __init__(
        self,
        operators: OperatorView,
        proof_sent_s: Callable[[], float],
        clock: Clock,
        metrics: Metrics,
        always_required: bool = False,
        revoke_s: float | None = None,
        apply_s: float = DEFAULT_APPLY_S,
    ):
        self._operators = operators
        self._proof_sent_s = proof_sent_s
        self._clock = clock
        self._metrics = metrics
        self._always_required = always_required
        self._revoke_s = revoke_s
        self._apply_s = apply_s

    def find_customer(self, queue: Queue, key_digest: bytes | None) -> str | None:
        """Return the name of the customer who makes a request.

        It has to be called when the request arrives, before anything is awaited: the
        age of the configuration is then that at a time after the request was sent, also
        if the process was paused in between.

        Parameters
        ----------
        queue : Queue
            Queue that the request addresses.
        key_digest : bytes or None
            Digest of the request's key (`customers.digest_key`); None without a key.

        Returns
        -------
        str or None
            Name of the customer; empty if the queue is public, and None if customers
            are not in use.

        Raises
        ------
        FlamingoweirError
            With code UNAUTHENTICATED if the request needs a key and has no valid one,
            or NOT_READY if this instance can't know that.
        """
        configuration = self._operators.configuration
        if not self._always_required and not configuration.names_customers:
            return None
        if queue.public:
            return ""
        name = _find_customer(configuration, key_digest)
        readable = self._operators.configuration_readable
        proof_age_s = self._clock.now() - self._proof_sent_s()
        decision = decide_key(
            name is not None, proof_age_s, readable, self._revoke_s, self._apply_s
        )
        if decision is KeyDecision.ACCEPTED:
            return name
        log.info(
            "key_not_accepted",
            queue=queue.name,
            decision=decision.value,
            sent=key_digest is not None,
            known=name is not None,
            version=configuration.version,
            readable=readable,
            proof_age_s=round(proof_age_s, 3),
            revoke_s=self._revoke_s,
            apply_s=self._apply_s,
        )
        self._metrics.incr(f"keys_{decision.value}")
        if decision is KeyDecision.UNDECIDED:
            raise FlamingoweirError(
                ErrorCode.NOT_READY,
                "this instance can't read the current keys; nothing was done, try "
                "again later or on another instance",
                retry_after_s=RETRY_AFTER_S,
            )
        raise FlamingoweirError(
            ErrorCode.UNAUTHENTICATED,
            f"queue {queue.name!r} needs a valid key of a customer; send it as "
            "'Authorization: Bearer KEY'",
        )


def _find_customer(
    configuration: Configuration, key_digest: bytes | None
) -> str | None:
    """Return the name of the customer with the key of a digest, or None."""
    if key_digest is None:
        return None
    customer = configuration.find_customer(key_digest)
    if customer is None:
        return None
    found = False
    for digest in customer.key_digests:
        found |= hmac.compare_digest(digest, key_digest)
    return customer.name if found else None
