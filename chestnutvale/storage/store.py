"""The data folder of a control: identity, log and snapshot."""

import fcntl
import os
import secrets
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from types import TracebackType
from typing import Self

from chestnutvale.consensus.const import IDENTITY_SEPARATOR
from chestnutvale.schema.raft_pb2 import (
    HardState,
    Identity,
    LogEntry,
    LogPosition,
    SnapshotMetadata,
)
from chestnutvale.schema.settings_pb2 import ControlSettings
from chestnutvale.storage.const import (
    IDENTITY_FILE,
    IDENTITY_SUFFIX_BYTES,
    LOCK_FILE,
    SEGMENT_BYTES,
    STEP_OPEN,
    STEP_WRITE,
    TEMPORARY_SUFFIX,
)
from chestnutvale.storage.exceptions import (
    StorageCorruptError,
    StorageError,
    StorageFullError,
    StorageLockedError,
    make_storage_error,
)
from chestnutvale.storage.file_system import FileSystem
from chestnutvale.storage.frames import encode_frame, read_frame
from chestnutvale.storage.segments import LogContent, SegmentLog
from chestnutvale.storage.snapshots import SnapshotStore
from chestnutvale.storage.state import StoredState


def make_identity_suffix() -> str:
    """Return a random identity suffix, unique per disk of a control."""
    return secrets.token_hex(IDENTITY_SUFFIX_BYTES)


class DataStore:
    """Owns the data folder of a control; a context manager.

    Methods that write block until the data is on disk; a task calls them in
    another thread, one at a time. After a failed write all later writes fail,
    since it is unknown which pages reached the disk.

    Parameters
    ----------
    settings : ControlSettings
        Settings with the folder, cluster id and control id.
    file_system : FileSystem, optional
        File operations.
    suffix : callable, optional
        Makes the random part of a new identity.
    segment_bytes : int, optional
        Size in bytes at which a new log segment is started.

    Attributes
    ----------
    member_id : str
        Identity of this disk in the log.
    state : StoredState
        Durable state read when the folder was opened.
    failure : StorageError or None
        The failure after which nothing more is written. A full disk is none: a write
        that it refused may be repeated.
    """

    def __init__(
        self,
        settings: ControlSettings,
        file_system: FileSystem | None = None,
        suffix: Callable[[], str] = make_identity_suffix,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self.member_id = ""
        self.state = StoredState()
        self.failure: StorageError | None = None
        self._settings = settings
        self._folder = Path(settings.data_folder)
        self._file_system = file_system or FileSystem()
        self._make_identity_suffix = suffix
        self._log = SegmentLog(self._folder, self._file_system, segment_bytes)
        self._snapshots = SnapshotStore(self._folder, self._file_system)
        self._lock_descriptor = -1

    def __enter__(self) -> Self:
        """Lock the folder and read it, or set up an empty one."""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._acquire_lock()
            self._load()
        except OSError as error:
            self._close()
            raise make_storage_error(error, STEP_OPEN, str(self._folder)) from error
        except BaseException:
            self._close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the log and release the folder."""
        self._close()

    def _close(self) -> None:
        self._log.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _acquire_lock(self) -> None:
        self._lock_descriptor = os.open(
            self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600
        )
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise StorageLockedError(
                "another process owns the data folder",
                step=STEP_OPEN,
                peer=str(self._folder),
            ) from error

    # Reading the folder.

    def _load(self) -> None:
        # An earlier process may have ended before it synced the names of its files.
        self._file_system.sync_folder(self._folder)
        self._file_system.sync_folder(self._folder.parent)
        self._snapshots.load()
        self._log.load()
        path = self._folder / IDENTITY_FILE
        if path.exists():
            self._load_identity(path)
        else:
            self._create_identity(path)
        self.state = self._make_state(self._log.content)
        self._log.discard_loaded_entries()

    def _load_identity(self, path: Path) -> None:
        frame = read_frame(path.read_bytes(), 0)
        if frame is None:
            raise StorageCorruptError(
                "damaged identity", file=str(path), offset_bytes=0
            )
        identity = Identity.FromString(frame.payload)
        prefix = self._settings.control_id + IDENTITY_SEPARATOR
        is_own = identity.member_id.startswith(prefix)
        if identity.cluster_id != self._settings.cluster_id or not is_own:
            raise StorageError(
                f"the folder belongs to {identity.member_id!r} of cluster "
                f"{identity.cluster_id!r}",
                step=STEP_OPEN,
                peer=str(path),
            )
        if not self._log.segments:
            raise StorageCorruptError("missing log", file=str(path), offset_bytes=0)
        self.member_id = identity.member_id

    def _create_identity(self, path: Path) -> None:
        """Create a new identity; fail if the folder already holds data."""
        content = self._log.content
        if content.last.index or content.hard_state.term or self._snapshots.size_bytes:
            raise StorageCorruptError(
                "missing identity", file=str(path), offset_bytes=0
            )
        if not self._log.segments:
            self._log.start()
        member_id = (
            self._settings.control_id
            + IDENTITY_SEPARATOR
            + self._make_identity_suffix()
        )
        identity = Identity(cluster_id=self._settings.cluster_id, member_id=member_id)
        frame = encode_frame(0, identity.SerializeToString())
        self._file_system.replace_file(path, [frame], TEMPORARY_SUFFIX)
        self.member_id = member_id

    def _make_state(self, content: LogContent) -> StoredState:
        """Combine the snapshot and the log entries that follow it."""
        metadata = self._snapshots.metadata
        index = metadata.index
        if content.base.index > index:
            raise StorageCorruptError(
                f"no snapshot up to entry {content.base.index}",
                file=str(self._folder),
                offset_bytes=0,
            )
        entries = []
        if content.term_at(index) == metadata.term:
            entries = content.entries[index - content.base.index :]
        else:
            # The process stopped after the snapshot was saved and before the log
            # was reset to it.
            position = LogPosition(index=index, term=metadata.term)
            self._log.append(None, [], position)
        return StoredState(
            hard_state=content.hard_state,
            snapshot=metadata,
            snapshot_size_bytes=self._snapshots.size_bytes,
            entries=entries,
        )

    # Writing.

    @contextmanager
    def _fail_on_os_error(self) -> Iterator[None]:
        if self.failure is not None:
            raise self.failure
        try:
            yield
        except OSError as error:
            failure = make_storage_error(error, STEP_WRITE, str(self._folder))
            if not isinstance(failure, StorageFullError):
                self.failure = failure
            raise failure from error

    def write(self, hard_state: HardState | None, entries: Sequence[LogEntry]) -> None:
        """Write a batch to the log and sync it.

        Parameters
        ----------
        hard_state : HardState or None
            New term and vote.
        entries : sequence of LogEntry
            New entries; each replaces its index and all that follow.

        Raises
        ------
        StorageError
            If the disk failed, now or before.
        """
        with self._fail_on_os_error():
            self._log.append(hard_state, entries)

    def save_snapshot(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Save a snapshot of this member's state and remove covered segments.

        Parameters
        ----------
        metadata : SnapshotMetadata
            Index, term and members of the snapshot.
        data : bytes
            Serialised state.

        Raises
        ------
        StorageError
            If the disk failed, now or before.
        """
        with self._fail_on_os_error():
            if metadata.index <= self._snapshots.metadata.index:
                return
            self._snapshots.save(metadata, data)
            self._log.remove_covered_segments(metadata.index)

    def install_snapshot(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Save a leader's snapshot and continue with an empty log after it.

        Parameters
        ----------
        metadata : SnapshotMetadata
            Index, term and members of the snapshot.
        data : bytes
            Serialised state.

        Raises
        ------
        StorageError
            If the disk failed, now or before.
        """
        with self._fail_on_os_error():
            self._snapshots.save(metadata, data)
            position = LogPosition(index=metadata.index, term=metadata.term)
            self._log.append(None, [], position)
            self._log.remove_covered_segments(metadata.index)

    def read_snapshot(self, index: int, offset_bytes: int, length: int) -> bytes | None:
        """Read a part of the snapshot.

        Parameters
        ----------
        index : int
            Index of the requested snapshot.
        offset_bytes, length : int
            Range to read, in bytes.

        Returns
        -------
        bytes or None
            None if a newer snapshot has replaced it.
        """
        return self._snapshots.read(index, offset_bytes, length)

    def load_snapshot(self) -> bytes:
        """Return the newest snapshot's data; empty if there is none."""
        return self._snapshots.read_all()
