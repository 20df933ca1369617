"""Constants of the data folder."""

from typing import Final

LOCK_FILE: Final = "lock"
IDENTITY_FILE: Final = "identity"
SEGMENT_PATTERN: Final = "log-*.segment"
SNAPSHOT_PATTERN: Final = "snapshot-*.data"
TEMPORARY_SUFFIX: Final = ".tmp"
# Size in bytes at which a new segment is started.
SEGMENT_BYTES: Final = 4 * 1024 * 1024
# Smallest segment in bytes after which a snapshot starts a new segment.
MIN_SEGMENT_BYTES: Final = 64 * 1024

FRAME_MAGIC: Final = b"CNF1"
IDENTITY_SUFFIX_BYTES: Final = 4

STEP_OPEN: Final = "open"
STEP_WRITE: Final = "write"
STEP_READ: Final = "read"
