"""Errors of the data folder."""

import errno

from chestnutvale.exceptions import ChestnutError


class StorageError(ChestnutError):
    """The disk failed; a pending write must not be treated as written."""

    code = "storage_failed"


class StorageFullError(StorageError):
    """The disk or its quota is full."""

    code = "storage_full"


class StorageReadOnlyError(StorageError):
    """The disk or the folder is not writable."""

    code = "storage_read_only"


class StorageLockedError(StorageError):
    """Another process owns the data folder."""

    code = "storage_locked"


class StorageCorruptError(StorageError):
    """Data that was synced can't be read back.

    Parameters
    ----------
    message : str
        Description of the damage.
    file : str
        The damaged file.
    offset_bytes : int
        Offset of the damage in the file, in bytes.
    """

    code = "storage_corrupt"

    def __init__(self, message: str, *, file: str, offset_bytes: int) -> None:
        detail = f"{message}: {file} at offset {offset_bytes}"
        super().__init__(detail, step="open", peer=file)
        self.file = file
        self.offset_bytes = offset_bytes


def make_storage_error(error: OSError, step: str, path: str) -> StorageError:
    """Convert an operating system error to a StorageError.

    Parameters
    ----------
    error : OSError
        The error.
    step : str
        Step that failed.
    path : str
        The file or folder.

    Returns
    -------
    StorageError
        The error to raise.
    """
    kind = StorageError
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        kind = StorageFullError
    elif error.errno in (errno.EROFS, errno.EACCES, errno.EPERM):
        kind = StorageReadOnlyError
    return kind(error.strerror or str(error), step=step, peer=path)
