"""A customer as the operators' configuration describes it."""

import hashlib
from dataclasses import dataclass

from ..resources import Resources


@dataclass(frozen=True, slots=True)
class Customer:
    """Somebody who submits jobs under keys of their own.

    Attributes
    ----------
    name : str
        Name of the customer.
    key_digests : frozenset of bytes
        Digests of the valid keys; see `digest_key`.
    weight : float
        Share of the fleet, relative to other customers, when all of it is in use, and
        number of submissions per second that the customer is entitled to.
    cap : Resources
        Largest amounts that the customer may have running on all runners together; 0:
        no limit.
    priority : int
        Priority that operators have assigned. It is shown to them and decides nothing.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    weight: float = 1.0
    cap: Resources = Resources()
    priority: int = 0


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest of a key.

    Only digests are kept, so that no log line, error or dump can contain a key.
    """
    return hashlib.sha256(key.encode()).digest()
