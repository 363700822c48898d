"""Lines of the log stay whole when the reader is too slow."""

import io
import threading

from flamingoweir import logs


class SlowStream(io.StringIO):
    """A stream whose first write waits until a test releases it."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(10.0)
        return super().write(text)


def test_full_queue_drops_whole_lines(monkeypatch):
    """Two events on one line can't be told apart by a reader of key=value lines."""
    monkeypatch.setattr(logs, "MAX_QUEUED_LINES", 5)
    slow = SlowStream()
    stream = logs.BoundedStream(slow)
    try:
        logs.configure(stream)
        for number in range(40):
            logs.get_logger().info("numbered", number=number)
        slow.released.set()
        stream.drain(5.0)
    finally:
        logs.configure(io.StringIO(), "error")
    lines = slow.getvalue().splitlines()
    assert stream.dropped
    for line in lines:
        assert line.count("event=") == 1
