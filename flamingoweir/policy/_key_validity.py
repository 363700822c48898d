"""Whether an instance can vouch for a customer's key."""

import enum

#: Seconds by which the proof of a configuration must be younger than a time limit. A
#: watch may receive no changes for a second before the store drops its history; the
#: rest is for clocks.
PROOF_MARGIN_S = 1.1


class KeyDecision(enum.StrEnum):
    """Result of the check of a key."""

    #: The request may be served on behalf of the key's customer.
    ACCEPTED = "accepted"
    #: The request has no valid key, according to the newest configuration.
    UNAUTHENTICATED = "unauthenticated"
    #: The instance can't know whether the key is valid.
    UNDECIDED = "undecided"


def longest_proof_age_s(limit_s: float) -> float:
    """Return from which age on a proof no longer satisfies a time limit, in seconds.

    Parameters
    ----------
    limit_s : float
        Seconds after the confirmation of a configuration within which it must take
        effect. At least half of them remain, so that short limits don't make every
        instance refuse all keys.
    """
    return max(limit_s - PROOF_MARGIN_S, limit_s / 2)


def decide_key(
    known: bool,
    proof_age_s: float,
    readable: bool,
    revoke_s: float | None,
    apply_s: float,
) -> KeyDecision:
    """Decide whether a request with or without a key is served.

    Addresses keys that are added and removed while instances can't reach the store,
    are paused, or follow a table whose changes the store withholds: a removed key must
    not be accepted, and a new one must not be refused as unknown.

    Parameters
    ----------
    known : bool
        Whether the request has a key of the newest configuration that was read.
    proof_age_s : float
        Seconds since the sending of the latest read that proved this configuration to
        be the newest; infinite if there was none.
    readable : bool
        Whether the newest configuration that was announced could be read.
    revoke_s : float or None
        Seconds after which a removed key must not be accepted any more; None: no limit.
    apply_s : float
        Seconds after which a new key must not be refused any more.
    """
    if not readable:
        return KeyDecision.UNDECIDED
    if known:
        if revoke_s is None or proof_age_s < longest_proof_age_s(revoke_s):
            return KeyDecision.ACCEPTED
        return KeyDecision.UNDECIDED
    if proof_age_s < longest_proof_age_s(apply_s):
        return KeyDecision.UNAUTHENTICATED
    return KeyDecision.UNDECIDED
