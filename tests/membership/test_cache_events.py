"""Queue of cache events that are forwarded from group heads to entries."""

from chestnutvale.membership.cache_events import CacheEventQueue
from chestnutvale.routing.prefixes import PrefixIndex
from chestnutvale.schema.membership_pb2 import Announcement, CacheEvents, Holding


def make_announcement(first, last, added, **holding):
    fields = {"group_id": "g1", "epoch": 3, "phase": "ready", "rank": 0} | holding
    events = CacheEvents(first_sequence=first, last_sequence=last, added=added)
    return Announcement(holding=Holding(**fields), cache_events=events)


def test_only_events_of_a_ready_head_are_queued():
    queue = CacheEventQueue()
    queue.add_announcement(make_announcement(1, 1, [5], rank=1))
    queue.add_announcement(make_announcement(1, 1, [5], phase="loading"))
    queue.add_announcement(Announcement())
    queue.add_announcement(make_announcement(1, 2, [5, 6]))
    [item] = queue.drain()
    assert (item.group_id, item.epoch, list(item.events.added)) == ("g1", 3, [5, 6])
    assert queue.drain() == []


def test_overflow_is_a_gap_that_clears_the_index():
    queue = CacheEventQueue(max_hashes=4)
    index = PrefixIndex()
    index.apply_cache_events("g1", 0, 1, [100], [])
    for sequence in (2, 3):
        queue.add_announcement(
            make_announcement(sequence, sequence, [sequence * 10, sequence * 10 + 1, 1])
        )
    assert queue.dropped == 1
    for item in queue.drain():
        index.apply_cache_events(
            item.group_id,
            item.events.first_sequence,
            item.events.last_sequence,
            item.events.added,
            item.events.removed,
        )
    assert index.held("g1", (100,)) == 0
    assert index.held("g1", (30,)) == 1
