"""Service for job submitters: submit, look up and cancel jobs in queues."""

from ._handler import SubmissionHandler

__all__ = ["SubmissionHandler"]
