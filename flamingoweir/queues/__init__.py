"""What submitters ask of an instance."""

from ._desk import SubmissionHandler

__all__ = ["SubmissionHandler"]
