"""Service for job submitters: submit, look up and cancel jobs in queues."""

from ._authentication import Authentication
from ._handler import SubmissionHandler

__all__ = ["Authentication", "SubmissionHandler"]
