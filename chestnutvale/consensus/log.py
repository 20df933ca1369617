"""In-memory Raft log of a member."""

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
    """Log entries after a snapshot, and the membership that they define.

    Recent entries before the snapshot stay in memory, so that a follower that
    lags only slightly does not need a snapshot.

    Parameters
    ----------
    stored : StoredState
        Durable state read from disk.
    """

    def __init__(self, stored: StoredState) -> None:
        self._begin_after(stored.snapshot, stored.snapshot_size_bytes)
        self.append(stored.entries)

    def _begin_after(self, snapshot: SnapshotMetadata, size_bytes: int) -> None:
        self.snapshot = snapshot
        self.snapshot_size_bytes = size_bytes
        self.bytes_since_snapshot = 0
        # Index and term of the entry before the first one in memory.
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
        """Members set by the newest membership entry, committed or not."""
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
        """Remove the entry at an index and all later ones."""
        del self._entries[index - self._base_index - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def slice(self, first: int, last: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from first to last, limited by size but at least one."""
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
        """Return whether all entries after an index are in memory."""
        return index >= self._base_index

    def compact(self, metadata: SnapshotMetadata, size_bytes: int) -> None:
        """Discard entries that a snapshot covers, except the most recent."""
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
        """Replace all entries with a snapshot received from the leader."""
        self._begin_after(metadata, size_bytes)
