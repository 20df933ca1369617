"""Cache events on their way from heads to all entries."""

from collections import deque
from collections.abc import Iterable

import attrs

from chestnutvale.membership.const import HOLDING_READY
from chestnutvale.schema.membership_pb2 import Announcement
from chestnutvale.schema.peer_pb2 import GroupCacheEvents

# Hashes that wait to be passed on; with more, the oldest events are dropped.
MAX_QUEUED_HASHES = 2_048


@attrs.define
class CacheEventQueue:
    """Holds cache events until the next message; drops the oldest when full.

    A dropped event is a gap for whoever receives the later ones, who then forgets
    what it knew of that group. So a bound here costs prefix hits, never a wrong
    belief.

    Parameters
    ----------
    max_hashes : int
        Hashes held at most.

    Attributes
    ----------
    dropped : int
        Events that were dropped.
    """

    max_hashes: int = MAX_QUEUED_HASHES
    dropped: int = 0
    _hashes: int = 0
    _events: deque[GroupCacheEvents] = attrs.field(factory=deque)

    def add_announcement(self, announcement: Announcement) -> None:
        """Queue the events of an announcement, if it is of a ready head.

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
        """Queue events.

        Parameters
        ----------
        events : iterable of GroupCacheEvents
            The events.
        """
        for item in events:
            self._events.append(item)
            self._hashes += _count_hashes(item)
        while self._hashes > self.max_hashes:
            self._hashes -= _count_hashes(self._events.popleft())
            self.dropped += 1

    def drain(self) -> list[GroupCacheEvents]:
        """Return and forget all queued events, oldest first.

        Returns
        -------
        list of GroupCacheEvents
            The events.
        """
        events = list(self._events)
        self._events.clear()
        self._hashes = 0
        return events


def _count_hashes(item: GroupCacheEvents) -> int:
    return len(item.events.added) + len(item.events.removed)
