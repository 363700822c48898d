"""Logs: one line of key=value pairs for each event."""

import logging
from typing import TextIO

import structlog


def configure(stream: TextIO, level: str = "info") -> None:
    """Send every event to ``stream`` as one key=value line.

    Parameters
    ----------
    stream : TextIO
        Where lines are written.
    level : str
        The lowest level that is written: debug, info, warning or error.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


def get_logger(**values: object) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds ``values`` to every event."""
    return structlog.get_logger(**values)
