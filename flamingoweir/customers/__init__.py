"""Customers, who submit jobs, and their keys."""

from ._customer import Customer, digest_key

__all__ = ["Customer", "digest_key"]
