"""Queue of effects, and of messages that depend on unsynced writes."""

from collections import deque
from collections.abc import Iterator, Sequence

from chestnutvale.consensus.events import (
    Effect,
    InstallSnapshot,
    PersistLog,
    ReadReady,
)
from chestnutvale.consensus.write_watch import NO_WRITE
from chestnutvale.schema.raft_pb2 import (
    HardState,
    LogEntry,
    RaftMessage,
    SnapshotMetadata,
)


class Outbox:
    """Collects the effects of an event and delays messages until their writes sync.

    Each write has an increasing id. A message that relies on written data is
    sent once the newest write at the time it was created is on disk.

    Parameters
    ----------
    durable_index : int
        Index of the last entry on disk at the start.

    Attributes
    ----------
    durable_index : int
        Index up to which the log is on disk.
    """

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self._effects: list[Effect] = []
        self._reads: list[ReadReady] = []
        self._entries: list[LogEntry] = []
        self._snapshot: tuple[SnapshotMetadata, bytes] | None = None
        self._last_write_id = 0
        self._persisted_write_id = 0
        self._pending_writes: deque[tuple[int, int]] = deque()
        self._new_messages: list[RaftMessage] = []
        self._held_messages: deque[tuple[int, RaftMessage]] = deque()

    def add_effect(self, effect: Effect) -> None:
        """Add an effect that does not depend on a write."""
        self._effects.append(effect)

    def add_read(self, effect: ReadReady) -> None:
        """Add a read result, emitted after the entries it must reflect."""
        self._reads.append(effect)

    def add_after_sync(self, message: RaftMessage) -> None:
        """Add a message to send once all writes queued so far are on disk."""
        self._new_messages.append(message)

    def add_entries(self, entries: Sequence[LogEntry]) -> None:
        """Add entries to the next write to disk."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Discard queued entries from an index on and lower the durable index."""
        self._entries = [entry for entry in self._entries if entry.index < index]
        self._lower_durable_index(index - 1)

    def install_snapshot(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Replace the log with a leader's snapshot at the next write."""
        self._entries = []
        self._snapshot = (metadata, data)
        self._lower_durable_index(metadata.index)

    def _lower_durable_index(self, index: int) -> None:
        self.durable_index = min(self.durable_index, index)
        clamped = [
            (write_id, min(last, index)) for write_id, last in self._pending_writes
        ]
        self._pending_writes = deque(clamped)

    def assign_write_ids(self, hard_state: HardState | None, last_index: int) -> None:
        """Assign write ids to queued writes and to the messages waiting on them."""
        if hard_state is not None or self._entries:
            entries, self._entries = self._entries, []
            write_id = self._next_write_id(last_index)
            self._effects.append(PersistLog(write_id, hard_state, entries))
        if self._snapshot is not None:
            write_id = self._next_write_id(last_index)
            self._effects.append(InstallSnapshot(write_id, *self._snapshot))
            self._snapshot = None
        self._held_messages.extend(
            (self._last_write_id, message) for message in self._new_messages
        )
        self._new_messages.clear()

    def _next_write_id(self, last_index: int) -> int:
        self._last_write_id += 1
        self._pending_writes.append((self._last_write_id, last_index))
        return self._last_write_id

    @property
    def oldest_write_id(self) -> int:
        """Id of the oldest write that is not on disk; `NO_WRITE` if there is none."""
        return self._pending_writes[0][0] if self._pending_writes else NO_WRITE

    def mark_persisted(self, write_id: int) -> None:
        """Record that all writes up to an id are on disk."""
        self._persisted_write_id = max(self._persisted_write_id, write_id)
        while self._pending_writes and self._pending_writes[0][0] <= write_id:
            self.durable_index = self._pending_writes.popleft()[1]

    def pop_durable_messages(self) -> Iterator[RaftMessage]:
        """Remove and yield the messages whose writes are on disk."""
        while (
            self._held_messages
            and self._held_messages[0][0] <= self._persisted_write_id
        ):
            yield self._held_messages.popleft()[1]

    def flush_reads(self) -> None:
        """Emit the queued reads after the entries that they must reflect."""
        self._effects.extend(self._reads)
        self._reads.clear()

    def drain_effects(self) -> list[Effect]:
        """Return the queued effects in order and clear the queue."""
        effects, self._effects = self._effects, []
        return effects
