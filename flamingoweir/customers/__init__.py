"""Customers, who submit jobs, and their keys."""

from ._customer import Customer, digest_key
from ._limit import CustomerLimit

__all__ = ["Customer", "CustomerLimit", "digest_key"]
