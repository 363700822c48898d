"""Logging: one line of key=value pairs for each event."""

import logging
import queue
import threading
import time
from typing import TextIO

import structlog

#: Maximum queued lines; a busy owner writes as many in about ten seconds.
MAX_QUEUED_LINES = 10_000
#: Maximum characters of all queued lines. A line with a submitter's path is long.
MAX_QUEUED_CHARACTERS = 4_000_000
#: Seconds before a write to a full pipe is repeated.
FULL_PIPE_PAUSE_S = 0.01
#: Maximum bytes per write. Collectors may keep only the first 16 KiB of a longer one.
MAX_BYTES_PER_WRITE = 16_000
#: Maximum lines per write.
MAX_LINES_PER_WRITE = 200


def configure(stream: TextIO, level: str = "info") -> None:
    """Write every event to ``stream`` as one line of key=value pairs.

    Parameters
    ----------
    stream : TextIO
        Stream to which lines are written.
    level : str
        Lowest level that is written: debug, info, warning or error.
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
        # Writes a line and its end at once; a full queue drops whole lines.
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


class BoundedStream:
    """Passes lines to a thread that writes them, so that callers never block.

    Parameters
    ----------
    stream : TextIO
        Stream to which the thread writes.

    Attributes
    ----------
    dropped : int
        Number of lines that were dropped because the reader was too slow.
    queued_characters : int
        Approximate length of the queued lines.
    """

    def __init__(self, stream: TextIO):
        self.dropped = 0
        self.queued_characters = 0
        self._stream = stream
        self._lines: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        self._count_lock = threading.Lock()
        threading.Thread(target=self._write_all, daemon=True, name="logs").start()

    def write(self, text: str) -> int:
        """Queue text, or drop it if the queue is full."""
        if self.queued_characters + len(text) > MAX_QUEUED_CHARACTERS:
            self.dropped += 1
            return len(text)
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1
            return len(text)
        with self._count_lock:
            self.queued_characters += len(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing; the thread flushes the stream."""

    def drain(self, timeout_s: float) -> None:
        """Wait for at most ``timeout_s`` seconds until all queued lines are written."""
        done = threading.Event()
        until_s = time.monotonic() + timeout_s
        try:
            self._lines.put(done, timeout=timeout_s)
        except queue.Full:
            return
        done.wait(max(0.0, until_s - time.monotonic()))

    def _write_all(self) -> None:
        reported = 0
        while True:
            items = [self._lines.get()]
            while len(items) < MAX_LINES_PER_WRITE and not self._lines.empty():
                items.append(self._lines.get_nowait())
            written = sum(len(item) for item in items if isinstance(item, str))
            if self.dropped > reported:
                items.append(
                    f"level=warning event=log_lines_dropped n={self.dropped}\n"
                )
                reported = self.dropped
            text = "".join(item for item in items if isinstance(item, str))
            self._write_text(text)
            with self._count_lock:
                self.queued_characters -= written
            for item in items:
                if not isinstance(item, str):
                    item.set()

    def _write_text(self, text: str) -> None:
        """Write the whole text.

        An unbuffered text stream passes its bytes on once and drops those that the
        file did not take; a pipe takes a part if a signal arrives meanwhile.
        """
        binary = getattr(self._stream, "buffer", None)
        if binary is None:
            self._stream.write(text)
            self._stream.flush()
            return
        data = memoryview(text.encode())
        while data:
            taken = binary.write(data[:MAX_BYTES_PER_WRITE])
            if not taken:
                # A full pipe that doesn't block.
                time.sleep(FULL_PIPE_PAUSE_S)
                continue
            data = data[taken:]
        binary.flush()


def get_logger(**values: object) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds ``values`` to every event."""
    return structlog.get_logger(**values)
