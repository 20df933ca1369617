"""The calls to the operating system that the storage makes."""

import os
from pathlib import Path


class FileSystem:
    """Durable file operations; tests replace them to produce failures."""

    def open_append(self, path: Path) -> int:
        """Open a file for appending and create it if needed."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data."""
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]

    def sync(self, descriptor: int) -> None:
        """Wait until a file's data is on the disk."""
        os.fsync(descriptor)

    def truncate(self, path: Path, size_bytes: int) -> None:
        """Cut a file and sync it."""
        descriptor = os.open(path, os.O_RDWR)
        try:
            os.ftruncate(descriptor, size_bytes)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Replace a file in one step."""
        os.replace(source, target)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        os.unlink(path)

    def sync_folder(self, folder: Path) -> None:
        """Wait until names that were made or replaced are on the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace_file(self, path: Path, parts: list[bytes], suffix: str) -> None:
        """Write a new file beside the old one and put it in its place."""
        temporary = path.with_name(path.name + suffix)
        descriptor = self.open_append(temporary)
        try:
            for part in parts:
                self.write(descriptor, part)
            self.sync(descriptor)
        finally:
            self.close(descriptor)
        self.rename(temporary, path)
        self.sync_folder(path.parent)
