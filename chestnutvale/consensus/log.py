"""The log as a member holds it in memory."""

from collections.abc import Sequence

from chestnutvale.consensus.const import MAX_REPLAY_ENTRIES
from chestnutvale.schema.raft_pb2 import (
    ENTRY_KIND_MEMBERS,
    LogEntry,
    Members,
    SnapshotMetadata,
)
from chestnutvale.storage.state import StoredState


class RaftLog:
    """Entries after a snapshot and the members that they set.

    Some entries before the snapshot stay in memory, so that a follower that is
    only a little behind needs no snapshot.

    Parameters
    ----------
    stored : StoredState
        What the disk held.
    """

    def __init__(self, stored: StoredState) -> None:
        self._begin_after(stored.snapshot, stored.snapshot_size_bytes)
        self.append(stored.entries)

    def _begin_after(self, snapshot: SnapshotMetadata, size_bytes: int) -> None:
        self.snapshot = snapshot
        self.snapshot_size_bytes = size_bytes
        self.bytes_since_snapshot = 0
        # Index and term just before the first entry in memory.
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[LogEntry] = []
        self._members = [(snapshot.index, snapshot.members)]

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """The members that the newest entry of that kind sets."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that set the members."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the members in force at an index."""
        return next(m for i, m in reversed(self._members) if i <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not held."""
        if index == self._base_index:
            return self._base_term
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that follow the last one."""
        for entry in entries:
            self._entries.append(entry)
            self.bytes_since_snapshot += len(entry.data)
            if entry.kind == ENTRY_KIND_MEMBERS:
                self._members.append((entry.index, Members.FromString(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all that follow it."""
        del self._entries[index - self._base_index - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def slice(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from one index to another, up to a size."""
        start = first - self._base_index - 1
        stop = last - self._base_index
        size_bytes = 0
        for position in range(start, stop):
            size_bytes += len(self._entries[position].data)
            if size_bytes > max_bytes and position > start:
                stop = position
                break
        return self._entries[start:stop]

    def holds_after(self, index: int) -> bool:
        """Tell whether all entries after an index are in memory."""
        return index >= self._base_index

    def compact(self, metadata: SnapshotMetadata, size_bytes: int) -> None:
        """Drop entries that a snapshot covers, but for the newest of them."""
        self.snapshot = metadata
        self.snapshot_size_bytes = size_bytes
        base = max(self._base_index, metadata.index - MAX_REPLAY_ENTRIES)
        self._base_term = self.term_at(base) or 0
        del self._entries[: base - self._base_index]
        self._base_index = base
        later = [(i, m) for i, m in self._members if i > metadata.index]
        self._members = [(metadata.index, metadata.members), *later]
        kept = self.slice(metadata.index + 1, self.last_index, 1 << 62)
        self.bytes_since_snapshot = sum(len(entry.data) for entry in kept)

    def reset(self, metadata: SnapshotMetadata, size_bytes: int) -> None:
        """Drop all entries in favour of a leader's snapshot."""
        self._begin_after(metadata, size_bytes)
