"""Customers, who submit jobs, and their keys."""

from ._customer import Customer, digest_key
from ._limit import CustomerLimit
from ._metric_labels import MetricLabels

__all__ = ["Customer", "CustomerLimit", "MetricLabels", "digest_key"]
