"""On-disk snapshot, replaced atomically."""

import os
from pathlib import Path

from chestnutvale.schema.raft_pb2 import SnapshotMetadata
from chestnutvale.storage.const import SNAPSHOT_PATTERN, TEMPORARY_SUFFIX
from chestnutvale.storage.exceptions import StorageCorruptError
from chestnutvale.storage.file_system import FileSystem
from chestnutvale.storage.frames import HEADER_BYTES, encode_frame, read_frame


class SnapshotStore:
    """Stores the newest snapshot.

    Parameters
    ----------
    folder : Path
        The data folder.
    file_system : FileSystem
        File operations.
    """

    def __init__(self, folder: Path, file_system: FileSystem) -> None:
        self.metadata = SnapshotMetadata()
        self.size_bytes = 0
        self._folder = folder
        self._file_system = file_system
        self._path: Path | None = None
        self._data_offset = 0

    def load(self) -> None:
        """Verify the newest snapshot and remove older and temporary files.

        Raises
        ------
        StorageCorruptError
            If the newest snapshot is damaged.
        """
        for leftover in self._folder.glob(f"*{TEMPORARY_SUFFIX}"):
            self._file_system.remove(leftover)
        paths = sorted(self._folder.glob(SNAPSHOT_PATTERN))
        if not paths:
            return
        self._open(paths[-1])
        for older in paths[:-1]:
            self._file_system.remove(older)

    def _open(self, path: Path) -> None:
        data = path.read_bytes()
        head = read_frame(data, 0)
        if head is None:
            raise StorageCorruptError(
                "damaged snapshot", file=str(path), offset_bytes=0
            )
        body = read_frame(data, head.end_bytes)
        if body is None or body.end_bytes != len(data):
            raise StorageCorruptError(
                "damaged snapshot", file=str(path), offset_bytes=head.end_bytes
            )
        self.metadata = SnapshotMetadata.FromString(head.payload)
        self.size_bytes = len(body.payload)
        self._path = path
        self._data_offset = head.end_bytes + HEADER_BYTES

    def save(self, metadata: SnapshotMetadata, data: bytes) -> None:
        """Save a snapshot and remove the previous one."""
        older = self._path
        path = self._folder / f"snapshot-{metadata.index:016x}.data"
        head = encode_frame(0, metadata.SerializeToString())
        body = encode_frame(1, data)
        self._file_system.replace_file(path, [head, body], TEMPORARY_SUFFIX)
        self.metadata = metadata
        self.size_bytes = len(data)
        self._path = path
        self._data_offset = len(head) + HEADER_BYTES
        if older is not None and older != path:
            self._file_system.remove(older)

    def read(self, index: int, offset_bytes: int, length: int) -> bytes | None:
        """Read a part of a snapshot; None if a newer one has replaced it."""
        if self._path is None or self.metadata.index != index:
            return None
        try:
            descriptor = os.open(self._path, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            return os.pread(descriptor, length, self._data_offset + offset_bytes)
        finally:
            os.close(descriptor)

    def read_all(self) -> bytes:
        """Read the newest snapshot; empty if there is none."""
        if self._path is None:
            return b""
        return self.read(self.metadata.index, 0, self.size_bytes) or b""
