"""Index of the prompt prefixes in the caches of groups."""

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from chestnutvale.routing.const import MAX_PREFIXES_PER_GROUP


@attrs.define
class GroupPrefixes:
    """Prefixes known to be cached by one group.

    Attributes
    ----------
    next_sequence : int
        Expected sequence number of the next cache event; 0 before the first.
    prefixes : OrderedDict
        Fingerprints, least recently added first.
    """

    next_sequence: int = 0
    prefixes: OrderedDict[int, None] = attrs.field(factory=OrderedDict)


@attrs.define
class PrefixIndex:
    """Index from prefix to groups, maintained from cache events.

    A gap in the event sequence of a group may hide a removal, so the index drops all
    prefixes of that group instead of serving stale ones.

    Parameters
    ----------
    capacity : int
        Maximum number of prefixes per group.
    """

    capacity: int = MAX_PREFIXES_PER_GROUP
    _groups: dict[str, GroupPrefixes] = attrs.field(factory=dict)
    _holders: dict[int, set[str]] = attrs.field(factory=dict)

    def apply_cache_events(
        self,
        group_id: str,
        first_sequence: int,
        last_sequence: int,
        added: Iterable[int],
        removed: Iterable[int],
    ) -> None:
        """Apply the cache events from `first_sequence` to `last_sequence`.

        Events that were already applied are ignored.
        """
        known = self._groups.setdefault(group_id, GroupPrefixes())
        if last_sequence < known.next_sequence:
            return
        if first_sequence != known.next_sequence:
            self.forget(group_id)
            known = self._groups.setdefault(group_id, GroupPrefixes())
        known.next_sequence = last_sequence + 1
        for prefix in added:
            self._add(known, group_id, prefix)
        for prefix in removed:
            self._remove(known, group_id, prefix)

    def forget(self, group_id: str) -> None:
        """Drop all prefixes of a group."""
        known = self._groups.pop(group_id, None)
        if known is None:
            return
        for prefix in known.prefixes:
            self._drop_holder(prefix, group_id)

    def longest(self, prefixes: tuple[int, ...]) -> tuple[int, frozenset[str]]:
        """Return the longest match in prefixes and the groups that hold it."""
        for count in range(len(prefixes), 0, -1):
            holders = self._holders.get(prefixes[count - 1])
            if holders:
                return count, frozenset(holders)
        return 0, frozenset()

    def held(self, group_id: str, prefixes: tuple[int, ...]) -> int:
        """Return the length, in prefixes, of the longest match cached by a group."""
        known = self._groups.get(group_id)
        if known is None:
            return 0
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in known.prefixes:
                return count
        return 0

    def _add(self, known: GroupPrefixes, group_id: str, prefix: int) -> None:
        known.prefixes[prefix] = None
        known.prefixes.move_to_end(prefix)
        self._holders.setdefault(prefix, set()).add(group_id)
        if len(known.prefixes) > self.capacity:
            oldest, _ = known.prefixes.popitem(last=False)
            self._drop_holder(oldest, group_id)

    def _remove(self, known: GroupPrefixes, group_id: str, prefix: int) -> None:
        if prefix in known.prefixes:
            del known.prefixes[prefix]
            self._drop_holder(prefix, group_id)

    def _drop_holder(self, prefix: int, group_id: str) -> None:
        holders = self._holders[prefix]
        holders.discard(group_id)
        if not holders:
            del self._holders[prefix]
