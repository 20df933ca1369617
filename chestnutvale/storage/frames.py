"""Checksummed frames, the unit of one write to a file."""

import struct
from collections.abc import Iterator

import attrs
import xxhash

from chestnutvale.storage.const import FRAME_MAGIC
from chestnutvale.storage.exceptions import StorageCorruptError

# Magic, payload length, sequence number, payload checksum.
_HEADER = struct.Struct("<4sIQQ")
_HEADER_CHECKSUM = struct.Struct("<Q")
HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size


@attrs.frozen
class Frame:
    """A complete frame with a valid checksum.

    Parameters
    ----------
    offset_bytes, end_bytes : int
        Start and end of the frame in its file, in bytes.
    sequence : int
        Sequence number; consecutive within a log.
    payload : bytes
        Content of the frame.
    """

    offset_bytes: int
    end_bytes: int
    sequence: int
    payload: bytes


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Encode a frame.

    Parameters
    ----------
    sequence : int
        Number of the frame.
    payload : bytes
        Content of the frame.

    Returns
    -------
    bytes
        Header and payload.
    """
    checksum = xxhash.xxh3_64_intdigest(payload, seed=sequence)
    header = _HEADER.pack(FRAME_MAGIC, len(payload), sequence, checksum)
    return header + _HEADER_CHECKSUM.pack(xxhash.xxh3_64_intdigest(header)) + payload


def read_frame(data: bytes, offset_bytes: int) -> Frame | None:
    """Decode the frame at an offset.

    Parameters
    ----------
    data : bytes
        The file's data.
    offset_bytes : int
        Start of the frame, in bytes.

    Returns
    -------
    Frame or None
        None if the frame is incomplete or damaged.
    """
    start = offset_bytes + HEADER_BYTES
    if start > len(data):
        return None
    header = data[offset_bytes : offset_bytes + _HEADER.size]
    (header_checksum,) = _HEADER_CHECKSUM.unpack_from(data, offset_bytes + _HEADER.size)
    if xxhash.xxh3_64_intdigest(header) != header_checksum:
        return None
    magic, length, sequence, checksum = _HEADER.unpack(header)
    payload = data[start : start + length]
    if magic != FRAME_MAGIC or len(payload) != length:
        return None
    if xxhash.xxh3_64_intdigest(payload, seed=sequence) != checksum:
        return None
    return Frame(offset_bytes, start + length, sequence, payload)


def read_frames(data: bytes, file: str, *, may_be_torn: bool) -> Iterator[Frame]:
    """Read all frames of a file up to its end or a torn write.

    Each write is synced before the next starts, so only the last one can be
    torn. A damaged frame before an intact one was synced and then corrupted.

    Parameters
    ----------
    data : bytes
        The file's data.
    file : str
        Name of the file, for the error.
    may_be_torn : bool
        Whether the last write may be torn; only true for the last file of a log.

    Yields
    ------
    Frame
        The frames in order.

    Raises
    ------
    StorageCorruptError
        If a frame that was synced is damaged.
    """
    offset = 0
    sequence = None
    while offset < len(data):
        frame = read_frame(data, offset)
        if frame is None or (sequence is not None and frame.sequence != sequence):
            if not may_be_torn or _has_later_frame(data, offset + 1, sequence):
                raise StorageCorruptError(
                    "damaged record", file=file, offset_bytes=offset
                )
            return
        yield frame
        sequence = frame.sequence + 1
        offset = frame.end_bytes


def _has_later_frame(data: bytes, offset: int, sequence: int | None) -> bool:
    magic_offset = data.find(FRAME_MAGIC, offset)
    while magic_offset >= 0:
        frame = read_frame(data, magic_offset)
        if frame is not None and (sequence is None or frame.sequence > sequence):
            return True
        magic_offset = data.find(FRAME_MAGIC, magic_offset + 1)
    return False
