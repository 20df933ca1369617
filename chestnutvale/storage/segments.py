"""On-disk log in numbered segments of checksummed batches."""

from collections.abc import Sequence
from pathlib import Path

import attrs
from google.protobuf.message import DecodeError

from chestnutvale.schema.raft_pb2 import HardState, LogBatch, LogEntry, LogPosition
from chestnutvale.storage.const import (
    MIN_SEGMENT_BYTES,
    SEGMENT_BYTES,
    SEGMENT_PATTERN,
    TEMPORARY_SUFFIX,
)
from chestnutvale.storage.exceptions import StorageCorruptError
from chestnutvale.storage.file_system import FileSystem
from chestnutvale.storage.frames import Frame, encode_frame, read_frames


@attrs.define
class LogContent:
    """Log content, rebuilt from the segments batch by batch.

    Parameters
    ----------
    hard_state : HardState
        Newest term and vote.
    base : LogPosition
        Entry before the first one.
    entries : list of LogEntry
        Entries after the base, without a gap.
    """

    hard_state: HardState = attrs.field(factory=HardState)
    base: LogPosition = attrs.field(factory=LogPosition)
    entries: list[LogEntry] = attrs.field(factory=list)

    @property
    def last(self) -> LogPosition:
        """Index and term of the last entry."""
        if not self.entries:
            return self.base
        newest = self.entries[-1]
        return LogPosition(index=newest.index, term=newest.term)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if it is not held."""
        if index == self.base.index:
            return self.base.term
        if not self.base.index < index <= self.last.index:
            return None
        return self.entries[index - self.base.index - 1].term

    def add(self, batch: LogBatch) -> bool:
        """Add a batch; return whether it continues the log without a gap."""
        if batch.HasField("hard_state"):
            self.hard_state = batch.hard_state
        if batch.HasField("reset"):
            self.base = batch.reset
            self.entries = []
        for entry in batch.entries:
            if not 0 < entry.index <= self.last.index + 1:
                return False
            if entry.index <= self.base.index:
                # An older segment that held the replaced entries is gone.
                self.base = LogPosition(index=entry.index - 1)
                self.entries = []
            del self.entries[entry.index - self.base.index - 1 :]
            self.entries.append(entry)
        return True


@attrs.define
class Segment:
    """One file of the log.

    Parameters
    ----------
    path : Path
        The file.
    last_index : int
        Highest index of an entry in it or before it.
    """

    path: Path
    last_index: int = 0


class SegmentLog:
    """Appends batches to segments and syncs each one.

    Parameters
    ----------
    folder : Path
        The data folder.
    file_system : FileSystem
        File operations.
    segment_bytes : int, optional
        Size in bytes at which a new segment is started.
    """

    def __init__(
        self, folder: Path, file_system: FileSystem, segment_bytes: int = SEGMENT_BYTES
    ) -> None:
        self.content = LogContent()
        self.segments: list[Segment] = []
        self._folder = folder
        self._file_system = file_system
        self._segment_bytes = segment_bytes
        self._sequence = 0
        self._descriptor = -1
        self._size_bytes = 0
        # Whether a failed write may have left bytes behind the last synced frame.
        self._has_torn_tail = False
        # Segment that could not be started and may still exist.
        self._refused_path: Path | None = None

    def load(self) -> None:
        """Read all segments and open the last one for appending.

        Raises
        ------
        StorageCorruptError
            If data that was synced is damaged or missing.
        """
        paths = sorted(self._folder.glob(SEGMENT_PATTERN))
        for position, path in enumerate(paths):
            self._load_segment(path, is_last=position == len(paths) - 1)
        if self.segments:
            self._open_last()

    def _load_segment(self, path: Path, *, is_last: bool) -> None:
        data = path.read_bytes()
        end = 0
        for frame in read_frames(data, str(path), may_be_torn=is_last):
            self._add_frame(path, frame, is_first=end == 0)
            end = frame.end_bytes
        if end == 0 and not is_last:
            raise StorageCorruptError("empty segment", file=str(path), offset_bytes=0)
        if end == 0:
            # The process ended before the first batch was synced.
            self._file_system.remove(path)
            self._file_system.sync_folder(self._folder)
            return
        if is_last:
            self._make_durable(path, data[:end])
        self.segments.append(Segment(path, self.content.last.index))
        self._size_bytes = end

    def _make_durable(self, path: Path, data: bytes) -> None:
        """Write the last segment again, without a torn tail, and sync it.

        An earlier process may have ended before a sync, or after a failed one, which
        leaves data in memory that another sync does not write.
        """
        self._file_system.replace_file(path, [data], TEMPORARY_SUFFIX)

    def _add_frame(self, path: Path, frame: Frame, *, is_first: bool) -> None:
        offset = frame.offset_bytes
        try:
            batch = LogBatch.FromString(frame.payload)
        except DecodeError as error:
            raise StorageCorruptError(
                "unreadable record", file=str(path), offset_bytes=offset
            ) from error
        if is_first and not self.segments:
            self.content.base = batch.start
        elif frame.sequence != self._sequence:
            raise StorageCorruptError(
                "missing segment", file=str(path), offset_bytes=offset
            )
        if not self.content.add(batch):
            raise StorageCorruptError(
                "entry out of order", file=str(path), offset_bytes=offset
            )
        self._sequence = frame.sequence + 1

    def _open_last(self) -> None:
        self._descriptor = self._file_system.open_append(self.segments[-1].path)

    def discard_loaded_entries(self) -> None:
        """Drop the entries but keep the position; Raft holds the entries."""
        self.content.base = self.content.last
        self.content.entries = []

    def start(self) -> None:
        """Create the first segment in an empty folder."""
        self._begin_segment()

    def append(
        self,
        hard_state: HardState | None,
        entries: Sequence[LogEntry],
        reset: LogPosition | None = None,
    ) -> None:
        """Write a batch and sync it.

        Parameters
        ----------
        hard_state : HardState or None
            New term and vote.
        entries : sequence of LogEntry
            New entries; each replaces its index and all that follow.
        reset : LogPosition, optional
            Position after which the log continues, for a leader's snapshot.
        """
        if self._size_bytes >= self._segment_bytes:
            self._begin_segment()
        batch = LogBatch(hard_state=hard_state, entries=entries, reset=reset)
        self._write(batch)

    def _write(self, batch: LogBatch) -> None:
        self._undo_failed_write()
        self._has_torn_tail = True
        self._size_bytes += self._write_frame(self._descriptor, batch)
        self._has_torn_tail = False

    def _undo_failed_write(self) -> None:
        """Remove what a failed write has left, which could be taken for damage."""
        if self._has_torn_tail:
            self._file_system.truncate(self.segments[-1].path, self._size_bytes)
            self._has_torn_tail = False
        if self._refused_path is not None:
            self._file_system.remove(self._refused_path)
            self._file_system.sync_folder(self._folder)
            self._refused_path = None

    def _write_frame(self, descriptor: int, batch: LogBatch) -> int:
        """Write and sync a frame; return its size in bytes."""
        data = encode_frame(self._sequence, batch.SerializeToString())
        self._file_system.write(descriptor, data)
        self._file_system.sync(descriptor)
        self._sequence += 1
        self._update_content(batch)
        return len(data)

    def _update_content(self, batch: LogBatch) -> None:
        if batch.HasField("hard_state"):
            self.content.hard_state = batch.hard_state
        if batch.HasField("reset"):
            self.content.base = batch.reset
            self.content.entries = []
        if batch.entries:
            newest = batch.entries[-1]
            self.content.base = LogPosition(index=newest.index, term=newest.term)
            self.content.entries = []
        if self.segments:
            segment = self.segments[-1]
            segment.last_index = max(segment.last_index, self.content.last.index)

    def _begin_segment(self) -> None:
        """Start a segment; if that fails, the current one stays in use."""
        self._undo_failed_write()
        path = self._folder / f"log-{self._sequence:016x}.segment"
        start = LogBatch(hard_state=self.content.hard_state, start=self.content.last)
        segment = Segment(path, self.content.last.index)
        descriptor = self._file_system.open_append(path)
        try:
            self._file_system.sync_folder(self._folder)
            size_bytes = self._write_frame(descriptor, start)
        except OSError:
            self._refused_path = path
            self._file_system.close(descriptor)
            raise
        self.close()
        self._descriptor = descriptor
        self._size_bytes = size_bytes
        self.segments.append(segment)

    def remove_covered_segments(self, index: int) -> None:
        """Remove segments all of whose entries a snapshot covers."""
        if self._size_bytes >= MIN_SEGMENT_BYTES:
            # A new segment lets the current one be removed once it is covered.
            self._begin_segment()
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            self._file_system.remove(self.segments[0].path)
            # A loss of power may undo single removals; a gap would be taken for damage.
            self._file_system.sync_folder(self._folder)
            del self.segments[0]

    def close(self) -> None:
        """Close the last segment."""
        if self._descriptor >= 0:
            self._file_system.close(self._descriptor)
            self._descriptor = -1
