"""Effects on their way out, and messages that wait for the disk."""

from collections import deque
from collections.abc import Iterator, Sequence

from chestnutvale.consensus.events import (
    Effect,
    InstallSnapshot,
    Persist,
    ReadReady,
)
from chestnutvale.schema.raft_pb2 import (
    HardState,
    LogEntry,
    RaftMessage,
    SnapshotMetadata,
)


class Outbox:
    """Collects the effects of an event and holds back what needs a sync first.

    Each write has a ticket. A message that promises something written goes out
    once the ticket that was newest at its making is on the disk.

    Parameters
    ----------
    durable_index : int
        Last index that the disk holds.

    Attributes
    ----------
    durable_index : int
        Index up to which this log is on the disk.
    """

    def __init__(self, durable_index: int) -> None:
        self.durable_index = durable_index
        self._effects: list[Effect] = []
        self._reads: list[ReadReady] = []
        self._entries: list[LogEntry] = []
        self._snapshot: tuple[SnapshotMetadata, bytes] | None = None
        self._ticket = 0
        self._persisted_ticket = 0
        self._unsynced: deque[tuple[int, int]] = deque()
        self._new_messages: list[RaftMessage] = []
        self._held: deque[tuple[int, RaftMessage]] = deque()

    def add(self, effect: Effect) -> None:
        """Add an effect that waits for nothing."""
        self._effects.append(effect)

    def add_read(self, effect: ReadReady) -> None:
        """Add a read, which follows the entries that it must see."""
        self._reads.append(effect)

    def hold(self, message: RaftMessage) -> None:
        """Add a message that waits for all that is written up to now."""
        self._new_messages.append(message)

    def write(self, entries: Sequence[LogEntry]) -> None:
        """Add entries to the next write."""
        self._entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Forget that entries from an index on were or will be written."""
        self._entries = [entry for entry in self._entries if entry.index < index]
        self._clamp(index - 1)

    def install(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Replace the log by a leader's snapshot at the next write."""
        self._entries = []
        self._snapshot = (metadata, data)
        self._clamp(metadata.index)

    def _clamp(self, index: int) -> None:
        self.durable_index = min(self.durable_index, index)
        clamped = [(ticket, min(last, index)) for ticket, last in self._unsynced]
        self._unsynced = deque(clamped)

    def seal(self, hard_state: HardState | None, last_index: int) -> None:
        """Give what is to be written its tickets, and the messages theirs."""
        if hard_state is not None or self._entries:
            entries, self._entries = self._entries, []
            ticket = self._next_ticket(last_index)
            self._effects.append(Persist(ticket, hard_state, entries))
        if self._snapshot is not None:
            ticket = self._next_ticket(last_index)
            self._effects.append(InstallSnapshot(ticket, *self._snapshot))
            self._snapshot = None
        self._held.extend((self._ticket, message) for message in self._new_messages)
        self._new_messages.clear()

    def _next_ticket(self, last_index: int) -> int:
        self._ticket += 1
        self._unsynced.append((self._ticket, last_index))
        return self._ticket

    def note_persisted(self, ticket: int) -> None:
        """Note that all writes up to a ticket are on the disk."""
        self._persisted_ticket = max(self._persisted_ticket, ticket)
        while self._unsynced and self._unsynced[0][0] <= ticket:
            self.durable_index = self._unsynced.popleft()[1]

    def release(self) -> Iterator[RaftMessage]:
        """Yield the messages whose writes are on the disk."""
        while self._held and self._held[0][0] <= self._persisted_ticket:
            yield self._held.popleft()[1]

    def take_reads(self) -> None:
        """Let the reads out; the entries that they must see are out."""
        self._effects.extend(self._reads)
        self._reads.clear()

    def take(self) -> list[Effect]:
        """Return the effects in order and begin anew."""
        effects, self._effects = self._effects, []
        return effects
