"""`IndexSet`, compared with a set of Python."""

from hypothesis import given, settings
from hypothesis import strategies as st

from flamingoweir.jobs import IndexSet

NUMBERS = st.integers(0, 12)


@given(
    st.lists(st.tuples(NUMBERS, NUMBERS), max_size=4),
    st.lists(st.tuples(st.sampled_from(["add", "discard"]), NUMBERS), max_size=30),
)
@settings(max_examples=300, derandomize=True, deadline=None)
def test_index_set_has_the_members_of_a_plain_set(ranges, changes):
    """Guards against occurrences or tasks that are lost, or counted twice."""
    found = IndexSet(ranges)
    expected = {n for start, end in ranges for n in range(start, end)}
    for method, number in changes:
        getattr(found, method)(number)
        getattr(expected, method)(number)
        assert list(found) == sorted(expected)
        assert len(found) == len(expected)
        for probe in range(14):
            assert (probe in found) == (probe in expected)
            later = [n for n in expected if n >= probe]
            assert found.find_next(probe) == (min(later) if later else None)
            gaps = [n for n in range(probe, 30) if n not in expected]
            assert found.find_gap(probe) == gaps[0]
        assert list(IndexSet(found.ranges)) == list(found)
        for (_, end), (start, _) in zip(found.ranges, found.ranges[1:], strict=False):
            assert end < start


def test_index_set_may_change_while_it_is_read():
    """Guards against a pass that places a task which was placed meanwhile."""
    found = IndexSet([(0, 6)])
    read = []
    for number in found:
        read.append(number)
        found.discard(number)
        found.discard(4)
    assert read == [0, 1, 2, 3, 5]
