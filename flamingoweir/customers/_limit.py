"""Limit on the submissions of a customer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CustomerLimit:
    """Limit that the owner of a shard publishes while a customer's excess waits.

    Attributes
    ----------
    admitted : float
        Fraction of the customer's submissions to admit.
    retry_after_s : float
        Seconds after which a refused submitter may try again.
    """

    admitted: float
    retry_after_s: float
