"""Queue of cache events to forward from group heads to all entries."""

from collections import deque
from collections.abc import Iterable

import attrs

from chestnutvale.membership.const import HOLDING_READY
from chestnutvale.schema.membership_pb2 import Announcement
from chestnutvale.schema.peer_pb2 import GroupCacheEvents

# Limit of hashes queued for forwarding; beyond it, the oldest events are dropped.
MAX_QUEUED_HASHES = 2_048


@attrs.define
class CacheEventQueue:
    """Queues cache events for the next message; drops the oldest when full.

    The receiver of later events sees a dropped one as a sequence gap and clears its
    index of that group. So the bound costs prefix hits, but never leaves the index
    wrong.

    Parameters
    ----------
    max_hashes : int
        Maximum number of queued hashes.

    Attributes
    ----------
    dropped : int
        Number of event batches dropped since the start.
    """

    max_hashes: int = MAX_QUEUED_HASHES
    dropped: int = 0
    _hashes: int = 0
    _events: deque[GroupCacheEvents] = attrs.field(factory=deque)

    def add_announcement(self, announcement: Announcement) -> None:
        """Queue the cache events of an announcement if a ready group head sent it.

        Parameters
        ----------
        announcement : Announcement
            The announcement as received.
        """
        holding = announcement.holding
        if not announcement.HasField("cache_events") or holding.rank != 0:
            return
        if holding.phase != HOLDING_READY:
            return
        item = GroupCacheEvents(
            group_id=holding.group_id,
            epoch=holding.epoch,
            events=announcement.cache_events,
        )
        self.extend([item])

    def extend(self, events: Iterable[GroupCacheEvents]) -> None:
        """Queue events; beyond `max_hashes` the oldest ones are dropped.

        Parameters
        ----------
        events : iterable of GroupCacheEvents
            Events by group, oldest first.
        """
        for item in events:
            self._events.append(item)
            self._hashes += _count_hashes(item)
        while self._hashes > self.max_hashes:
            self._hashes -= _count_hashes(self._events.popleft())
            self.dropped += 1

    def drain(self) -> list[GroupCacheEvents]:
        """Remove and return all queued events, oldest first.

        Returns
        -------
        list of GroupCacheEvents
            Events by group, oldest first.
        """
        events = list(self._events)
        self._events.clear()
        self._hashes = 0
        return events


def _count_hashes(item: GroupCacheEvents) -> int:
    return len(item.events.added) + len(item.events.removed)
