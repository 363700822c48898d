"""Sets of numbers that mostly form ranges."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator


class IndexSet:
    """A set of integers, which takes memory for each range of consecutive ones.

    Parameters
    ----------
    ranges : iterable of (int, int)
        First number of each range, and the number after its last; in any order.
    """

    __slots__ = ("_count", "_ends", "_starts")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()):
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._count = 0
        for start, end in sorted(ranges):
            if start >= end:
                continue
            if self._ends and start <= self._ends[-1]:
                self._ends[-1] = max(end, self._ends[-1])
                continue
            self._starts.append(start)
            self._ends.append(end)
        for start, end in zip(self._starts, self._ends, strict=True):
            self._count += end - start

    @property
    def ranges(self) -> list[tuple[int, int]]:
        """The ranges in ascending order; see the parameter."""
        return list(zip(self._starts, self._ends, strict=True))

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        position = bisect_right(self._starts, number) - 1
        return position >= 0 and number < self._ends[position]

    def __iter__(self) -> Iterator[int]:
        """Yield the numbers in ascending order; the set may change meanwhile."""
        number = self.find_next(0)
        while number is not None:
            yield number
            number = self.find_next(number + 1)

    def find_next(self, number: int) -> int | None:
        """Return the smallest member that is at least ``number``, or None."""
        position = bisect_right(self._ends, number)
        if position == len(self._starts):
            return None
        return max(number, self._starts[position])

    def find_gap(self, number: int) -> int:
        """Return the smallest number, at least ``number``, that is no member."""
        position = bisect_right(self._starts, number) - 1
        if position >= 0 and number < self._ends[position]:
            return self._ends[position]
        return number

    def count_ranges_with(self, number: int) -> int:
        """Return the number of ranges once a number is added."""
        count = len(self._starts)
        if number in self:
            return count
        return count + 1 - (number - 1 in self) - (number + 1 in self)

    def add(self, number: int) -> None:
        """Add a number."""
        if number in self:
            return
        self._count += 1
        position = bisect_left(self._starts, number)
        joins_before = position > 0 and self._ends[position - 1] == number
        joins_after = (
            position < len(self._starts) and self._starts[position] == number + 1
        )
        if joins_before and joins_after:
            self._ends[position - 1] = self._ends[position]
            del self._starts[position], self._ends[position]
        elif joins_before:
            self._ends[position - 1] = number + 1
        elif joins_after:
            self._starts[position] = number
        else:
            self._starts.insert(position, number)
            self._ends.insert(position, number + 1)

    def discard(self, number: int) -> None:
        """Remove a number, if it is a member."""
        position = bisect_right(self._starts, number) - 1
        if position < 0 or number >= self._ends[position]:
            return
        self._count -= 1
        start, end = self._starts[position], self._ends[position]
        if end - start == 1:
            del self._starts[position], self._ends[position]
        elif number == start:
            self._starts[position] = number + 1
        elif number == end - 1:
            self._ends[position] = number
        else:
            self._ends[position] = number
            self._starts.insert(position + 1, number + 1)
            self._ends.insert(position + 1, end)

    def clear(self) -> None:
        """Remove all numbers."""
        self._starts.clear()
        self._ends.clear()
        self._count = 0
