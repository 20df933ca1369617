"""Operating system calls of the storage layer."""

import os
from pathlib import Path


class FileSystem:
    """Durable file operations; tests override them to inject faults."""

    def open_append(self, path: Path) -> int:
        """Open a file for appending and create it if needed."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def sync(self, descriptor: int) -> None:
        """Wait until a file's data is on disk."""
        os.fsync(descriptor)

    def truncate(self, path: Path, size_bytes: int) -> None:
        """Truncate a file and sync it."""
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.ftruncate(descriptor, size_bytes)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a descriptor that `open_append` returned."""
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target atomically."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file if it exists; durable only after `sync_folder`."""
        path.unlink(missing_ok=True)

    def sync_folder(self, folder: Path) -> None:
        """Wait until created and renamed directory entries are on disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace_file(self, path: Path, parts: list[bytes], suffix: str) -> None:
        """Replace a file atomically through a synced temporary file."""
        temporary = path.with_name(path.name + suffix)
        # An earlier attempt may have failed after it had written a part.
        self.remove(temporary)
        descriptor = self.open_append(temporary)
        try:
            for part in parts:
                self.write(descriptor, part)
            self.sync(descriptor)
        finally:
            self.close(descriptor)
        self.rename(temporary, path)
        self.sync_folder(path.parent)
