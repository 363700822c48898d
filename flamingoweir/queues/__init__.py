"""What submitters ask of an instance."""

from ._desk import QueueDesk

__all__ = ["QueueDesk"]
