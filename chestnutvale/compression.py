"""Compression of large messages and records."""

import zlib
from typing import Final

# Higher levels take several times as long and save a few percent on configurations.
COMPRESSION_LEVEL: Final = 1
# Decompressed size above which data is refused.
MAX_DECOMPRESSED_BYTES: Final = 64 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Compress data with zlib.

    Parameters
    ----------
    data : bytes
        The data.

    Returns
    -------
    bytes
        The compressed data.
    """
    return zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the data that `compress` compressed.

    Parameters
    ----------
    data : bytes
        Result of `compress`.

    Returns
    -------
    bytes
        The data.

    Raises
    ------
    ValueError
        If the compressed data is damaged, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"the compressed data is damaged: {error}") from error
    if not decompressor.eof:
        raise ValueError("the compressed data is incomplete or too large")
    return decompressed
