"""Errors of the data folder."""

import errno

from chestnutvale.exceptions import ChestnutError


class StorageError(ChestnutError):
    """The disk failed; nothing that was being written counts as written."""

    code = "storage_failed"


class StorageFullError(StorageError):
    """The disk has no room left."""

    code = "storage_full"


class StorageReadOnlyError(StorageError):
    """The disk or the folder can't be written."""

    code = "storage_read_only"


class StorageLockedError(StorageError):
    """Another process owns the data folder."""

    code = "storage_locked"


class StorageCorruptError(StorageError):
    """Data that was synced can't be read back.

    Parameters
    ----------
    message : str
        What is wrong.
    file : str
        The damaged file.
    offset_bytes : int
        Place of the damage in the file.
    """

    code = "storage_corrupt"

    def __init__(self, message: str, *, file: str, offset_bytes: int) -> None:
        detail = f"{message}: {file} at offset {offset_bytes}"
        super().__init__(detail, step="open", peer=file)
        self.file = file
        self.offset_bytes = offset_bytes


def make_storage_error(error: OSError, step: str, path: str) -> StorageError:
    """Turn an error of the operating system into the project's own.

    Parameters
    ----------
    error : OSError
        The error.
    step : str
        What was being done.
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
