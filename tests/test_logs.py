"""Lines of the log stay whole when the reader is too slow."""

import io
import threading
import time

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


class PartialFile(io.RawIOBase):
    """A file that takes a few bytes of each write, and none of every third."""

    def __init__(self):
        self.content = b""
        self._writes = 0

    def writable(self):
        return True

    def write(self, data):
        self._writes += 1
        if self._writes % 3 == 0:
            return None
        self.content += bytes(data[:7])
        return min(7, len(data))


def test_lines_are_whole_on_a_file_that_takes_a_part_of_a_write():
    """Guards against two lines that are joined, with bytes missing between them."""
    file = PartialFile()
    text_stream = io.TextIOWrapper(file, encoding="utf-8", write_through=True)
    stream = logs.BoundedStream(text_stream)
    lines = [f"event=attempt_ended number={number}\n" for number in range(50)]
    for line in lines:
        stream.write(line)
    stream.drain(10.0)
    assert file.content.decode() == "".join(lines)


class CuttingFile(io.RawIOBase):
    """A file that takes each write whole and keeps its first 16 KiB only."""

    def __init__(self):
        self.content = b""

    def writable(self):
        return True

    def write(self, data):
        self.content += bytes(data[:16_384])
        return len(data)


def test_lines_of_a_mass_event_outlast_a_collector_that_cuts_long_writes():
    """Guards against the decisions that are missing just when most are made."""
    file = CuttingFile()
    text_stream = io.TextIOWrapper(file, encoding="utf-8", write_through=True)
    stream = logs.BoundedStream(text_stream)
    lines = [f"event=attempt_placed task={'0' * 150}{n}\n" for n in range(1_000)]
    for line in lines:
        stream.write(line)
    stream.drain(10.0)
    assert file.content.decode() == "".join(lines)


def test_drain_ends_in_time_if_nobody_reads():
    """Guards against a process that never exits because its log queue is full."""
    blocked = threading.Event()

    class Unread(io.StringIO):
        def write(self, text):
            blocked.wait(20.0)
            return len(text)

    stream = logs.BoundedStream(Unread())
    for _ in range(logs.MAX_QUEUED_LINES + logs.MAX_LINES_PER_WRITE + 10):
        stream.write("event=line\n")
    started_s = time.monotonic()
    stream.drain(0.2)
    taken_s = time.monotonic() - started_s
    blocked.set()
    assert taken_s < 5.0


def test_long_lines_fill_the_queue_by_their_length(monkeypatch):
    """A submitter chooses the length of a logged path, and thus of a queued line."""
    monkeypatch.setattr(logs, "MAX_QUEUED_CHARACTERS", 50_000)
    slow = SlowStream()
    stream = logs.BoundedStream(slow)
    for _ in range(40):
        stream.write("x" * 9_999 + "\n")
    assert stream.queued_characters <= 50_000
    assert stream.dropped >= 30
    slow.released.set()
    stream.drain(5.0)
    stream.write("event=later\n")
    stream.drain(5.0)
    assert "event=later" in slow.getvalue()
