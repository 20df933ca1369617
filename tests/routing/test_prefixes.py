"""Tests of the prefix index with late and lost cache events."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chestnutvale.routing.prefixes import PrefixIndex

batch = st.tuples(
    st.sets(st.integers(0, 20), max_size=4),
    st.sets(st.integers(0, 20), max_size=4),
    st.booleans(),
)


@seed(71)
@settings(database=None, deadline=None, max_examples=300)
@given(st.lists(batch, max_size=30))
def test_never_claims_a_prefix_that_the_group_dropped(batches):
    """Whichever events are lost, the index is a subset of the group's cache."""
    index = PrefixIndex()
    held = set()
    for sequence, (added, removed, is_lost) in enumerate(batches, start=1):
        removed = removed - added
        held = (held | added) - removed
        if is_lost:
            continue
        index.apply_cache_events("g", sequence, sequence, added, removed)
        known = {prefix for prefix in range(21) if index.held("g", (prefix,))}
        assert known <= held
        for prefix in range(21):
            assert (index.longest((prefix,))[0] == 1) == (prefix in known)


def test_late_and_doubled_events_change_nothing():
    index = PrefixIndex()
    index.apply_cache_events("g", 1, 2, [1, 2], [])
    index.apply_cache_events("g", 3, 3, [], [1])
    index.apply_cache_events("g", 1, 2, [1, 2], [])
    assert index.held("g", (1,)) == 0
    assert index.held("g", (2,)) == 1


def test_longest_prefix_wins_and_memory_is_bounded():
    index = PrefixIndex(capacity=3)
    index.apply_cache_events("g1", 1, 1, [1], [])
    index.apply_cache_events("g2", 1, 1, [1, 2], [])
    assert index.longest((1, 2, 3)) == (2, frozenset({"g2"}))
    index.apply_cache_events("g2", 2, 2, [5, 6, 7], [])
    assert index.longest((1, 2, 3)) == (1, frozenset({"g1"}))
    assert index.held("g2", (5,)) == 1
